//! Events around the configuration's store.

use snipehollow_core::rng::Rng;

use super::Random;

/// An event around the store, two operators and a few nodes.
#[derive(Clone, Debug)]
pub enum StoreOp {
    /// An operator commits a configuration.
    Commit {
        /// Which operator.
        operator: u8,
        /// What it contains.
        variant: u8,
        /// Fault of each call that the commit makes.
        faults: Vec<StoreFault>,
        /// Call before which the other operator commits, if any.
        race_before_call: Option<u8>,
    },
    /// A node reads the store.
    Read {
        /// Chooses the node.
        node: u8,
    },
    /// A node pulls from another.
    Pull {
        /// Chooses the node.
        node: u8,
        /// Chooses the other.
        from: u8,
    },
    /// A node is replaced by a new one.
    Replace {
        /// Chooses the node.
        node: u8,
    },
    /// The store remembers its data.
    Save,
    /// The store comes back with the data it remembered.
    Restore,
}

/// Fault of one call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// None.
    None,
    /// The call fails and has no effect.
    Fails,
    /// The call takes effect and its answer is lost.
    AnswerLost,
}

impl Random for StoreOp {
    fn random(rng: &mut Rng) -> StoreOp {
        let node = rng.next_u64() as u8;
        match rng.below(100) {
            0..30 => StoreOp::Commit {
                operator: rng.below(2) as u8,
                variant: rng.below(16) as u8,
                faults: (0..12).map(|_| fault(rng)).collect(),
                race_before_call: rng.chance(0.3).then(|| rng.below(8) as u8),
            },
            30..60 => StoreOp::Read { node },
            60..88 => StoreOp::Pull { node, from: rng.next_u64() as u8 },
            88..93 => StoreOp::Replace { node },
            93..97 => StoreOp::Save,
            _ => StoreOp::Restore,
        }
    }
}

fn fault(rng: &mut Rng) -> StoreFault {
    match rng.below(12) {
        0 => StoreFault::Fails,
        1 => StoreFault::AnswerLost,
        _ => StoreFault::None,
    }
}
