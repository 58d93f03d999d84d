//! Events around requests that crash upstreams.

use snipehollow_core::rng::Rng;

use super::Random;

/// An event at a few hosts with one request among many that crashes upstreams.
#[derive(Clone, Debug)]
pub enum QuarantineOp {
    /// A request arrives at a host.
    Start {
        /// Chooses the host.
        host: u8,
        /// Chooses the request; 0 is the one that crashes.
        request: u8,
    },
    /// A running request finishes.
    Finish {
        /// Chooses the host.
        host: u8,
        /// Chooses among the running requests.
        pick: u16,
    },
    /// A host's upstream crashes if it runs the request that crashes.
    Crash {
        /// Chooses the host.
        host: u8,
    },
    /// One host's entries reach another.
    Gossip {
        /// Chooses the sender.
        from: u8,
        /// Chooses the receiver.
        to: u8,
    },
    /// Time passes.
    Advance {
        /// How much.
        seconds: u16,
    },
}

impl Random for QuarantineOp {
    fn random(rng: &mut Rng) -> QuarantineOp {
        let host = rng.next_u64() as u8;
        match rng.below(100) {
            0..40 => QuarantineOp::Start { host, request: rng.below(12) as u8 },
            40..70 => QuarantineOp::Finish { host, pick: rng.next_u64() as u16 },
            70..80 => QuarantineOp::Crash { host },
            80..98 => QuarantineOp::Gossip { from: host, to: rng.next_u64() as u8 },
            _ => QuarantineOp::Advance { seconds: rng.below(60) as u16 },
        }
    }
}
