//! Planned stops: periods in which hosts take no new requests.

use snipehollow_core::data_type;
use snipehollow_core::ids::{HostName, ServiceName, ZoneName};

data_type! {
    /// A period in which certain hosts take no new requests, for example for maintenance.
    ///
    /// It applies to the hosts that match every field that is set.
    pub struct PlannedStop {
        /// Name of the host; `None` matches every host.
        pub host: Option<HostName>,
        /// Availability zone of the host; `None` matches every zone.
        pub zone: Option<ZoneName>,
        /// Service that the host runs; `None` matches every service.
        pub service: Option<ServiceName>,
        /// Start of the period, as Unix time in seconds.
        pub starts: u64,
        /// End of the period, as Unix time in seconds; not part of the period.
        pub ends: u64,
    }
}

impl PlannedStop {
    /// Returns whether the stop applies to a host.
    ///
    /// `service` is the service that the host runs, if any.
    pub fn matches(&self, host: &HostName, zone: &ZoneName, service: Option<&ServiceName>) -> bool {
        self.host.as_ref().is_none_or(|h| h == host)
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && self.service.as_ref().is_none_or(|s| Some(s) == service)
    }

    /// Returns whether the period includes this Unix time, in seconds.
    pub fn is_active(&self, unix_seconds: u64) -> bool {
        (self.starts..self.ends).contains(&unix_seconds)
    }
}
