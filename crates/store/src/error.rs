//! Errors of the key-value service.

use displaydoc::Display;

/// Why a call to the key-value service failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum StoreError {
    /// key-value service did not answer: {0}
    Unavailable(String),
    /// key-value service answered with status {0}
    Status(u16),
    /// value of {key} cannot be read: {cause}
    Malformed {
        /// The key.
        key: String,
        /// Why.
        cause: String,
    },
    /// value of {key} is {bytes} bytes long; the service takes 1048576
    TooLarge {
        /// The key.
        key: String,
        /// Length of the value.
        bytes: usize,
    },
}

impl std::error::Error for StoreError {}
