//! Server side of a connection on which a faulty upstream writes refusals twice.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Start of a refusal.
const REFUSAL: &[u8] = b"HTTP/1.1 503";

/// TCP stream that writes each refusal once more, before the next response on the connection.
pub(crate) struct RepeatingIo {
    inner: TcpStream,
    /// Whether refusals written from now on are repeated.
    repeats: Arc<AtomicBool>,
    /// Refusal that is written before the next response.
    copy: Vec<u8>,
}

impl RepeatingIo {
    pub(crate) fn new(inner: TcpStream, repeats: Arc<AtomicBool>) -> RepeatingIo {
        RepeatingIo { inner, repeats, copy: Vec::new() }
    }

    fn poll_write_copy(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.copy.is_empty() {
            let written = ready!(Pin::new(&mut self.inner).poll_write(cx, &self.copy))?;
            self.copy.drain(..written);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for RepeatingIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for RepeatingIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_write_copy(cx))?;
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        if self.repeats.load(Ordering::Acquire) && buf.starts_with(REFUSAL) {
            self.copy = buf[..written].to_vec();
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
