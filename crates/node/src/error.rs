//! Errors that stop the daemon.

use std::net::SocketAddr;

use displaydoc::Display;

/// Why the daemon cannot start or cannot continue to run.
#[derive(Debug, Display)]
pub enum NodeError {
    /// cannot listen on {addr} for {listener}: {cause}
    Listen {
        /// Name of the listener, for example `caller` or `control`.
        listener: &'static str,
        /// Address that the settings give the listener.
        addr: SocketAddr,
        /// Error of the operating system or the HTTP server.
        cause: String,
    },
    /// cannot read random bytes: {0}
    Random(getrandom::Error),
    /// cannot start thread {name}: {cause}
    Thread {
        /// Name of the thread.
        name: &'static str,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// cannot install signal handlers: {0}
    Signals(std::io::Error),
    /// cannot start logging: {0}
    Logging(String),
    /// {name} failed {failures} times in a row, most recently with: {cause}
    KeepsFailing {
        /// Name of the supervisor's child, which is also its thread's name.
        name: &'static str,
        /// Number of consecutive failures.
        failures: u32,
        /// Error or panic message of the last failure.
        cause: String,
    },
}

impl std::error::Error for NodeError {}
