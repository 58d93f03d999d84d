//! Random operations on a gate.

use snipehollow_core::admission::Completion;
use snipehollow_core::rng::Rng;

use super::Random;

/// An operation on a gate, or the passing of time.
#[derive(Clone, Debug)]
pub enum GateOp {
    /// A request arrives.
    Arrive {
        /// Rank of its class, 0 to 3.
        rank: u8,
        /// Whether its class is rate-limited.
        limited: bool,
        /// Number of its caller, 0 to 2.
        caller: u8,
        /// Time until its deadline, in milliseconds.
        deadline_ms: u32,
    },
    /// A running request ends.
    Finish {
        /// Chooses among the running requests.
        pick: u16,
        /// How it ends.
        completion: Completion,
    },
    /// The caller of a waiting request disconnects.
    Cancel {
        /// Chooses among the waiting requests.
        pick: u16,
    },
    /// Time passes.
    Advance {
        /// Elapsed time in milliseconds.
        ms: u32,
    },
    /// The gate refuses the waiting requests whose deadline has passed.
    Expire,
    /// The upstream announces that it is leaving.
    Leave,
    /// The upstream announces that it serves again.
    Resume,
    /// The upstream announces another number of slots.
    SetSlots {
        /// New number of slots.
        slots: u8,
    },
}

impl Random for GateOp {
    fn random(rng: &mut Rng) -> GateOp {
        match rng.below(100) {
            0..50 => GateOp::Arrive {
                rank: rng.below(4) as u8,
                limited: rng.chance(0.2),
                caller: rng.below(3) as u8,
                deadline_ms: 1 + rng.below(2_000) as u32,
            },
            50..80 => {
                GateOp::Finish { pick: rng.next_u64() as u16, completion: random_completion(rng) }
            }
            80..85 => GateOp::Cancel { pick: rng.next_u64() as u16 },
            85..95 => GateOp::Advance { ms: rng.below(200) as u32 },
            95 | 96 => GateOp::Expire,
            97 => GateOp::Leave,
            98 => GateOp::Resume,
            _ => GateOp::SetSlots { slots: 1 + rng.below(8) as u8 },
        }
    }
}

fn random_completion(rng: &mut Rng) -> Completion {
    match rng.below(10) {
        0 => Completion::Failed,
        1 => Completion::Overloaded,
        _ => Completion::Succeeded,
    }
}
