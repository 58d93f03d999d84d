//! Events around requests that may never repeat.

use snipehollow_core::rng::Rng;

use super::Random;

/// An event around requests that may never repeat, at a few hosts.
#[derive(Clone, Debug)]
pub enum TicketOp {
    /// A host issues a ticket.
    Issue {
        /// Chooses the host.
        host: u8,
    },
    /// A caller presents a ticket, for the first time or again.
    Present {
        /// Chooses among the tickets.
        ticket: u16,
        /// Whether only the newest tickets are chosen from.
        recent: bool,
        /// Chooses the host it reaches; mostly the right one.
        misrouted: bool,
        /// Whether the request differs from the ticket's first one.
        other_request: bool,
    },
    /// A claimed request is refused before dispatch.
    Release {
        /// Chooses among the claimed requests.
        pick: u16,
    },
    /// A claimed request is refused before dispatch, and its caller sent to another host.
    Void {
        /// Chooses among the claimed requests.
        pick: u16,
    },
    /// A claimed request runs, and its answer arrives.
    Complete {
        /// Chooses among the claimed requests.
        pick: u16,
        /// Bytes of the answer.
        bytes: u16,
    },
    /// A claimed request is dispatched, and its answer is lost.
    Lose {
        /// Chooses among the claimed requests.
        pick: u16,
        /// Whether it ran all the same.
        ran: bool,
    },
    /// A host's process restarts; what was claimed there may have run.
    Restart {
        /// Chooses the host.
        host: u8,
    },
    /// Time passes.
    Advance {
        /// How much.
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
            20..65 => TicketOp::Present {
                ticket: pick,
                recent: rng.chance(0.8),
                misrouted: rng.chance(0.05),
                other_request: rng.chance(0.05),
            },
            65..70 => TicketOp::Release { pick },
            70 | 71 => TicketOp::Void { pick },
            72..87 => TicketOp::Complete { pick, bytes: rng.below(2_000) as u16 },
            87..93 => TicketOp::Lose { pick, ran: rng.chance(0.5) },
            _ => TicketOp::Advance { seconds: rng.below(300) as u16 },
        }
    }
}
