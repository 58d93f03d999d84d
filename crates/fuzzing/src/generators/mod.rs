//! Random events, each made from a seeded generator.

mod gate;
mod quarantine;
mod retry;
mod store;
mod ticket;

pub use gate::GateOp;
pub use quarantine::QuarantineOp;
pub use retry::{CallPlan, TryPlan};
pub use store::{StoreFault, StoreOp};
pub use ticket::TicketOp;

use snipehollow_core::rng::Rng;

/// Something that can be made at random.
pub trait Random: Sized {
    /// Makes one.
    fn random(rng: &mut Rng) -> Self;
}

/// Makes a sequence of events from a seed.
pub fn sequence<T: Random>(seed: u64, length: usize) -> Vec<T> {
    let mut rng = Rng::new(seed);
    (0..length).map(|_| T::random(&mut rng)).collect()
}

macro_rules! arbitrary {
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

arbitrary!(GateOp, QuarantineOp, CallPlan, StoreOp, TicketOp);
