//! A difference between the code under test and its oracle.

/// What an oracle found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    what: String,
}

impl Violation {
    /// Creates a violation from its description.
    pub fn new(what: String) -> Violation {
        Violation { what }
    }
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.what)
    }
}

impl std::error::Error for Violation {}
