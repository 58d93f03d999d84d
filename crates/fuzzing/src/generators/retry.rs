//! Random call trees.

use snipehollow_core::rng::Rng;

use super::Random;

/// Maximum depth of a call tree.
const MAX_DEPTH: usize = 12;
/// Maximum number of planned tries of one call.
const MAX_TRIES: usize = 4;

/// One call, as the outcomes of the tries that its node makes.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// Tries in order, at least one. Further tries have the outcome of the last one.
    pub tries: Vec<TryPlan>,
}

/// Outcome of one try, and the nested calls that it makes.
#[derive(Clone, Debug)]
pub struct TryPlan {
    /// Nested calls that the upstream makes while it handles the try.
    pub nested_calls: Vec<CallPlan>,
    /// Whether the nested calls run concurrently instead of one after the other.
    pub concurrent: bool,
    /// Whether the try fails.
    pub fails: bool,
    /// Whether its response is lost, and with it the unspent allowance.
    pub response_lost: bool,
}

impl Random for CallPlan {
    fn random(rng: &mut Rng) -> CallPlan {
        random_call(rng, MAX_DEPTH)
    }
}

fn random_call(rng: &mut Rng, depth: usize) -> CallPlan {
    let tries = 1 + rng.below(MAX_TRIES);
    CallPlan { tries: (0..tries).map(|_| random_try(rng, depth)).collect() }
}

fn random_try(rng: &mut Rng, depth: usize) -> TryPlan {
    // At most two nested calls, and 0.45 on average, so that trees stay small but can get deep.
    let nested_calls =
        if depth == 0 { 0 } else { usize::from(rng.chance(0.35)) + usize::from(rng.chance(0.1)) };
    TryPlan {
        nested_calls: (0..nested_calls).map(|_| random_call(rng, depth - 1)).collect(),
        concurrent: rng.chance(0.5),
        fails: rng.chance(0.6),
        response_lost: rng.chance(0.2),
    }
}
