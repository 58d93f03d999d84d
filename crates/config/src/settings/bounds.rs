//! Bounds on what a caller may send.

use std::time::Duration;

/// Bounds of the faces that serve callers and nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most bytes of a request's head.
    pub max_head_bytes: usize,
    /// Most headers of a request.
    pub max_headers: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Most bytes of an answer's body.
    pub max_response_bytes: usize,
    /// Most connections of one face.
    pub max_connections: usize,
    /// Time in which a request's head must be complete, and after which an idle connection is
    /// closed.
    pub head_timeout: Duration,
    /// Time in which a request's body must be complete.
    pub body_timeout: Duration,
}

impl Bounds {
    /// Creates the default bounds.
    pub fn new() -> Bounds {
        Bounds {
            max_head_bytes: 16 << 10,
            max_headers: 64,
            max_body_bytes: 1 << 20,
            max_response_bytes: 8 << 20,
            max_connections: 1_024,
            head_timeout: Duration::from_secs(15),
            body_timeout: Duration::from_secs(10),
        }
    }
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds::new()
    }
}
