//! Stand-ins for what surrounds the system, and the mesh that runs all of it on one machine.
//!
//! Never shipped: tests, measurements and the demonstration use them.
//!
//! - [`store`]: the platform's key-value service, with faults on request.
//! - [`upstream`]: an upstream with slots, service time, cold start, draining, shedding and
//!   crashes on request.
//! - [`load`]: callers that keep their own pace and, on request, retry hard.
//! - [`mesh`]: starts and stops the processes of a whole mesh.

pub mod error;
pub mod load;
pub mod mesh;
pub mod store;
pub mod upstream;
