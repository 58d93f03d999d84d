//! Tickets issued by one process of a host, and the outcomes of their requests.

use std::collections::VecDeque;
use std::time::Duration;

use super::{ProcessStartId, SerialHistory, SerialState, Ticket, TicketKey};
use crate::collections::FastMap;
use crate::ids::{Fingerprint, HostName};
use crate::time::Timestamp;

/// Limits of a [`TicketTable`].
#[derive(Clone, Debug)]
pub struct TicketConfig {
    /// Time limit for the first use of a ticket, from its issue.
    pub validity: Duration,
    /// How long a response is stored for later uses of the same ticket.
    pub response_retention: Duration,
    /// Maximum total size of the stored responses, in bytes.
    pub max_response_bytes: usize,
    /// Number of recent serials whose state is kept after their response was evicted.
    pub history_serials: u64,
    /// Maximum number of ended serials whose request fingerprint is kept.
    pub max_records: usize,
}

impl TicketConfig {
    /// Creates the default limits: tickets are valid for 10 minutes, responses are stored for
    /// 10 minutes within 16 MiB, and the table keeps a history of 4 Mi serials (1 MiB) and
    /// 64 Ki records.
    pub fn new() -> TicketConfig {
        TicketConfig {
            validity: Duration::from_secs(600),
            response_retention: Duration::from_secs(600),
            max_response_bytes: 16 << 20,
            history_serials: 4 << 20,
            max_records: 64 << 10,
        }
    }

    /// Sets the time limit for the first use of a ticket.
    pub fn with_validity(mut self, validity: Duration) -> TicketConfig {
        self.validity = validity;
        self
    }

    /// Sets the maximum total size of the stored responses, in bytes.
    pub fn with_max_response_bytes(mut self, max_response_bytes: usize) -> TicketConfig {
        self.max_response_bytes = max_response_bytes;
        self
    }

    /// Sets the maximum number of ended serials whose request fingerprint is kept.
    pub fn with_max_records(mut self, max_records: usize) -> TicketConfig {
        self.max_records = max_records;
        self
    }

    /// Sets the number of recent serials whose state is kept after their response was evicted.
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

/// How a request that carries a ticket is to be handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketDecision<R> {
    /// Run the request: this is the first use of the ticket, and the serial is now claimed.
    Run(u64),
    /// Wait for the response of the run in progress, which has this serial.
    Join(u64),
    /// Return this response of the run that completed.
    Replay(R),
    /// The request ran to completion, but its response is no longer stored.
    ResponseEvicted,
    /// The request may have run: its outcome is not known, or no longer recorded.
    Unknown,
    /// The ticket was used for a different request.
    Mismatch,
    /// The ticket expired without being used.
    Expired,
    /// The ticket was voided; its request has not run and never will.
    Void,
    /// The ticket was issued by an earlier process of this host or by another host, so this
    /// process cannot know whether its request ran.
    Lost,
    /// The ticket is forged or damaged.
    Invalid,
}

#[derive(Clone, Debug)]
enum RunState<R> {
    Running,
    Completed { response: R, bytes: usize },
    ResponseEvicted,
    Unknown,
}

#[derive(Clone, Debug)]
struct Record<R> {
    fingerprint: Fingerprint,
    state: RunState<R>,
}

#[derive(Clone, Copy, Debug)]
struct StoredResponse {
    serial: u64,
    stored_at: Timestamp,
}

/// Issues tickets and allows the request of each to run at most once.
///
/// `R` is the type of the stored responses; it should be cheap to clone.
#[derive(Clone, Debug)]
pub struct TicketTable<R> {
    cfg: TicketConfig,
    host: HostName,
    start: ProcessStartId,
    key: TicketKey,
    next_serial: u64,
    records: FastMap<u64, Record<R>>,
    /// Serials of the records whose run has ended, oldest first.
    ended: VecDeque<u64>,
    /// Stored responses, oldest first; some may have been evicted with their record.
    stored_responses: VecDeque<StoredResponse>,
    stored_bytes: usize,
    history: SerialHistory,
}

