//! Oracle of at-most-once: how often each ticket's request really ran.

use std::collections::HashMap;
use std::time::Duration;

use snipehollow_core::ids::{Fingerprint, HostName};
use snipehollow_core::ticket::{
    ProcessStartId, Ticket, TicketConfig, TicketDecision, TicketKey, TicketTable,
};
use snipehollow_core::time::Timestamp;

use crate::generators::TicketOp;
use crate::{Violation, check};

const HOSTS: usize = 3;
/// Newest tickets that are presented most.
const RECENT: usize = 24;

/// What callers were told.
#[derive(Clone, Copy, Debug, Default)]
pub struct TicketTally {
    /// Tickets presented.
    pub presented: u64,
    /// Answers that did not tell whether the request ran.
    pub unknown: u64,
    /// Requests that ran.
    pub ran: u64,
    /// Requests that ran more than once.
    pub duplicates: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Truth {
    runs: u32,
    /// Whether it is claimed at a process that lives.
    claimed: bool,
    /// Whether a process that may have run it was restarted or lost its answer.
    uncertain: bool,
    completed: bool,
    /// Whether its host gave it up.
    void: bool,
}

#[derive(Clone, Debug)]
struct Issued {
    ticket: Ticket,
    host: usize,
    start: u64,
}

struct Model {
    books: Vec<TicketTable<u64>>,
    starts: Vec<u64>,
    next_start: u64,
    now: Timestamp,
    issued: Vec<Issued>,
    truth: HashMap<usize, Truth>,
    claimed: Vec<usize>,
    tally: TicketTally,
}

/// Feeds events to the books of a few hosts and compares with what really ran.
pub fn check_tickets(ops: &[TicketOp]) -> Result<TicketTally, Violation> {
    let mut model = Model {
        books: (0..HOSTS).map(|host| book(host, host as u64)).collect(),
        starts: (0..HOSTS as u64).collect(),
        next_start: HOSTS as u64,
        now: Timestamp::ZERO,
        issued: Vec::new(),
        truth: HashMap::new(),
        claimed: Vec::new(),
        tally: TicketTally::default(),
    };
    for op in ops {
        model.apply(op)?;
    }
    model.tally.ran = model.truth.values().filter(|truth| truth.runs > 0).count() as u64;
    model.tally.duplicates = model.truth.values().filter(|truth| truth.runs > 1).count() as u64;
    check!(model.tally.duplicates == 0, "{} requests ran twice", model.tally.duplicates);
    Ok(model.tally)
}

fn host_name(host: usize) -> HostName {
    HostName::new(&format!("host-{host}")).expect("the oracle's own names are valid")
}

fn book(host: usize, start: u64) -> TicketTable<u64> {
    let cfg = TicketConfig::new()
        .with_max_response_bytes(20_000)
        .with_max_records(64)
        .with_history_serials(512);
    let mut key = [0; 32];
    key[..8].copy_from_slice(&start.to_le_bytes());
    TicketTable::new(cfg, host_name(host), ProcessStartId(start), TicketKey::new(key))
}

/// Each ticket has its own request; a caller that errs sends another one.
fn request(ticket: usize, other: bool) -> Fingerprint {
    Fingerprint(ticket as u128 * 2 + u128::from(other))
}

impl Model {
    fn apply(&mut self, op: &TicketOp) -> Result<(), Violation> {
        match *op {
            TicketOp::Issue { host } => {
                let host = usize::from(host) % HOSTS;
                let ticket = self.books[host].issue(self.now);
                let parsed = Ticket::parse(&ticket.to_string());
                check!(parsed.as_ref() == Some(&ticket), "{ticket} does not read back");
                self.issued.push(Issued { ticket, host, start: self.starts[host] });
                Ok(())
            }
            TicketOp::Present { ticket, recent, misrouted, other_request } => {
                let newest = if recent { RECENT } else { self.issued.len() };
                let newest = newest.min(self.issued.len()).max(1);
                let index = self.issued.len().saturating_sub(1 + usize::from(ticket) % newest);
                self.present(index, misrouted, other_request)
            }
            TicketOp::Release { pick } => {
                if let Some((ticket, serial)) = self.take_claimed(pick) {
                    self.truth.entry(ticket).or_default().claimed = false;
                    let host = self.issued[ticket].host;
                    self.books[host].release(serial);
                }
                Ok(())
            }
            TicketOp::Void { pick } => {
                if let Some((ticket, serial)) = self.take_claimed(pick) {
                    let truth = self.truth.entry(ticket).or_default();
                    truth.claimed = false;
                    truth.void = true;
                    let host = self.issued[ticket].host;
                    self.books[host].void(serial);
                }
                Ok(())
            }
            TicketOp::Complete { pick, bytes } => {
                if let Some((ticket, serial)) = self.take_claimed(pick) {
                    self.run(ticket, true);
                    let host = self.issued[ticket].host;
                    self.books[host].complete(self.now, serial, ticket as u64, usize::from(bytes));
                }
                Ok(())
            }
            TicketOp::Lose { pick, ran } => {
                if let Some((ticket, serial)) = self.take_claimed(pick) {
                    if ran {
                        self.run(ticket, false);
                    }
                    let truth = self.truth.entry(ticket).or_default();
                    truth.claimed = false;
                    truth.uncertain = true;
                    let host = self.issued[ticket].host;
                    self.books[host].fail(serial);
                }
                Ok(())
            }
            TicketOp::Restart { host } => {
                self.restart(usize::from(host) % HOSTS);
                Ok(())
            }
            TicketOp::Advance { seconds } => {
                self.now = self.now + Duration::from_secs(u64::from(seconds));
                Ok(())
            }
        }
    }

