//! Invariants asserted inside the running program.
//!
//! Checks run in debug builds, and in release builds after [`enable`] was called
//! (the daemon's `--assert` setting). A violated invariant panics: the supervisor logs
//! it and the process restarts the failed part rather than go on with broken state.

use std::sync::atomic::{AtomicBool, Ordering};

static ENABLED: AtomicBool = AtomicBool::new(cfg!(debug_assertions));

/// Turns the checks on for the rest of the process's life.
pub fn enable() {
    ENABLED.store(true, Ordering::Relaxed);
}

/// Tells whether checks run.
///
/// ```
/// snipehollow_core::invariant::enable();
/// assert!(snipehollow_core::invariant::is_enabled());
/// ```
pub fn is_enabled() -> bool {
    ENABLED.load(Ordering::Relaxed)
}

/// Panics with the formatted message if the condition is false and checks are enabled.
#[macro_export]
macro_rules! invariant {
    ($cond:expr, $($arg:tt)+) => {
        if $crate::invariant::is_enabled() && !$cond {
            panic!("invariant violated: {}", format_args!($($arg)+));
        }
    };
}
