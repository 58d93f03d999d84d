//! Reason codes: why a decision was taken.

use std::fmt;

macro_rules! reasons {
    ($($(#[$meta:meta])* $name:ident => $text:literal,)*) => {
        key_type! {
            /// Why a decision was taken; feeds answers, logs, metrics, `/state` and `explain`.
            pub enum Reason {
                $($(#[$meta])* $name,)*
            }
        }

        impl Reason {
            /// Every reason, in the order of declaration.
            pub const ALL: &[Reason] = &[$(Reason::$name,)*];

            /// Returns the text used in headers, metrics and logs.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Reason::$name => $text,)*
                }
            }
        }
    };
}

reasons! {
    /// The request completed.
    Completed => "completed",
    /// A slot was free.
    SlotFree => "slot-free",
    /// No slot was free and the request waits.
    Queued => "queued",
    /// The queue was full and nothing less important waited.
    QueueFull => "queue-full",
    /// A more important request took the place in the queue.
    Evicted => "evicted",
    /// The predicted wait passes the deadline.
    PredictedLate => "predicted-late",
    /// The deadline passed before the request ran.
    DeadlinePassed => "deadline-passed",
    /// The caller left before the request ran.
    CallerLeft => "caller-left",
    /// The upstream is leaving.
    Leaving => "leaving",
    /// No upstream is announced on the host.
    NoUpstream => "no-upstream",
    /// No host of the service is known.
    NoHost => "no-host",
    /// Every host of the service would refuse the request.
    RefusedEarly => "refused-early",
    /// A service below is overloaded, and the request was shed before its call tree began.
    TreeOverloaded => "tree-overloaded",
    /// The request is quarantined because it crashes upstreams.
    Quarantined => "quarantined",
    /// Another suspected request is running on the upstream.
    SuspectBusy => "suspect-busy",
    /// The request needs a ticket.
    TicketNeeded => "ticket-needed",
    /// The ticket is forged, damaged or malformed.
    TicketInvalid => "ticket-invalid",
    /// The ticket expired before it was used.
    TicketExpired => "ticket-expired",
    /// The ticket was given up because its host leaves; it will never be run.
    TicketVoid => "ticket-void",
    /// The ticket was used for another request.
    TicketMismatch => "ticket-mismatch",
    /// The ticket was issued by an earlier start of the host.
    TicketLost => "ticket-lost",
    /// The stored answer of an earlier run was returned.
    TicketReplayed => "ticket-replayed",
    /// The request ran earlier and its answer is not stored.
    TicketAnswerGone => "ticket-answer-gone",
    /// An earlier run ended without a known result.
    TicketUnknown => "ticket-unknown",
    /// The host could not be reached.
    Unreachable => "unreachable",
    /// The connection ended before the answer was complete.
    AnswerCut => "answer-cut",
    /// The answer belonged to another request.
    ForeignAnswer => "foreign-answer",
    /// The upstream died while it ran the request.
    UpstreamDied => "upstream-died",
    /// The upstream refused the request.
    UpstreamRefused => "upstream-refused",
    /// The upstream answered with a server error.
    UpstreamError => "upstream-error",
    /// The answer did not come before the deadline.
    Timeout => "timeout",
    /// The retry allowance of the request is spent.
    AllowanceSpent => "allowance-spent",
    /// The retry budget of the service is spent.
    BudgetSpent => "budget-spent",
    /// The byte budget of the link between regions is spent.
    LinkBudgetSpent => "link-budget-spent",
    /// The request exceeds a bound or is malformed.
    BadRequest => "bad-request",
    /// No class matches the request.
    NoClass => "no-class",
    /// The host holds no configuration yet.
    NoConfig => "no-config",
    /// The parent request has ended.
    ParentEnded => "parent-ended",
}

impl Reason {
    /// Tells whether a try that ended so may have reached its upstream, which then counts it
    /// as an arrival.
    pub fn may_have_reached_upstream(self) -> bool {
        matches!(
            self,
            Reason::Completed
                | Reason::UpstreamRefused
                | Reason::UpstreamError
                | Reason::UpstreamDied
                | Reason::AnswerCut
                | Reason::ForeignAnswer
                | Reason::Timeout
        )
    }

    /// Reads the text used in headers.
    ///
    /// ```
    /// use snipehollow_core::reason::Reason;
    ///
    /// assert_eq!(Reason::parse("queue-full"), Some(Reason::QueueFull));
    /// ```
    pub fn parse(text: &str) -> Option<Reason> {
        Reason::ALL.iter().copied().find(|reason| reason.as_str() == text)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
