//! Stateful fuzzing of the decisions against simple oracles.
//!
//! [`generators`] make random sequences of events from a seed; [`oracles`] feed them to the
//! code under test and to a plain model written apart from it, and report the first
//! difference as a [`Violation`]. [`fleet`] joins many membership and configuration state
//! machines by a fake network.
//!
//! Short runs with fixed seeds are part of the tests; the program `fuzz` makes long ones.

pub mod fleet;
pub mod generators;
pub mod oracles;
mod violation;

pub use violation::Violation;

/// Returns early with a [`Violation`] if a condition does not hold.
#[macro_export]
macro_rules! check {
    ($cond:expr, $($arg:tt)+) => {
        if !$cond {
            return Err($crate::Violation::new(format!($($arg)+)));
        }
    };
}
