//! Outcomes of requests, and types that prevent a wrong `not-run`.
//!
//! A failure may be reported as `not-run` only if the request was not sent to an upstream.
//! [`Undispatched`] is the proof of that. [`Undispatched::dispatch`] consumes it before the first
//! byte is written. After that, [`Dispatched`] yields `not-run` only for a refusal by the upstream
//! itself, and only if the service is configured to trust such refusals.

use std::fmt;

key_type! {
    /// Whether a request ran.
    ///
    /// The variants are ordered by how much may have happened, so the outcome of several tries is
    /// the maximum of theirs.
    pub enum Outcome {
        /// No upstream ran the request.
        NotRun,
        /// An upstream may have run the request, fully or in part.
        Unknown,
        /// An upstream ran the request to completion.
        Ran,
    }

    /// Whether a refusal by an upstream proves that it did not run the request.
    ///
    /// Configured per service.
    pub enum RefusalTrust {
        /// The upstream refuses a request only before it starts to run it.
        Trusted,
        /// The upstream may refuse a request after it started to run it.
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

    /// Parses the text used in headers; returns `None` for an unknown one.
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

    /// Returns the outcome of a request from the outcomes of two of its tries.
    pub fn combine(self, other: Outcome) -> Outcome {
        self.max(other)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Proof that a try has not been sent to an upstream.
///
/// It can't be copied, and is created only once per try.
#[derive(Debug)]
pub struct Undispatched(());

/// Proof that a try may have reached an upstream.
#[derive(Debug)]
pub struct Dispatched(());

impl Undispatched {
    /// Creates the proof for a new try. Must be called only once per try, when the try arrives.
    pub fn new() -> Undispatched {
        Undispatched(())
    }

    /// Ends the try before its dispatch.
    pub fn refuse(self) -> Outcome {
        Outcome::NotRun
    }

    /// Marks the try as sent. Must be called before its first byte is written.
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
    /// Ends the try with a complete response.
    pub fn complete(self) -> Outcome {
        Outcome::Ran
    }

    /// Ends the try without a complete response.
    pub fn fail(self) -> Outcome {
        Outcome::Unknown
    }

    /// Ends the try with a refusal by the upstream.
    pub fn refused_by_upstream(self, trust: RefusalTrust) -> Outcome {
        match trust {
            RefusalTrust::Trusted => Outcome::NotRun,
            RefusalTrust::Untrusted => Outcome::Unknown,
        }
    }
}
