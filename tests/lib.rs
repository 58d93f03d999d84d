//! End-to-end tests that run the real programs as processes on loopback. The tests are in `all/`.
