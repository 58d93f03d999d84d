//! End-to-end tests with real processes on loopback; see `all/`.
