//! Random call trees.

use snipehollow_core::rng::Rng;

use super::Random;

/// Deepest call tree.
const MAX_DEPTH: usize = 12;
/// Most tries that one call plans for.
const MAX_TRIES: usize = 4;

/// One call: what happens to each try that its entry makes.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// Tries, in order; when they run out, further tries fail at once.
    pub tries: Vec<TryPlan>,
}

/// One try.
#[derive(Clone, Debug)]
pub struct TryPlan {
    /// Deeper calls of the upstream.
    pub children: Vec<CallPlan>,
    /// Whether the deeper calls run at once rather than one after the other.
    pub at_once: bool,
    /// Whether the try fails.
    pub fails: bool,
    /// Whether its answer is lost, with what it did not spend.
    pub answer_lost: bool,
}

impl Random for CallPlan {
    fn random(rng: &mut Rng) -> CallPlan {
        call(rng, MAX_DEPTH)
    }
}

fn call(rng: &mut Rng, depth: usize) -> CallPlan {
    let tries = 1 + rng.below(MAX_TRIES);
    CallPlan { tries: (0..tries).map(|_| a_try(rng, depth)).collect() }
}

fn a_try(rng: &mut Rng, depth: usize) -> TryPlan {
    // Wide near the top, then thin, so that a tree stays small and yet deep.
    let children =
        if depth == 0 { 0 } else { usize::from(rng.chance(0.35)) + usize::from(rng.chance(0.1)) };
    TryPlan {
        children: (0..children).map(|_| call(rng, depth - 1)).collect(),
        at_once: rng.chance(0.5),
        fails: rng.chance(0.6),
        answer_lost: rng.chance(0.2),
    }
}
