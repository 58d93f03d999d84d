//! Formats that processes exchange: headers of calls, control messages and admin responses.
//!
//! - [`headers`]: headers between callers, nodes and upstreams.
//! - [`control`]: control messages between nodes, sent over JSON-RPC.
//! - [`admin`]: responses of a node's admin server, and announcements of upstreams.

pub mod admin;
pub mod control;
pub mod headers;
