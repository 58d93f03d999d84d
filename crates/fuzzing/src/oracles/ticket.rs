//! Oracle for tickets: counts how often the request of each ticket ran.
//!
//! It checks that no request runs more than once, and that what a ticket table reports about the
//! outcome of a request is true.

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
/// Number of newest tickets that most redemptions choose from.
const RECENT_TICKETS: usize = 24;

/// Counts over one sequence of operations.
#[derive(Clone, Copy, Debug, Default)]
pub struct TicketStats {
    /// Redemptions of tickets, repeated ones included.
    pub redemptions: u64,
    /// Redemptions for which the table could not report whether the request ran.
    pub unknown: u64,
    /// Requests that ran at least once.
    pub ran: u64,
    /// Requests that ran more than once.
    pub duplicates: u64,
}

/// Expected state of the request of one ticket.
#[derive(Clone, Copy, Debug, Default)]
struct Expected {
    runs: u32,
    /// Whether the ticket is claimed at a process that still runs.
    claimed: bool,
    /// Whether it is unknown if the request ran: its process restarted, or its response was lost.
    may_have_run: bool,
    completed: bool,
    /// Whether its host voided the ticket.
    void: bool,
}

#[derive(Clone, Debug)]
struct Issued {
    ticket: Ticket,
    host: usize,
    /// Process start of the host at which the ticket was issued.
    start: u64,
}

/// The ticket tables under test, and the model of what ran.
struct Checker {
    /// Ticket table of each host; the stored response is the index of the ticket.
    tables: Vec<TicketTable<u64>>,
    /// Process start of each host.
    starts: Vec<u64>,
    next_start: u64,
    now: Timestamp,
    issued: Vec<Issued>,
    /// By index into `issued`.
    expected: HashMap<usize, Expected>,
    /// Indexes into `issued`.
    claimed: Vec<usize>,
    stats: TicketStats,
}

/// Applies operations to the ticket tables of a few hosts and compares each decision with what
/// ran.
///
/// # Errors
///
/// Returns a violation if a request runs more than once, or if a decision contradicts the model.
pub fn check_tickets(ops: &[TicketOp]) -> Result<TicketStats, Violation> {
    let mut checker = Checker {
        tables: (0..HOSTS).map(|host| ticket_table(host, host as u64)).collect(),
        starts: (0..HOSTS as u64).collect(),
        next_start: HOSTS as u64,
        now: Timestamp::ZERO,
        issued: Vec::new(),
        expected: HashMap::new(),
        claimed: Vec::new(),
        stats: TicketStats::default(),
    };
    for op in ops {
        checker.apply(op)?;
    }
    checker.stats.ran =
        checker.expected.values().filter(|expected| expected.runs > 0).count() as u64;
    checker.stats.duplicates =
        checker.expected.values().filter(|expected| expected.runs > 1).count() as u64;
    check!(
        checker.stats.duplicates == 0,
        "{} requests ran more than once",
        checker.stats.duplicates
    );
    Ok(checker.stats)
}

fn host_name(host: usize) -> HostName {
    HostName::new(&format!("host-{host}")).expect("the oracle's own names are valid")
}

fn ticket_table(host: usize, start: u64) -> TicketTable<u64> {
    let cfg = TicketConfig::new()
        .with_max_response_bytes(20_000)
        .with_max_records(64)
        .with_history_serials(512);
    let mut key = [0; 32];
    key[..8].copy_from_slice(&start.to_le_bytes());
    TicketTable::new(cfg, host_name(host), ProcessStartId(start), TicketKey::new(key))
}

/// Returns the fingerprint of a ticket's own request or, if `other`, of a different one that a
/// faulty caller sends with the ticket.
fn request_of(ticket: usize, other: bool) -> Fingerprint {
    Fingerprint(ticket as u128 * 2 + u128::from(other))
}

