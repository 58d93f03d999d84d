//! Tickets issued by one start of one host's process, and what became of them.

use std::collections::VecDeque;
use std::time::Duration;

use super::{ProcessStartId, SerialHistory, SerialState, Ticket, TicketKey};
use crate::collections::FastMap;
use crate::ids::{Fingerprint, HostName};
use crate::time::Timestamp;

/// Bounds of a [`TicketTable`].
#[derive(Clone, Debug)]
pub struct TicketConfig {
    /// Time in which a ticket may be used for the first time.
    pub validity: Duration,
    /// Time for which an answer is stored.
    pub response_retention: Duration,
    /// Most bytes of stored answers.
    pub max_response_bytes: usize,
    /// Serials whose state is kept after the answer is gone.
    pub history_serials: u64,
    /// Most serials whose request digest is kept.
    pub max_records: usize,
}

impl TicketConfig {
    /// Creates the default bounds: tickets valid for 10 minutes, answers stored for
    /// 10 minutes within 16 MiB, history of 4 Mi serials (1 MiB), 64 Ki records.
    pub fn new() -> TicketConfig {
        TicketConfig {
            validity: Duration::from_secs(600),
            response_retention: Duration::from_secs(600),
            max_response_bytes: 16 << 20,
            history_serials: 4 << 20,
            max_records: 64 << 10,
        }
    }

    /// Sets the time in which a ticket may be used for the first time.
    pub fn with_validity(mut self, validity: Duration) -> TicketConfig {
        self.validity = validity;
        self
    }

    /// Sets the most bytes of stored answers.
    pub fn with_max_response_bytes(mut self, max_response_bytes: usize) -> TicketConfig {
        self.max_response_bytes = max_response_bytes;
        self
    }

    /// Sets the most serials whose request digest is kept.
    pub fn with_max_records(mut self, max_records: usize) -> TicketConfig {
        self.max_records = max_records;
        self
    }

    /// Sets the serials whose state is kept after the answer is gone.
    pub fn with_history_serials(mut self, history_serials: u64) -> TicketConfig {
        self.history_serials = history_serials;
        self
    }
}

impl Default for TicketConfig {
    fn default() -> TicketConfig {
        TicketConfig::new()
    }
}

/// What a presented ticket allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketDecision<R> {
    /// First use: the serial is claimed for this request, which may be run now.
    Run(u64),
    /// The request is running: wait for its answer.
    Join(u64),
    /// The request ran: this is its answer.
    Replay(R),
    /// The request ran; the answer is no longer stored.
    ResponseEvicted,
    /// An earlier run ended without a known result.
    Unknown,
    /// The serial was claimed for another request.
    Mismatch,
    /// The ticket expired and was never used.
    Expired,
    /// The ticket was given up before it was used and will never be run.
    Void,
    /// Issued by an earlier start of this host, or by another host: nothing is known of it.
    Lost,
    /// Forged or damaged.
    Invalid,
}

#[derive(Clone, Debug)]
enum Progress<R> {
    Running,
    Completed { response: R, bytes: usize },
    ResponseEvicted,
    Unknown,
}

#[derive(Clone, Debug)]
struct Record<R> {
    fingerprint: Fingerprint,
    progress: Progress<R>,
}

#[derive(Clone, Copy, Debug)]
struct StoredResponse {
    serial: u64,
    stored: Timestamp,
}

/// Issues tickets and runs each at most once.
///
/// `A` is the stored answer; it is cheap to clone.
#[derive(Clone, Debug)]
pub struct TicketTable<R> {
    cfg: TicketConfig,
    host: HostName,
    start: ProcessStartId,
    key: TicketKey,
    next_serial: u64,
    records: FastMap<u64, Record<R>>,
    ended: VecDeque<u64>,
    stored: VecDeque<StoredResponse>,
    stored_bytes: usize,
    history: SerialHistory,
}

impl<R: Clone> TicketTable<R> {
    /// Creates the tickets of a new start of a process.
    pub fn new(
        cfg: TicketConfig,
        host: HostName,
        start: ProcessStartId,
        key: TicketKey,
    ) -> TicketTable<R> {
        let history = SerialHistory::new(cfg.history_serials);
        TicketTable {
            cfg,
            host,
            start,
            key,
            next_serial: 0,
            records: FastMap::default(),
            ended: VecDeque::new(),
            stored: VecDeque::new(),
            stored_bytes: 0,
            history,
        }
    }

    /// Issues a ticket; nothing is remembered of it until it is used.
    ///
    /// ```
    /// use snipehollow_core::ids::{Fingerprint, HostName};
    /// use snipehollow_core::ticket::{TicketConfig, TicketDecision, ProcessStartId, TicketTable, TicketKey};
    /// use snipehollow_core::time::Timestamp;
    ///
    /// let host = HostName::new("host-1").unwrap();
    /// let key = TicketKey::new([7; 32]);
    /// let mut tickets: TicketTable<&str> = TicketTable::new(TicketConfig::new(), host, ProcessStartId(1), key);
    /// let ticket = tickets.issue(Timestamp::ZERO);
    /// let order = Fingerprint::of("orders", "POST", "/new", b"net");
    /// assert_eq!(tickets.redeem(Timestamp::ZERO, &ticket, order), TicketDecision::Run(0));
    /// assert_eq!(tickets.redeem(Timestamp::ZERO, &ticket, order), TicketDecision::Join(0));
    /// tickets.complete(Timestamp::ZERO, 0, "placed", 6);
    /// assert_eq!(tickets.redeem(Timestamp::ZERO, &ticket, order), TicketDecision::Replay("placed"));
    /// ```
    pub fn issue(&mut self, now: Timestamp) -> Ticket {
        let serial = self.next_serial;
        self.next_serial += 1;
        let expires = now + self.cfg.validity;
        Ticket::issue(&self.key, self.host.clone(), self.start, serial, expires)
    }

