//! Errors of the stand-ins.

use displaydoc::Display;

/// Why a stand-in cannot go on.
#[derive(Debug, Display)]
pub enum StandinError {
    /// {what}: {cause}
    Io {
        /// What was tried.
        what: String,
        /// Why it failed.
        cause: std::io::Error,
    },
    /// {what}: {cause}
    Http {
        /// What was tried.
        what: String,
        /// Why it failed.
        cause: String,
    },
    /// {0}
    Invalid(String),
    /// timed out: {0}
    Timeout(String),
}

impl std::error::Error for StandinError {}

impl StandinError {
    /// Wraps an input or output error with what was tried.
    pub fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> StandinError {
        let what = what.into();
        move |cause| StandinError::Io { what, cause }
    }
}
