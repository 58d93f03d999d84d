//! Starts, controls and stops the processes of a mesh on loopback addresses.
//!
//! A node never starts other processes. Only this harness does, for tests, measurements and the
//! demonstration.

mod plan;
mod processes;
mod sites;

pub use plan::{HostPlan, MeshPlan, PEER_SECRET, ServicePlan};
pub use processes::{Mesh, Process};
pub use sites::{CARTAGO_ZONES, KOPPIESRAND_ZONES, cartago, koppiesrand};
