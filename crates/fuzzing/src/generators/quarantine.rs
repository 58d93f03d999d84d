//! Random operations on the quarantines of a few hosts.

use snipehollow_core::rng::Rng;

use super::Random;

/// An operation at one of a few hosts, where one of several requests crashes upstreams.
#[derive(Clone, Debug)]
pub enum QuarantineOp {
    /// A request arrives at a host.
    Start {
        /// Chooses the host.
        host: u8,
        /// Number of the request; request 0 crashes upstreams.
        request: u8,
    },
    /// A running request that does not crash upstreams finishes.
    Finish {
        /// Chooses the host.
        host: u8,
        /// Chooses among the running requests.
        pick: u16,
    },
    /// The upstream of a host crashes if it runs the request that crashes upstreams.
    Crash {
        /// Chooses the host.
        host: u8,
    },
    /// One host sends its entries to another.
    Gossip {
        /// Chooses the sender.
        from: u8,
        /// Chooses the receiver.
        to: u8,
    },
    /// Time passes.
    Advance {
        /// Elapsed time in seconds.
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
