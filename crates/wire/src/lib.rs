//! What travels between the processes: headers of calls, and control messages.
//!
//! - [`headers`]: the short list of headers that callers and nodes exchange.
//! - [`control`]: messages between nodes, carried by JSON-RPC.
//! - [`admin`]: what the operators' command line reads from a node.

pub mod admin;
pub mod control;
pub mod headers;
