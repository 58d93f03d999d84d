//! Starts and stops the processes of a whole mesh on loopback addresses.
//!
//! The product's own processes start no other; this harness is for tests, measurements and
//! the demonstration.

mod plan;
mod processes;
mod sites;

pub use plan::{HostPlan, MeshPlan, ServicePlan};
pub use processes::{Mesh, Process};
pub use sites::{CARTAGO_ZONES, KOPPIESRAND_ZONES, cartago, koppiesrand};