impl<R: Clone> TicketTable<R> {
    /// Creates an empty table for a process that starts, with its own random `start` and `key`.
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
            stored_responses: VecDeque::new(),
            stored_bytes: 0,
            history,
        }
    }

    /// Issues a ticket. It takes no memory until it is used.
    ///
    /// ```
    /// use snipehollow_core::ids::{Fingerprint, HostName};
    /// use snipehollow_core::ticket::{
    ///     ProcessStartId, TicketConfig, TicketDecision, TicketKey, TicketTable,
    /// };
    /// use snipehollow_core::time::Timestamp;
    ///
    /// let host = HostName::new("host-1").unwrap();
    /// let key = TicketKey::new([7; 32]);
    /// let start = ProcessStartId(1);
    /// let mut tickets = TicketTable::new(TicketConfig::new(), host, start, key);
    /// let now = Timestamp::ZERO;
    /// let ticket = tickets.issue(now);
    /// let order = Fingerprint::of("orders", "POST", "/new", b"net");
    /// assert_eq!(tickets.redeem(now, &ticket, order), TicketDecision::Run(0));
    /// assert_eq!(tickets.redeem(now, &ticket, order), TicketDecision::Join(0));
    /// tickets.complete(now, 0, "placed", 6);
    /// assert_eq!(tickets.redeem(now, &ticket, order), TicketDecision::Replay("placed"));
    /// ```
    pub fn issue(&mut self, now: Timestamp) -> Ticket {
        let serial = self.next_serial;
        self.next_serial += 1;
        let expires = now + self.cfg.validity;
        Ticket::issue(&self.key, self.host.clone(), self.start, serial, expires)
    }

    /// Decides how to handle a request that carries `ticket`, and claims the serial of the
    /// ticket on its first use.
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
            return record.decide(ticket.serial, request);
        }
        match self.history.get(ticket.serial) {
            SerialState::Ran => TicketDecision::ResponseEvicted,
            SerialState::Void => TicketDecision::Void,
            SerialState::Claimed | SerialState::Forgotten => TicketDecision::Unknown,
            SerialState::Unused if ticket.expires <= now => TicketDecision::Expired,
            SerialState::Unused => self.claim(ticket.serial, request),
        }
    }

    /// Makes a claimed serial usable again after its request provably did not run.
    pub fn release(&mut self, serial: u64) {
        self.unclaim(serial, SerialState::Unused);
    }

    /// Bars a claimed serial from being used again, after its request provably did not run and
    /// the caller was sent to another host.
    ///
    /// Otherwise a delayed retry with the old ticket could run in addition to the request with
    /// the new ticket.
    pub fn void(&mut self, serial: u64) {
        self.unclaim(serial, SerialState::Void);
    }

    fn unclaim(&mut self, serial: u64, state: SerialState) {
        let removed = self.records.remove(&serial);
        invariant!(
            removed.as_ref().is_none_or(|r| matches!(r.state, RunState::Running)),
            "ticket serial {serial} released or voided after its run ended"
        );
        self.history.set(serial, state);
    }

    /// Records the complete response to the request of a claimed serial, which takes `bytes` of
    /// memory.
    pub fn complete(&mut self, now: Timestamp, serial: u64, response: R, bytes: usize) {
        self.history.set(serial, SerialState::Ran);
        if !self.end_run(serial, RunState::Completed { response, bytes }) {
            return;
        }
        self.stored_responses.push_back(StoredResponse { serial, stored_at: now });
        self.stored_bytes += bytes;
        self.evict_old_responses(now);
    }

    /// Records that the request of a claimed serial was dispatched and its outcome is not known.
    pub fn fail(&mut self, serial: u64) {
        self.end_run(serial, RunState::Unknown);
    }

    /// Returns the total size of the stored responses, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Returns the number of serials whose request fingerprint is kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no request fingerprint is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn claim(&mut self, serial: u64, fingerprint: Fingerprint) -> TicketDecision<R> {
        self.history.set(serial, SerialState::Claimed);
        let record = Record { fingerprint, state: RunState::Running };
        let replaced = self.records.insert(serial, record);
        invariant!(replaced.is_none(), "ticket serial {serial} was claimed twice");
        TicketDecision::Run(serial)
    }

    fn end_run(&mut self, serial: u64, state: RunState<R>) -> bool {
        let Some(record) = self.records.get_mut(&serial) else {
            return false;
        };
        invariant!(
            matches!(record.state, RunState::Running),
            "run of ticket serial {serial} ended twice"
        );
        record.state = state;
        self.ended.push_back(serial);
        self.evict_old_records();
        true
    }

    fn evict_old_records(&mut self) {
        while self.ended.len() > self.cfg.max_records {
            let Some(serial) = self.ended.pop_front() else {
                return;
            };
            if let Some(Record { state: RunState::Completed { bytes, .. }, .. }) =
                self.records.remove(&serial)
            {
                self.stored_bytes -= bytes;
            }
        }
    }

    fn evict_old_responses(&mut self, now: Timestamp) {
        while let Some(oldest) = self.stored_responses.front().copied() {
            let expired = now.since(oldest.stored_at) >= self.cfg.response_retention;
            if !expired && self.stored_bytes <= self.cfg.max_response_bytes {
                return;
            }
            self.stored_responses.pop_front();
            self.evict_response(oldest.serial);
        }
    }

    fn evict_response(&mut self, serial: u64) {
        let Some(record) = self.records.get_mut(&serial) else {
            return;
        };
        if let RunState::Completed { bytes, .. } = record.state {
            self.stored_bytes -= bytes;
            record.state = RunState::ResponseEvicted;
        }
    }
}

impl<R: Clone> Record<R> {
    fn decide(&self, serial: u64, request: Fingerprint) -> TicketDecision<R> {
        if self.fingerprint != request {
            return TicketDecision::Mismatch;
        }
        match &self.state {
            RunState::Running => TicketDecision::Join(serial),
            RunState::Completed { response, .. } => TicketDecision::Replay(response.clone()),
            RunState::ResponseEvicted => TicketDecision::ResponseEvicted,
            RunState::Unknown => TicketDecision::Unknown,
        }
    }
}
