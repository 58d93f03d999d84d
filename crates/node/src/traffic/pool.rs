//! Idle connections to upstreams and nodes.
//!
//! The pool has no queue of its own: work that waited here would be invisible to rank and
//! deadline. Who finds no idle connection opens one.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use snipehollow_core::class::Repeat;
use snipehollow_core::collections::FastMap;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time in which a connection must come about: a dozen round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a connection whose bytes are not acknowledged is given up, so that one
/// that fell silent costs a caller at most a second.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which an idle connection is probed, and between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Most idle connections to one address.
const MAX_IDLE: usize = 512;
/// Longest time that a connection stays idle.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Longest idle time of a connection that carries a request which may not be sent again: the
/// other end may close one that is idle longer just as the request is on its way.
const MAX_IDLE_TIME_ONCE: Duration = Duration::from_millis(250);

/// Which idle connections may carry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// Any: the request may be sent again if the connection turns out to be closed.
    Any,
    /// Those used a moment ago: the request may be sent once.
    Recent,
}

impl Reuse {
    /// Returns how a request of a class may use connections.
    pub(crate) fn of(repeat: Repeat) -> Reuse {
        match repeat {
            Repeat::Idempotent => Reuse::Any,
            Repeat::OncePerAttempt | Repeat::Never => Reuse::Recent,
        }
    }

    fn max_idle(self) -> Duration {
        match self {
            Reuse::Any => MAX_IDLE_TIME,
            Reuse::Recent => MAX_IDLE_TIME_ONCE,
        }
    }
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<FastMap<SocketAddr, Vec<Idle>>>,
}

/// A connection that carries one request at a time.
pub(crate) struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

/// Why a request got no response.
pub(crate) enum SendError {
    /// The connection closed before a byte was written; the request comes back.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The request may have been written.
    Failed,
}

impl Pool {
    pub(crate) fn new() -> Pool {
        Pool::default()
    }

    /// Returns the connection that was idle shortest, if it is ready and was used lately enough.
    pub(crate) fn take(&self, addr: SocketAddr, reuse: Reuse) -> Option<Connection> {
        let max_idle = reuse.max_idle();
        let mut idle = self.lock();
        let list = idle.get_mut(&addr)?;
        while let Some(entry) = list.pop_if(|entry| entry.since.elapsed() < max_idle) {
            if entry.sender.is_ready() {
                return Some(Connection { addr, sender: entry.sender });
            }
        }
        None
    }

    /// Opens a connection.
    pub(crate) async fn connect(&self, addr: SocketAddr) -> std::io::Result<Connection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        socket.set_tcp_keepalive(
            &TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL),
        )?;
        let (sender, driver) =
            http1::handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        tokio::spawn(async move {
            // An error here is also reported to the request on the connection.
            let _ = driver.await;
        });
        Ok(Connection { addr, sender })
    }

    /// Takes back a connection whose response was read to its end.
    pub(crate) fn give_back(&self, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.lock();
        let list = idle.entry(connection.addr).or_default();
        if list.len() < MAX_IDLE {
            list.push(Idle { sender: connection.sender, since: Instant::now() });
        }
    }

    /// Closes connections that were idle too long.
    pub(crate) fn close_old(&self) {
        let mut idle = self.lock();
        for list in idle.values_mut() {
            list.retain(|entry| !entry.sender.is_closed() && entry.since.elapsed() < MAX_IDLE_TIME);
        }
        idle.retain(|_, list| !list.is_empty());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FastMap<SocketAddr, Vec<Idle>>> {
        // The lists stay valid whatever panics: an entry is whole or absent.
        self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Connection {
    /// Sends a request and returns the head of the response.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(req).await.map_err(|mut err| match err.take_message() {
            Some(req) => SendError::Unsent(Box::new(req)),
            None => SendError::Failed,
        })
    }
}
