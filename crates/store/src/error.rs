//! Errors of calls to the key-value service.

use displaydoc::Display;

/// Reason why a call to the key-value service failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum StoreError {
    /// key-value service is unavailable: {0}
    Unavailable(String),
    /// key-value service returned unexpected status {0}
    Status(u16),
    /// cannot parse the value of key {key}: {cause}
    Malformed {
        /// Key of the value.
        key: String,
        /// Error of the parser.
        cause: String,
    },
    /// value of key {key} is {bytes} bytes long; the key-value service accepts at most 1048576
    TooLarge {
        /// Key of the value.
        key: String,
        /// Length of the value, in bytes.
        bytes: usize,
    },
}

impl std::error::Error for StoreError {}
