//! Random operations on the tickets of requests that must run at most once.

use snipehollow_core::rng::Rng;

use super::Random;

/// An operation on the tickets of a few hosts.
#[derive(Clone, Debug)]
pub enum TicketOp {
    /// A host issues a ticket.
    Issue {
        /// Chooses the host.
        host: u8,
    },
    /// A caller sends a request with a ticket, for the first time or again.
    Redeem {
        /// Chooses among the issued tickets.
        ticket: u16,
        /// Whether the choice is limited to the newest tickets.
        recent: bool,
        /// Whether the request is sent to a host that did not issue the ticket.
        misrouted: bool,
        /// Whether it is a different request than the ticket's own one.
        other_request: bool,
    },
    /// A claimed request is refused before dispatch.
    Release {
        /// Chooses among the claimed requests.
        pick: u16,
    },
    /// A claimed request is refused before dispatch, and its caller is sent to another host.
    Void {
        /// Chooses among the claimed requests.
        pick: u16,
    },
    /// A claimed request runs, and its response arrives.
    Complete {
        /// Chooses among the claimed requests.
        pick: u16,
        /// Size of the response in bytes.
        bytes: u16,
    },
    /// A claimed request is dispatched, and its response is lost.
    LoseResponse {
        /// Chooses among the claimed requests.
        pick: u16,
        /// Whether the request ran.
        ran: bool,
    },
    /// The process of a host restarts. Requests that were claimed there may have run.
    Restart {
        /// Chooses the host.
        host: u8,
    },
    /// Time passes.
    Advance {
        /// Elapsed time in seconds.
        seconds: u16,
    },
}

impl Random for TicketOp {
    fn random(rng: &mut Rng) -> TicketOp {
        let pick = rng.next_u64() as u16;
        if rng.chance(0.002) {
            return TicketOp::Restart { host: pick as u8 };
        }
        match rng.below(100) {
            0..20 => TicketOp::Issue { host: pick as u8 },
            20..65 => TicketOp::Redeem {
                ticket: pick,
                recent: rng.chance(0.8),
                misrouted: rng.chance(0.05),
                other_request: rng.chance(0.05),
            },
            65..70 => TicketOp::Release { pick },
            70 | 71 => TicketOp::Void { pick },
            72..87 => TicketOp::Complete { pick, bytes: rng.below(2_000) as u16 },
            87..93 => TicketOp::LoseResponse { pick, ran: rng.chance(0.5) },
            _ => TicketOp::Advance { seconds: rng.below(300) as u16 },
        }
    }
}
