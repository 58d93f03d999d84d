//! Invariant checks that can also be enabled in production.
//!
//! Checks are enabled in debug builds, and in release builds after a call of [`enable`] (the
//! daemon's `--assert` setting). A violated invariant panics: the supervisor logs the panic and
//! the process restarts the failed part instead of continuing with corrupt state.

use std::sync::atomic::{AtomicBool, Ordering};

static ENABLED: AtomicBool = AtomicBool::new(cfg!(debug_assertions));

/// Enables the checks until the process ends.
pub fn enable() {
    ENABLED.store(true, Ordering::Relaxed);
}

/// Returns whether the checks are enabled.
///
/// ```
/// snipehollow_core::invariant::enable();
/// assert!(snipehollow_core::invariant::is_enabled());
/// ```
pub fn is_enabled() -> bool {
    ENABLED.load(Ordering::Relaxed)
}

/// Panics with the formatted message if checks are enabled and the condition is false.
///
/// The condition is not evaluated while checks are disabled.
#[macro_export]
macro_rules! invariant {
    ($cond:expr, $($arg:tt)+) => {
        if $crate::invariant::is_enabled() && !$cond {
            panic!("invariant violated: {}", format_args!($($arg)+));
        }
    };
}
