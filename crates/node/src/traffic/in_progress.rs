//! Counts requests in progress until their responses have been written.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use bytes::Bytes;

/// Number of requests in progress at a listener.
#[derive(Clone, Debug, Default)]
pub(crate) struct InProgress(Arc<AtomicU32>);

/// Counts one request until it is dropped.
#[derive(Debug)]
pub(crate) struct InProgressGuard(InProgress);

/// Body of a response whose request is in progress until the body is dropped.
struct TrackedBody {
    body: Bytes,
    _guard: InProgressGuard,
}

impl AsRef<[u8]> for TrackedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl InProgress {
    /// Counts a request as in progress.
    pub(crate) fn start(&self) -> InProgressGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        InProgressGuard(self.clone())
    }

    /// Returns the number of requests in progress.
    pub(crate) fn get(&self) -> u32 {
        self.0.load(Ordering::Acquire)
    }
}

impl InProgressGuard {
    /// Ends the request when the last byte of its response's body has been written.
    pub(crate) fn until_written(self, body: Bytes) -> Bytes {
        Bytes::from_owner(TrackedBody { body, _guard: self })
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}