    fn present(
        &mut self,
        index: usize,
        misrouted: bool,
        other_request: bool,
    ) -> Result<(), Violation> {
        let Some(issued) = self.issued.get(index).cloned() else {
            return Ok(());
        };
        let host = if misrouted { (issued.host + 1) % HOSTS } else { issued.host };
        let presented =
            self.books[host].redeem(self.now, &issued.ticket, request(index, other_request));
        self.tally.presented += 1;
        let current = host == issued.host && self.starts[host] == issued.start;
        let truth = self.truth.entry(index).or_default();
        match presented {
            TicketDecision::Run(_) => {
                check!(current, "ticket {index} runs at a host that did not issue it");
                check!(!truth.claimed, "ticket {index} runs while it is claimed");
                check!(truth.runs == 0 && !truth.uncertain, "ticket {index} may run twice");
                check!(!truth.void, "ticket {index} runs after it was given up");
                check!(issued.ticket.expires > self.now, "ticket {index} runs after its expiry");
                truth.claimed = true;
                self.claimed.push(index);
            }
            TicketDecision::Join(_) => check!(truth.claimed, "ticket {index} joins nothing"),
            TicketDecision::Replay(answer) => {
                check!(truth.completed, "ticket {index} has an answer but did not run");
                check!(answer == index as u64, "ticket {index} got the answer of {answer}");
            }
            TicketDecision::ResponseEvicted => {
                check!(truth.completed, "ticket {index} did not run")
            }
            TicketDecision::Unknown => self.tally.unknown += 1,
            TicketDecision::Lost => {
                self.tally.unknown += 1;
                check!(!current, "ticket {index} is lost at the start that issued it");
            }
            TicketDecision::Mismatch => {
                check!(
                    truth.claimed || truth.completed || truth.uncertain,
                    "ticket {index} mismatches an unused one"
                );
            }
            TicketDecision::Expired => {
                check!(truth.runs == 0 && !truth.claimed, "ticket {index} said not run, but ran");
            }
            TicketDecision::Void => check!(truth.void, "ticket {index} is void without a cause"),
            TicketDecision::Invalid => {
                return Err(Violation::new(format!("ticket {index} is genuine but refused")));
            }
        }
        Ok(())
    }

    fn run(&mut self, ticket: usize, completed: bool) {
        let truth = self.truth.entry(ticket).or_default();
        truth.runs += 1;
        truth.claimed = false;
        truth.completed = completed;
    }

    fn take_claimed(&mut self, pick: u16) -> Option<(usize, u64)> {
        if self.claimed.is_empty() {
            return None;
        }
        let ticket = self.claimed.swap_remove(usize::from(pick) % self.claimed.len());
        Some((ticket, self.issued[ticket].ticket.serial))
    }

    /// What was claimed at the old start may have run, and its end is never learned.
    fn restart(&mut self, host: usize) {
        let lost: Vec<usize> =
            self.claimed.iter().copied().filter(|t| self.issued[*t].host == host).collect();
        self.claimed.retain(|ticket| !lost.contains(ticket));
        for ticket in lost {
            self.run(ticket, false);
            self.truth.entry(ticket).or_default().uncertain = true;
        }
        self.starts[host] = self.next_start;
        self.books[host] = book(host, self.next_start);
        self.next_start += 1;
    }
}
