//! A caller's connection whose protocol errors this daemon answers itself.
//!
//! The HTTP library answers a malformed or oversized head on its own, without the header
//! that tells the outcome. Such an answer is withheld here, and the server writes its own
//! instead once the library gives the connection back.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Start of an answer that the library makes by itself.
const ERROR_PREFIX: &[u8] = b"HTTP/1.1 4";
/// Header that every answer of this daemon has.
const OWN_HEADER: &[u8] = b"snipehollow-outcome";

/// Requests in progress on one connection.
#[derive(Clone, Debug, Default)]
pub(super) struct Calls {
    running: Arc<AtomicU32>,
    /// Whether bytes arrived since the last request was started.
    partial: Arc<AtomicBool>,
}

/// Counts one request until it is dropped.
pub(super) struct CallGuard {
    running: Arc<AtomicU32>,
}

impl Calls {
    pub(super) fn start(&self) -> CallGuard {
        self.running.fetch_add(1, Ordering::AcqRel);
        self.partial.store(false, Ordering::Release);
        CallGuard { running: Arc::clone(&self.running) }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A connection that withholds the library's own error answers.
pub(super) struct GuardedIo {
    inner: TcpStream,
    calls: Calls,
}

impl GuardedIo {
    pub(super) fn new(inner: TcpStream) -> GuardedIo {
        GuardedIo { inner, calls: Calls::default() }
    }

    pub(super) fn calls(&self) -> Calls {
        self.calls.clone()
    }

    /// Tells whether part of a request arrived that was never started.
    pub(super) fn has_partial_request(&self) -> bool {
        self.calls.partial.load(Ordering::Acquire)
    }

    pub(super) fn into_inner(self) -> TcpStream {
        self.inner
    }

    fn is_librarys_own(&self, buf: &[u8]) -> bool {
        self.calls.running.load(Ordering::Acquire) == 0
            && self.has_partial_request()
            && buf.starts_with(ERROR_PREFIX)
            && !buf.windows(OWN_HEADER.len()).any(|window| window == OWN_HEADER)
    }
}

impl AsyncRead for GuardedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        let idle = self.calls.running.load(Ordering::Acquire) == 0;
        if idle && buf.filled().len() > before {
            self.calls.partial.store(true, Ordering::Release);
        }
        result
    }
}

impl AsyncWrite for GuardedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_librarys_own(buf) {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
