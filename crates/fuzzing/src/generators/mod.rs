//! Generators of random operations.
//!
//! All randomness comes from a seed, so that a failing sequence can be reproduced.

mod gate;
mod json;
mod quarantine;
mod retry;
mod store;
mod ticket;

pub use gate::GateOp;
pub use json::{spoil_bytes, spoil_value};
pub use quarantine::QuarantineOp;
pub use retry::{CallPlan, TryPlan};
pub use store::{StoreFault, StoreOp};
pub use ticket::TicketOp;

use snipehollow_core::rng::Rng;

/// A type whose values can be generated at random.
pub trait Random: Sized {
    /// Generates a value; the same state of `rng` gives the same value.
    fn random(rng: &mut Rng) -> Self;
}

/// Generates a sequence of `length` values from a seed.
pub fn sequence<T: Random>(seed: u64, length: usize) -> Vec<T> {
    let mut rng = Rng::new(seed);
    (0..length).map(|_| T::random(&mut rng)).collect()
}

// quickcheck draws only the seed of each value. It cannot shrink the values themselves, so it
// shrinks a failing sequence by removing values.
macro_rules! impl_arbitrary {
    ($($name:ident),*) => {
        $(
            impl quickcheck::Arbitrary for $name {
                fn arbitrary(g: &mut quickcheck::Gen) -> $name {
                    $name::random(&mut Rng::new(u64::arbitrary(g)))
                }
            }
        )*
    };
}

impl_arbitrary!(GateOp, QuarantineOp, CallPlan, StoreOp, TicketOp);
