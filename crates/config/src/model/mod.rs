//! Configuration model: sections, revisions, and the configuration in force at a node.
//!
//! A sheet is converted to one global section and one section per service. The store holds
//! immutable section values, addressed by their digest, and one small [`Head`]. A commit is a
//! compare-and-swap of the head, so a sheet with many sections takes effect atomically.

mod head;
mod routes;
mod section;
mod state;
mod stop;

pub use head::{Change, Head, Index, IndexRef, RECENT_CHANGES, SectionRef};
pub use routes::{Route, RouteTable};
pub use section::{
    CallerLimits, GlobalSection, LinkBudgetRow, RouteRule, RouteTarget, Section, SectionDigest,
    SectionName, ServiceSection, VirtualHostSection,
};
pub use state::{Config, ConfigDelta, ConfigState, DeltaError, SectionValue};
pub use stop::PlannedStop;
