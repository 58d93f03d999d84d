//! Errors of the stand-ins.

use displaydoc::Display;

/// Why a stand-in cannot go on.
#[derive(Debug, Display)]
pub enum StandinError {
    /// {operation}: {cause}
    Io {
        /// Operation that failed.
        operation: String,
        /// Why it failed.
        cause: std::io::Error,
    },
    /// {operation}: {cause}
    Http {
        /// Operation that failed.
        operation: String,
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
    pub fn io(operation: impl Into<String>) -> impl FnOnce(std::io::Error) -> StandinError {
        let operation = operation.into();
        move |cause| StandinError::Io { operation, cause }
    }
}
