//! Random operations on the configuration store.

use snipehollow_core::rng::Rng;

use super::Random;

/// An operation of the store, of one of two operators, or of one of a few nodes.
#[derive(Clone, Debug)]
pub enum StoreOp {
    /// An operator commits a configuration.
    Commit {
        /// Number of the operator, 0 or 1.
        operator: u8,
        /// Chooses the content of the configuration.
        variant: u8,
        /// Fault of each call that the commit makes to the store.
        faults: Vec<StoreFault>,
        /// Index of the call before which another operator commits; `None` if none does.
        race_before_call: Option<u8>,
    },
    /// A node reads the store, and repairs it if it is behind.
    Read {
        /// Chooses the node.
        node: u8,
    },
    /// A node pulls the configuration from another node.
    Pull {
        /// Chooses the node that pulls.
        node: u8,
        /// Chooses the node that responds.
        from: u8,
    },
    /// A node is replaced by a new one without a configuration.
    Replace {
        /// Chooses the node.
        node: u8,
    },
    /// The store takes a snapshot of its data.
    TakeSnapshot,
    /// The data of the store is replaced by the snapshot, if there is one.
    RestoreSnapshot,
}

/// Fault of one call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// The call succeeds.
    None,
    /// The call fails and has no effect.
    NotApplied,
    /// The call takes effect, but its response is lost.
    ResponseLost,
}

impl Random for StoreOp {
    fn random(rng: &mut Rng) -> StoreOp {
        let node = rng.next_u64() as u8;
        match rng.below(100) {
            0..30 => StoreOp::Commit {
                operator: rng.below(2) as u8,
                variant: rng.below(16) as u8,
                faults: (0..12).map(|_| random_fault(rng)).collect(),
                race_before_call: rng.chance(0.3).then(|| rng.below(8) as u8),
            },
            30..60 => StoreOp::Read { node },
            60..88 => StoreOp::Pull { node, from: rng.next_u64() as u8 },
            88..93 => StoreOp::Replace { node },
            93..97 => StoreOp::TakeSnapshot,
            _ => StoreOp::RestoreSnapshot,
        }
    }
}

fn random_fault(rng: &mut Rng) -> StoreFault {
    match rng.below(12) {
        0 => StoreFault::NotApplied,
        1 => StoreFault::ResponseLost,
        _ => StoreFault::None,
    }
}
