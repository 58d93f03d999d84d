//! Model-based fuzzing of the decision code.
//!
//! [`generators`] generate random sequences of operations from a seed. [`oracles`] apply them to
//! the code under test and to a simple model that was written independently of it, and report
//! the first difference as a [`Violation`]. [`fleet`] simulates many membership and configuration
//! state machines on a simulated network.
//!
//! The tests make short runs with fixed seeds; the program `fuzz` makes long runs.

pub mod fleet;
pub mod generators;
pub mod oracles;
mod violation;

pub use violation::Violation;

/// Returns a [`Violation`] with the formatted message from the calling function if a condition does
/// not hold.
#[macro_export]
macro_rules! check {
    ($cond:expr, $($arg:tt)+) => {
        if !$cond {
            return Err($crate::Violation::new(format!($($arg)+)));
        }
    };
}
