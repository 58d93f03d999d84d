//! Tickets issued by one start of one host's process, and what became of them.

use std::collections::VecDeque;
use std::time::Duration;

use super::{SerialHistory, SerialState, StartId, Ticket, TicketKey};
use crate::collections::FastMap;
use crate::ids::{Fingerprint, HostName};
use crate::time::Timestamp;

/// Bounds of a [`TicketBook`].
#[derive(Clone, Debug)]
pub struct BookConfig {
    /// Time in which a ticket may be used for the first time.
    pub validity: Duration,
    /// Time for which an answer is stored.
    pub answer_retention: Duration,
    /// Most bytes of stored answers.
    pub max_answer_bytes: usize,
    /// Serials whose state is kept after the answer is gone.
    pub history_serials: u64,
    /// Most serials whose request digest is kept.
    pub max_records: usize,
}

impl BookConfig {
    /// Creates the default bounds: tickets valid for 10 minutes, answers stored for
    /// 10 minutes within 16 MiB, history of 4 Mi serials (1 MiB), 64 Ki records.
    pub fn new() -> BookConfig {
        BookConfig {
            validity: Duration::from_secs(600),
            answer_retention: Duration::from_secs(600),
            max_answer_bytes: 16 << 20,
            history_serials: 4 << 20,
            max_records: 64 << 10,
        }
    }

    /// Sets the time in which a ticket may be used for the first time.
    pub fn with_validity(mut self, validity: Duration) -> BookConfig {
        self.validity = validity;
        self
    }

    /// Sets the most bytes of stored answers.
    pub fn with_max_answer_bytes(mut self, max_answer_bytes: usize) -> BookConfig {
        self.max_answer_bytes = max_answer_bytes;
        self
    }

    /// Sets the most serials whose request digest is kept.
    pub fn with_max_records(mut self, max_records: usize) -> BookConfig {
        self.max_records = max_records;
        self
    }

    /// Sets the serials whose state is kept after the answer is gone.
    pub fn with_history_serials(mut self, history_serials: u64) -> BookConfig {
        self.history_serials = history_serials;
        self
    }
}

impl Default for BookConfig {
    fn default() -> BookConfig {
        BookConfig::new()
    }
}

/// What a presented ticket allows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Presented<A> {
    /// First use: the serial is claimed for this request, which may be run now.
    Run(u64),
    /// The request is running: wait for its answer.
    Join(u64),
    /// The request ran: this is its answer.
    Replay(A),
    /// The request ran; the answer is no longer stored.
    AnswerGone,
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
enum Progress<A> {
    Running,
    Answered { answer: A, bytes: usize },
    AnswerGone,
    Unknown,
}

#[derive(Clone, Debug)]
struct Record<A> {
    fingerprint: Fingerprint,
    progress: Progress<A>,
}

#[derive(Clone, Copy, Debug)]
struct StoredAnswer {
    serial: u64,
    stored: Timestamp,
}

/// Issues tickets and runs each at most once.
///
/// `A` is the stored answer; it is cheap to clone.
#[derive(Clone, Debug)]
pub struct TicketBook<A> {
    cfg: BookConfig,
    host: HostName,
    start: StartId,
    key: TicketKey,
    next_serial: u64,
    records: FastMap<u64, Record<A>>,
    ended: VecDeque<u64>,
    stored: VecDeque<StoredAnswer>,
    stored_bytes: usize,
    history: SerialHistory,
}

