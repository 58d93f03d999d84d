//! Error type of the stand-ins and the mesh harness.

use displaydoc::Display;

/// Error of a stand-in or of the mesh harness.
#[derive(Debug, Display)]
pub enum StandinError {
    /// {operation}: {cause}
    Io {
        /// Operation that failed, such as "listen on ADDRESS".
        operation: String,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// {operation}: {cause}
    Http {
        /// Operation that failed, usually a method and URL.
        operation: String,
        /// Message of the HTTP client or server, or of the decoder of a body.
        cause: String,
    },
    /// {0}
    Invalid(String),
    /// timed out: {0}
    Timeout(String),
}

impl std::error::Error for StandinError {}

impl StandinError {
    /// Returns a function for `map_err` that adds the failed operation to an I/O error.
    pub fn io(operation: impl Into<String>) -> impl FnOnce(std::io::Error) -> StandinError {
        let operation = operation.into();
        move |cause| StandinError::Io { operation, cause }
    }
}