impl Checker {
    fn apply(&mut self, op: &TicketOp) -> Result<(), Violation> {
        match *op {
            TicketOp::Issue { host } => {
                let host = usize::from(host) % HOSTS;
                let ticket = self.tables[host].issue(self.now);
                let parsed = Ticket::parse(&ticket.to_string());
                check!(
                    parsed.as_ref() == Some(&ticket),
                    "ticket {ticket} does not parse back to itself"
                );
                self.issued.push(Issued { ticket, host, start: self.starts[host] });
                Ok(())
            }
            TicketOp::Redeem { ticket, recent, misrouted, other_request } => {
                let candidates = if recent { RECENT_TICKETS } else { self.issued.len() };
                let candidates = candidates.min(self.issued.len()).max(1);
                let index = self.issued.len().saturating_sub(1 + usize::from(ticket) % candidates);
                self.redeem(index, misrouted, other_request)
            }
            TicketOp::Release { pick } => {
                if let Some((ticket, serial)) = self.take_claimed(pick) {
                    self.expected.entry(ticket).or_default().claimed = false;
                    let host = self.issued[ticket].host;
                    self.tables[host].release(serial);
                }
                Ok(())
            }
            TicketOp::Void { pick } => {
                if let Some((ticket, serial)) = self.take_claimed(pick) {
                    let expected = self.expected.entry(ticket).or_default();
                    expected.claimed = false;
                    expected.void = true;
                    let host = self.issued[ticket].host;
                    self.tables[host].void(serial);
                }
                Ok(())
            }
            TicketOp::Complete { pick, bytes } => {
                if let Some((ticket, serial)) = self.take_claimed(pick) {
                    self.record_run(ticket, true);
                    let host = self.issued[ticket].host;
                    self.tables[host].complete(self.now, serial, ticket as u64, usize::from(bytes));
                }
                Ok(())
            }
            TicketOp::LoseResponse { pick, ran } => {
                if let Some((ticket, serial)) = self.take_claimed(pick) {
                    if ran {
                        self.record_run(ticket, false);
                    }
                    let expected = self.expected.entry(ticket).or_default();
                    expected.claimed = false;
                    expected.may_have_run = true;
                    let host = self.issued[ticket].host;
                    self.tables[host].fail(serial);
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

    /// Redeems a ticket and checks the decision against the model.
    fn redeem(
        &mut self,
        index: usize,
        misrouted: bool,
        other_request: bool,
    ) -> Result<(), Violation> {
        let Some(issued) = self.issued.get(index).cloned() else {
            return Ok(());
        };
        let host = if misrouted { (issued.host + 1) % HOSTS } else { issued.host };
        let decision =
            self.tables[host].redeem(self.now, &issued.ticket, request_of(index, other_request));
        self.stats.redemptions += 1;
        let current = host == issued.host && self.starts[host] == issued.start;
        let expected = self.expected.entry(index).or_default();
        match decision {
            TicketDecision::Run(_) => {
                check!(current, "ticket {index} was accepted by a process that did not issue it");
                check!(
                    !expected.claimed,
                    "ticket {index} was accepted while its request is in progress"
                );
                check!(
                    expected.runs == 0 && !expected.may_have_run,
                    "ticket {index} was accepted, but its request ran or may have run"
                );
                check!(!expected.void, "ticket {index} was accepted after it was voided");
                check!(
                    issued.ticket.expires > self.now,
                    "ticket {index} was accepted after it expired"
                );
                expected.claimed = true;
                self.claimed.push(index);
            }
            TicketDecision::Join(_) => {
                check!(expected.claimed, "ticket {index} joined a run, but no run is in progress")
            }
            TicketDecision::Replay(response) => {
                check!(
                    expected.completed,
                    "ticket {index} has a response, but its request did not complete"
                );
                check!(
                    response == index as u64,
                    "ticket {index} got the response of ticket {response}"
                );
            }
            TicketDecision::ResponseEvicted => {
                check!(
                    expected.completed,
                    "ticket {index} was reported as completed, but its request did not complete"
                )
            }
            TicketDecision::Unknown => self.stats.unknown += 1,
            TicketDecision::Lost => {
                self.stats.unknown += 1;
                check!(!current, "ticket {index} was reported lost by the process that issued it");
            }
            TicketDecision::Mismatch => {
                check!(
                    expected.claimed || expected.completed || expected.may_have_run,
                    "ticket {index} was reported as a mismatch, but it was never used"
                );
            }
            TicketDecision::Expired => {
                check!(
                    expected.runs == 0 && !expected.claimed,
                    "ticket {index} was reported as expired unused, but its request ran"
                );
            }
            TicketDecision::Void => {
                check!(expected.void, "ticket {index} was reported void, but was not voided")
            }
            TicketDecision::Invalid => {
                return Err(Violation::new(format!(
                    "ticket {index} is genuine, but was refused as invalid"
                )));
            }
        }
        Ok(())
    }

    fn record_run(&mut self, ticket: usize, completed: bool) {
        let expected = self.expected.entry(ticket).or_default();
        expected.runs += 1;
        expected.claimed = false;
        expected.completed = completed;
    }

    /// Removes one of the claimed tickets and returns its index and serial.
    fn take_claimed(&mut self, pick: u16) -> Option<(usize, u64)> {
        if self.claimed.is_empty() {
            return None;
        }
        let ticket = self.claimed.swap_remove(usize::from(pick) % self.claimed.len());
        Some((ticket, self.issued[ticket].ticket.serial))
    }

    /// Restarts the process of a host. Requests that were claimed there may have run, and their
    /// outcome stays unknown, so the model counts them as run.
    fn restart(&mut self, host: usize) {
        let lost: Vec<usize> =
            self.claimed.iter().copied().filter(|t| self.issued[*t].host == host).collect();
        self.claimed.retain(|ticket| !lost.contains(ticket));
        for ticket in lost {
            self.record_run(ticket, false);
            self.expected.entry(ticket).or_default().may_have_run = true;
        }
        self.starts[host] = self.next_start;
        self.tables[host] = ticket_table(host, self.next_start);
        self.next_start += 1;
    }
}
