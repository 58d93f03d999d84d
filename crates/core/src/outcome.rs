//! What became of a request, and the types that keep that word true.
//!
//! A failure may say `not-run` only while the request has not been handed to an upstream.
//! [`Undispatched`] is the proof of that: it is consumed by [`Undispatched::dispatch`]
//! before the first byte is written, and [`Dispatched`] has no way back to `not-run` but an
//! upstream's own refusal where the service's setting trusts it.

use std::fmt;

key_type! {
    /// What became of a request.
    ///
    /// The order is by how much may have happened, so the outcome of several tries is the
    /// greatest of theirs.
    pub enum Outcome {
        /// Truly not run by any upstream.
        NotRun,
        /// May have run.
        Unknown,
        /// Ran to its end.
        Ran,
    }

    /// Whether an upstream's own refusal counts as proof that it did not run the request.
    pub enum RefusalTrust {
        /// The upstream refuses only before it starts work.
        Trusted,
        /// The upstream may refuse after it started work.
        Untrusted,
    }
}

impl Outcome {
    /// Returns the text used in headers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::Ran => "ran",
        }
    }

    /// Reads the text used in headers.
    ///
    /// ```
    /// use snipehollow_core::outcome::Outcome;
    ///
    /// assert_eq!(Outcome::parse("not-run"), Some(Outcome::NotRun));
    /// assert_eq!(Outcome::parse("maybe"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Outcome> {
        match text {
            "not-run" => Some(Outcome::NotRun),
            "unknown" => Some(Outcome::Unknown),
            "ran" => Some(Outcome::Ran),
            _ => None,
        }
    }

    /// Combines the outcomes of two tries of one request.
    pub fn combine(self, other: Outcome) -> Outcome {
        self.max(other)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Proof that a try has not been handed to an upstream.
///
/// It can be neither copied nor made twice for one try.
#[derive(Debug)]
pub struct Undispatched(());

/// Proof that a try may have reached an upstream.
#[derive(Debug)]
pub struct Dispatched(());

impl Undispatched {
    /// Starts a try; called once, where the try arrives.
    pub fn new() -> Undispatched {
        Undispatched(())
    }

    /// Ends the try without having dispatched it.
    pub fn refuse(self) -> Outcome {
        Outcome::NotRun
    }

    /// Marks the try as handed over; called before its first byte is written.
    pub fn dispatch(self) -> Dispatched {
        Dispatched(())
    }
}

impl Default for Undispatched {
    fn default() -> Undispatched {
        Undispatched::new()
    }
}

impl Dispatched {
    /// Ends the try with a complete answer.
    pub fn complete(self) -> Outcome {
        Outcome::Ran
    }

    /// Ends the try without a complete answer.
    pub fn fail(self) -> Outcome {
        Outcome::Unknown
    }

    /// Ends the try with the upstream's own refusal.
    pub fn refused_by_upstream(self, trust: RefusalTrust) -> Outcome {
        match trust {
            RefusalTrust::Trusted => Outcome::NotRun,
            RefusalTrust::Untrusted => Outcome::Unknown,
        }
    }
}