    /// Decides what a presented ticket allows, and claims its serial on first use.
    pub fn redeem(
        &mut self,
        now: Timestamp,
        ticket: &Ticket,
        request: Fingerprint,
    ) -> TicketDecision<R> {
        if ticket.host != self.host || ticket.start != self.start {
            return TicketDecision::Lost;
        }
        if !ticket.is_genuine(&self.key) {
            return TicketDecision::Invalid;
        }
        self.evict_old_responses(now);
        if let Some(record) = self.records.get(&ticket.serial) {
            return record.redeem(ticket.serial, request);
        }
        match self.history.get(ticket.serial) {
            SerialState::Ran => TicketDecision::ResponseEvicted,
            SerialState::Void => TicketDecision::Void,
            SerialState::Claimed | SerialState::Forgotten => TicketDecision::Unknown,
            SerialState::Unused if ticket.expires <= now => TicketDecision::Expired,
            SerialState::Unused => self.claim(ticket.serial, request),
        }
    }

    /// Gives a claimed serial back, for a request that was proven not to have run.
    pub fn release(&mut self, serial: u64) {
        self.unclaim(serial, SerialState::Unused);
    }

    /// Gives a claimed serial up for ever, for a request that was proven not to have run and
    /// whose caller is sent to another host.
    ///
    /// A late repeat of the old ticket then cannot run beside the new one.
    pub fn void(&mut self, serial: u64) {
        self.unclaim(serial, SerialState::Void);
    }

    fn unclaim(&mut self, serial: u64, state: SerialState) {
        let released = self.records.remove(&serial);
        invariant!(
            released.as_ref().is_none_or(|r| matches!(r.progress, Progress::Running)),
            "ticket serial {serial} given back after it ended"
        );
        self.history.set(serial, state);
    }

    /// Records the complete answer of a claimed serial.
    pub fn complete(&mut self, now: Timestamp, serial: u64, response: R, bytes: usize) {
        self.history.set(serial, SerialState::Ran);
        if !self.end(serial, Progress::Completed { response, bytes }) {
            return;
        }
        self.stored.push_back(StoredResponse { serial, stored: now });
        self.stored_bytes += bytes;
        self.evict_old_responses(now);
    }

    /// Records that a claimed serial was dispatched and its result is not known.
    pub fn fail(&mut self, serial: u64) {
        self.end(serial, Progress::Unknown);
    }

    /// Returns the bytes of stored answers.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Returns the number of serials whose request digest is kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no serial has a record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn claim(&mut self, serial: u64, fingerprint: Fingerprint) -> TicketDecision<R> {
        self.history.set(serial, SerialState::Claimed);
        let record = Record { fingerprint, progress: Progress::Running };
        let replaced = self.records.insert(serial, record);
        invariant!(replaced.is_none(), "ticket serial {serial} claimed twice");
        TicketDecision::Run(serial)
    }

    fn end(&mut self, serial: u64, progress: Progress<R>) -> bool {
        let Some(record) = self.records.get_mut(&serial) else {
            return false;
        };
        invariant!(
            matches!(record.progress, Progress::Running),
            "ticket serial {serial} ended twice"
        );
        record.progress = progress;
        self.ended.push_back(serial);
        self.evict_old_records();
        true
    }

    fn evict_old_records(&mut self) {
        while self.ended.len() > self.cfg.max_records {
            let Some(serial) = self.ended.pop_front() else {
                return;
            };
            if let Some(Record { progress: Progress::Completed { bytes, .. }, .. }) =
                self.records.remove(&serial)
            {
                self.stored_bytes -= bytes;
            }
        }
    }

    fn evict_old_responses(&mut self, now: Timestamp) {
        while let Some(oldest) = self.stored.front().copied() {
            let too_old = now.since(oldest.stored) >= self.cfg.response_retention;
            if !too_old && self.stored_bytes <= self.cfg.max_response_bytes {
                return;
            }
            self.stored.pop_front();
            self.evict_response(oldest.serial);
        }
    }

    fn evict_response(&mut self, serial: u64) {
        let Some(record) = self.records.get_mut(&serial) else {
            return;
        };
        if let Progress::Completed { bytes, .. } = record.progress {
            self.stored_bytes -= bytes;
            record.progress = Progress::ResponseEvicted;
        }
    }
}

impl<R: Clone> Record<R> {
    fn redeem(&self, serial: u64, request: Fingerprint) -> TicketDecision<R> {
        if self.fingerprint != request {
            return TicketDecision::Mismatch;
        }
        match &self.progress {
            Progress::Running => TicketDecision::Join(serial),
            Progress::Completed { response, .. } => TicketDecision::Replay(response.clone()),
            Progress::ResponseEvicted => TicketDecision::ResponseEvicted,
            Progress::Unknown => TicketDecision::Unknown,
        }
    }
}
