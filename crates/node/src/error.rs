//! Errors that end the daemon.

use std::net::SocketAddr;

use displaydoc::Display;

/// Why the daemon cannot run.
#[derive(Debug, Display)]
pub enum NodeError {
    /// cannot listen on {addr} for {listener}: {cause}
    Listen {
        /// Which face.
        listener: &'static str,
        /// Its address.
        addr: SocketAddr,
        /// Why.
        cause: String,
    },
    /// cannot read random bytes: {0}
    Random(getrandom::Error),
    /// cannot start thread {name}: {cause}
    Thread {
        /// Name of the thread.
        name: &'static str,
        /// Why.
        cause: std::io::Error,
    },
    /// cannot install signal handlers: {0}
    Signals(std::io::Error),
    /// cannot start logging: {0}
    Logging(String),
    /// {name} failed {failures} times in a row; last: {cause}
    KeepsFailing {
        /// Name of the child.
        name: &'static str,
        /// How often.
        failures: u32,
        /// The last failure.
        cause: String,
    },
}

impl std::error::Error for NodeError {}
