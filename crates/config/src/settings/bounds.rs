//! Limits on the size and duration of requests and responses.

use std::time::Duration;

/// Limits that apply to the listeners for callers and nodes, and to responses of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of headers of a request.
    pub max_headers: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a response's body, in bytes.
    pub max_response_bytes: usize,
    /// Maximum size of all request and response bodies that the process holds, in bytes. Further
    /// requests with a body are refused.
    pub max_held_bytes: usize,
    /// Maximum number of open connections of one listener.
    pub max_connections: usize,
    /// Time limit for receiving a request's head; an idle connection is closed after the same
    /// time.
    pub head_timeout: Duration,
    /// Time limit for receiving a request's body.
    pub body_timeout: Duration,
}

impl Bounds {
    /// Creates the default limits.
    pub fn new() -> Bounds {
        Bounds {
            max_head_bytes: 16 << 10,
            max_headers: 64,
            max_body_bytes: 1 << 20,
            max_response_bytes: 8 << 20,
            max_held_bytes: 64 << 20,
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
