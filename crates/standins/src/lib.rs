//! Test doubles of the systems around the product, and a harness that runs a whole mesh on one
//! machine.
//!
//! Used by tests, measurements and the demonstration; never shipped.
//!
//! - [`store`]: the platform's key-value service, with fault injection.
//! - [`upstream`]: a service instance with configurable slots, service time, cold start, draining,
//!   load shedding, crashes and refusals that it writes twice.
//! - [`load`]: an open-loop load generator whose callers can retry immediately.
//! - [`mesh`]: starts, controls and stops the processes of a mesh.

pub mod error;
pub mod load;
pub mod mesh;
mod repeating_io;
pub mod store;
pub mod upstream;
