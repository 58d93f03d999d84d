//! Decision logic of the overload control layer, without any input or output.
//!
//! The types here are state machines. The caller passes in the current [`time::Timestamp`] and,
//! where a choice is random, a seeded [`rng::Rng`]. They use no clock, socket or thread, so that
//! long randomized tests can be replayed exactly from a seed.
//!
//! | module | decides |
//! | --- | --- |
//! | [`admission`] | which request an upstream runs next and which one is refused |
//! | [`retry`] | whether a failed try may be retried |
//! | [`ticket`] | whether a request that must not run twice may still run |
//! | [`quarantine`] | which requests are refused because they crash upstreams |
//! | [`routing`] | which host a try is sent to |
//! | [`membership`] | which hosts of the availability zone are alive |
//! | [`trace`] | which recent decisions are kept for `explain` |

#[macro_use]
mod derive;
#[macro_use]
pub mod invariant;

pub mod admission;
pub mod callgraph;
pub mod class;
pub mod collections;
pub mod ewma;
pub mod ids;
pub mod lenient;
pub mod membership;
pub mod outcome;
pub mod quarantine;
pub mod reason;
pub mod retry;
pub mod rng;
pub mod routing;
pub mod ticket;
pub mod time;
pub mod trace;
