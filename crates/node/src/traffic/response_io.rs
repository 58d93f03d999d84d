//! TCP stream that bounds the head of a response, and what is read between the pieces of its body.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes that are read for the head of a response, including informational
/// responses before it, which hyper skips without a limit of its own.
const MAX_HEAD_BYTES: usize = 256 << 10;
/// Maximum number of bytes that are read without a piece of the body: the framing, which hyper parses
/// without a limit of its own, and what it reads ahead.
const MAX_UNDELIVERED_BYTES: usize = 256 << 10;

/// Number of bytes that may still be read from a connection.
#[derive(Clone, Debug)]
pub(super) struct ReadAllowance(Arc<AtomicUsize>);

impl ReadAllowance {
    /// Limits what is read from now on to [`MAX_HEAD_BYTES`], exceeded by one read at most.
    pub(super) fn await_head(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Release);
    }

    /// Limits what is read until the next piece of the body to [`MAX_UNDELIVERED_BYTES`], after the head
    /// or a piece has arrived. The pieces are limited by their reader.
    pub(super) fn await_piece(&self) {
        self.0.store(MAX_UNDELIVERED_BYTES, Ordering::Release);
    }
}

/// TCP stream on which responses are received.
pub(super) struct ResponseIo {
    inner: TcpStream,
    allowance: ReadAllowance,
}

impl ResponseIo {
    pub(super) fn new(inner: TcpStream) -> ResponseIo {
        ResponseIo { inner, allowance: ReadAllowance(Arc::new(AtomicUsize::new(usize::MAX))) }
    }

    pub(super) fn allowance(&self) -> ReadAllowance {
        self.allowance.clone()
    }
}

impl AsyncRead for ResponseIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.0.load(Ordering::Acquire) == 0 {
            return Poll::Ready(Err(io::Error::other(
                "too many bytes without a head or a piece of a body",
            )));
        }
        let filled = buf.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        let read = buf.filled().len() - filled;
        let reduce = |left: usize| (left != usize::MAX).then(|| left.saturating_sub(read));
        // Fails only without a limit.
        let _ = self.allowance.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, reduce);
        result
    }
}

impl AsyncWrite for ResponseIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
