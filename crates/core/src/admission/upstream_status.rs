//! What an upstream said about itself in its responses, as nodes tell each other.

use std::fmt;

use super::UpstreamRateLimit;
use crate::ids::InstanceId;

/// Start number of an upstream process whose announcement is not known yet.
pub const UNKNOWN_PROCESS_START: u64 = 0;

/// What a process of an upstream said about itself in its responses.
///
/// The gate reports it to entry nodes with its responses. Each entry node sends it back with its
/// requests, so that a gate which was restarted knows it before it dispatches them.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamStatus {
    /// Start number of the process, or [`UNKNOWN_PROCESS_START`].
    pub start: u64,
    /// Id of the process; `None` if it has none.
    pub instance: Option<InstanceId>,
    /// Rate limit that it named, in requests per second; `None` if it named none.
    pub rate_limit: Option<f64>,
    /// Whether it said that it is leaving.
    pub leaving: bool,
}

impl UpstreamStatus {
    /// Returns whether the status may be about the process with this start number and id. Unknown
    /// start numbers match any.
    pub fn may_describe(&self, start: u64, instance: Option<&InstanceId>) -> bool {
        let start_matches = self.start == start
            || self.start == UNKNOWN_PROCESS_START
            || start == UNKNOWN_PROCESS_START;
        start_matches && self.instance.as_ref() == instance
    }

    /// Returns whether a request must not be sent to the process with this start number and id
    /// because, according to the status, that process is leaving.
    ///
    /// A status without a start number does not count against a process with a known one, which
    /// may be a later process with the same id.
    pub fn forbids(&self, start: u64, instance: Option<&InstanceId>) -> bool {
        let may_be_later = self.start == UNKNOWN_PROCESS_START && start != UNKNOWN_PROCESS_START;
        self.leaving && !may_be_later && self.may_describe(start, instance)
    }

    /// Parses the header form, `start/limit/leaving/instance`; `None` if the text is malformed.
    ///
    /// `limit` and `instance` are empty if there is none; `leaving` is `1` or `0`.
    ///
    /// ```
    /// use snipehollow_core::admission::UpstreamStatus;
    ///
    /// let status = UpstreamStatus::parse("17/2.5/0/i-1").unwrap();
    /// assert_eq!(status.rate_limit, Some(2.5));
    /// assert_eq!(status.to_string(), "17/2.5/0/i-1");
    /// assert!(UpstreamStatus::parse("17//1/").unwrap().forbids(17, None));
    /// assert_eq!(UpstreamStatus::parse("17/-1/0/i-1"), None);
    /// ```
    pub fn parse(text: &str) -> Option<UpstreamStatus> {
        let mut fields = text.split('/');
        let start = fields.next()?.parse().ok()?;
        let rate_limit = match fields.next()? {
            "" => None,
            limit => Some(UpstreamRateLimit::parse(limit)?),
        };
        let leaving = match fields.next()? {
            "0" => false,
            "1" => true,
            _ => return None,
        };
        let instance = match fields.next()? {
            "" => None,
            id => Some(InstanceId::new(id).ok()?),
        };
        if fields.next().is_some() {
            return None;
        }
        Some(UpstreamStatus { start, instance, rate_limit, leaving })
    }
}

impl fmt::Display for UpstreamStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/", self.start)?;
        if let Some(limit) = self.rate_limit {
            write!(f, "{limit}")?;
        }
        let leaving = u8::from(self.leaving);
        write!(f, "/{leaving}/{}", self.instance.as_ref().map_or("", |id| id.as_str()))
    }
}