impl<A: Clone> TicketBook<A> {
    /// Creates the book of a new start of a process.
    pub fn new(cfg: BookConfig, host: HostName, start: StartId, key: TicketKey) -> TicketBook<A> {
        let history = SerialHistory::new(cfg.history_serials);
        TicketBook {
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
    /// use snipehollow_core::ticket::{BookConfig, Presented, StartId, TicketBook, TicketKey};
    /// use snipehollow_core::time::Timestamp;
    ///
    /// let host = HostName::new("host-1").unwrap();
    /// let key = TicketKey::new([7; 32]);
    /// let mut book: TicketBook<&str> = TicketBook::new(BookConfig::new(), host, StartId(1), key);
    /// let ticket = book.issue(Timestamp::ZERO);
    /// let order = Fingerprint::of("orders", "POST", "/new", b"net");
    /// assert_eq!(book.present(Timestamp::ZERO, &ticket, order), Presented::Run(0));
    /// assert_eq!(book.present(Timestamp::ZERO, &ticket, order), Presented::Join(0));
    /// book.complete(Timestamp::ZERO, 0, "placed", 6);
    /// assert_eq!(book.present(Timestamp::ZERO, &ticket, order), Presented::Replay("placed"));
    /// ```
    pub fn issue(&mut self, now: Timestamp) -> Ticket {
        let serial = self.next_serial;
        self.next_serial += 1;
        let expires = now + self.cfg.validity;
        Ticket::issue(&self.key, self.host.clone(), self.start, serial, expires)
    }

    /// Decides what a presented ticket allows, and claims its serial on first use.
    pub fn present(
        &mut self,
        now: Timestamp,
        ticket: &Ticket,
        request: Fingerprint,
    ) -> Presented<A> {
        if ticket.host != self.host || ticket.start != self.start {
            return Presented::Lost;
        }
        if !ticket.is_genuine(&self.key) {
            return Presented::Invalid;
        }
        self.drop_old_answers(now);
        if let Some(record) = self.records.get(&ticket.serial) {
            return record.present(ticket.serial, request);
        }
        match self.history.get(ticket.serial) {
            SerialState::Ran => Presented::AnswerGone,
            SerialState::Void => Presented::Void,
            SerialState::Claimed | SerialState::Forgotten => Presented::Unknown,
            SerialState::Unused if ticket.expires <= now => Presented::Expired,
            SerialState::Unused => self.claim(ticket.serial, request),
        }
    }

    /// Gives a claimed serial back, for a request that was proven not to have run.
    pub fn release(&mut self, serial: u64) {
        self.give_up(serial, SerialState::Unused);
    }

    /// Gives a claimed serial up for ever, for a request that was proven not to have run and
    /// whose caller is sent to another host.
    ///
    /// A late repeat of the old ticket then cannot run beside the new one.
    pub fn void(&mut self, serial: u64) {
        self.give_up(serial, SerialState::Void);
    }

    fn give_up(&mut self, serial: u64, state: SerialState) {
        let released = self.records.remove(&serial);
        invariant!(
            released.as_ref().is_none_or(|r| matches!(r.progress, Progress::Running)),
            "ticket serial {serial} given back after it ended"
        );
        self.history.set(serial, state);
    }

    /// Records the complete answer of a claimed serial.
    pub fn complete(&mut self, now: Timestamp, serial: u64, answer: A, bytes: usize) {
        self.history.set(serial, SerialState::Ran);
        if !self.end(serial, Progress::Answered { answer, bytes }) {
            return;
        }
        self.stored.push_back(StoredAnswer { serial, stored: now });
        self.stored_bytes += bytes;
        self.drop_old_answers(now);
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

    fn claim(&mut self, serial: u64, fingerprint: Fingerprint) -> Presented<A> {
        self.history.set(serial, SerialState::Claimed);
        let record = Record { fingerprint, progress: Progress::Running };
        let replaced = self.records.insert(serial, record);
        invariant!(replaced.is_none(), "ticket serial {serial} claimed twice");
        Presented::Run(serial)
    }

    fn end(&mut self, serial: u64, progress: Progress<A>) -> bool {
        let Some(record) = self.records.get_mut(&serial) else {
            return false;
        };
        invariant!(
            matches!(record.progress, Progress::Running),
            "ticket serial {serial} ended twice"
        );
        record.progress = progress;
        self.ended.push_back(serial);
        self.drop_old_records();
        true
    }

    fn drop_old_records(&mut self) {
        while self.ended.len() > self.cfg.max_records {
            let Some(serial) = self.ended.pop_front() else {
                return;
            };
            if let Some(Record { progress: Progress::Answered { bytes, .. }, .. }) =
                self.records.remove(&serial)
            {
                self.stored_bytes -= bytes;
            }
        }
    }

    fn drop_old_answers(&mut self, now: Timestamp) {
        while let Some(oldest) = self.stored.front().copied() {
            let too_old = now.since(oldest.stored) >= self.cfg.answer_retention;
            if !too_old && self.stored_bytes <= self.cfg.max_answer_bytes {
                return;
            }
            self.stored.pop_front();
            self.drop_answer(oldest.serial);
        }
    }

    fn drop_answer(&mut self, serial: u64) {
        let Some(record) = self.records.get_mut(&serial) else {
            return;
        };
        if let Progress::Answered { bytes, .. } = record.progress {
            self.stored_bytes -= bytes;
            record.progress = Progress::AnswerGone;
        }
    }
}

impl<A: Clone> Record<A> {
    fn present(&self, serial: u64, request: Fingerprint) -> Presented<A> {
        if self.fingerprint != request {
            return Presented::Mismatch;
        }
        match &self.progress {
            Progress::Running => Presented::Join(serial),
            Progress::Answered { answer, .. } => Presented::Replay(answer.clone()),
            Progress::AnswerGone => Presented::AnswerGone,
            Progress::Unknown => Presented::Unknown,
        }
    }
}
