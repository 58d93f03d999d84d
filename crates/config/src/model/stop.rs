//! Planned stops.

use snipehollow_core::data_type;
use snipehollow_core::ids::{HostName, ServiceName, ZoneName};

data_type! {
    /// Hosts that stop taking work for a time; a host is meant if it matches every field
    /// that is set.
    pub struct PlannedStop {
        /// Host to stop.
        pub host: Option<HostName>,
        /// Availability zone to stop.
        pub zone: Option<ZoneName>,
        /// Service whose hosts stop.
        pub service: Option<ServiceName>,
        /// Start, in seconds of Unix time.
        pub starts: u64,
        /// End, in seconds of Unix time.
        pub ends: u64,
    }
}

impl PlannedStop {
    /// Tells whether a host is meant.
    pub fn matches(&self, host: &HostName, zone: &ZoneName, service: Option<&ServiceName>) -> bool {
        self.host.as_ref().is_none_or(|h| h == host)
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && self.service.as_ref().is_none_or(|s| Some(s) == service)
    }

    /// Tells whether the stop is in force at this Unix time, in seconds.
    pub fn is_active(&self, unix_seconds: u64) -> bool {
        (self.starts..self.ends).contains(&unix_seconds)
    }
}
