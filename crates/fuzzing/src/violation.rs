//! Error type of the oracles.

/// A difference between the code under test and its oracle, described in a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    message: String,
}

impl Violation {
    /// Creates a violation; the message says which guarantee is violated.
    pub fn new(message: String) -> Violation {
        Violation { message }
    }
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Violation {}
