//! Pool of idle connections to upstreams and other nodes.
//!
//! The pool never makes a request wait for a connection, because a queue here would ignore ranks
//! and deadlines. If there is no idle connection, the request opens a new one.

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
use snipehollow_core::collections::{FastMap, FastSet};
use snipehollow_core::ids::RequestId;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::response_io::{ReadAllowance, ResponseIo};

/// Time limit for opening a connection: a dozen round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a connection with unacknowledged bytes is closed, so that a dead connection
/// costs a caller at most a second.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(900);
/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of the read buffer of a connection, which also limits the head of a response.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDR: usize = 512;
/// Idle time after which a connection is closed.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Maximum number of requests to send again that a connection remembers; with more it is closed. It
/// bounds the memory, and a new connection for so many responses costs little.
const MAX_RETRYABLE_IDS: usize = 64;

/// Maximum idle time of a connection for a request that must be sent only once. The other end may
/// close a connection that was idle for longer just as the request is being sent.
const MAX_IDLE_TIME_RECENT: Duration = Duration::from_millis(250);

/// Which idle connections may carry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// Any idle connection: the request may be sent again if the connection turns out to be
    /// closed.
    Any,
    /// Only a recently used connection, because the request must be sent only once.
    Recent,
}

impl Reuse {
    /// Returns which connections a request with this repeat policy may use.
    pub(crate) fn of(repeat: Repeat) -> Reuse {
        match repeat {
            Repeat::Idempotent => Reuse::Any,
            Repeat::OncePerAttempt | Repeat::Never => Reuse::Recent,
        }
    }

    fn max_idle(self) -> Duration {
        match self {
            Reuse::Any => MAX_IDLE_TIME,
            Reuse::Recent => MAX_IDLE_TIME_RECENT,
        }
    }
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub(crate) struct Pool {
    idle: Mutex<FastMap<SocketAddr, Vec<IdleConnection>>>,
}

/// A connection that carries one request at a time.
pub(crate) struct Connection {
    addr: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    allowance: ReadAllowance,
    /// Id of the last request that was sent on it; `None` before the first, and if that request had
    /// no id.
    last_id: Option<RequestId>,
    /// Ids of earlier requests on it that may be sent again, because their response was no success.
    retryable_ids: FastSet<RequestId>,
}

/// Why sending a request failed.
pub(crate) enum SendError {
    /// The connection closed before a byte was written; returns the request.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The connection failed after the request may have been written.
    Failed,
}

impl Pool {
    pub(crate) fn new() -> Pool {
        Pool::default()
    }

    /// Takes the most recently used connection to the address that is ready, if `reuse` permits
    /// its idle time.
    ///
    /// Passes over connections that may have carried a request with the same id: if the other end
    /// writes its earlier response again, that copy would be taken for the response to this try.
    pub(crate) fn take(
        &self,
        addr: SocketAddr,
        reuse: Reuse,
        id: Option<&RequestId>,
    ) -> Option<Connection> {
        let max_idle = reuse.max_idle();
        let mut idle = self.lock();
        let list = idle.get_mut(&addr)?;
        let is_usable = |entry: &IdleConnection| {
            entry.connection.sender.is_ready()
                && entry.idle_since.elapsed() < max_idle
                && id.is_none_or(|id| !entry.connection.has_carried(id))
        };
        let found = list.iter().rposition(is_usable)?;
        Some(list.remove(found).connection)
    }

    /// Opens a connection to the address, and spawns the task that drives it.
    pub(crate) async fn connect(&self, addr: SocketAddr) -> std::io::Result<Connection> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        socket.set_tcp_keepalive(
            &TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL),
        )?;
        let stream = ResponseIo::new(stream);
        let allowance = stream.allowance();
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        tokio::spawn(async move {
            // The request on the connection receives the error too.
            let _ = driver.await;
        });
        Ok(Connection { addr, sender, allowance, last_id: None, retryable_ids: FastSet::default() })
    }

    /// Returns a connection to the pool after its response was read to the end.
    ///
    /// Closes one that has carried too many requests that may be sent again.
    pub(crate) fn return_connection(&self, connection: Connection) {
        if connection.is_closed() || connection.retryable_ids.len() > MAX_RETRYABLE_IDS {
            return;
        }
        let mut idle = self.lock();
        let list = idle.entry(connection.addr).or_default();
        if list.len() < MAX_IDLE_PER_ADDR {
            list.push(IdleConnection { connection, idle_since: Instant::now() });
        }
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn close_expired(&self) {
        let mut idle = self.lock();
        for list in idle.values_mut() {
            list.retain(|entry| {
                !entry.connection.is_closed() && entry.idle_since.elapsed() < MAX_IDLE_TIME
            });
        }
        idle.retain(|_, list| !list.is_empty());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, FastMap<SocketAddr, Vec<IdleConnection>>> {
        // The lists are valid after a panic, since an entry is either complete or absent.
        self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Connection {
    /// Returns whether the other end has closed the connection.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Records that the last request may be sent again. This connection must not carry it then,
    /// whatever it has carried in between.
    pub(crate) fn record_retryable(&mut self) {
        self.retryable_ids.extend(self.last_id.take());
    }

    /// Returns whether the connection may have carried an earlier try of the request.
    fn has_carried(&self, id: &RequestId) -> bool {
        self.last_id.as_ref() == Some(id) || self.retryable_ids.contains(id)
    }

    /// Returns the limit on what is read from the connection.
    pub(super) fn allowance(&self) -> ReadAllowance {
        self.allowance.clone()
    }

    /// Sends a request and returns the response as soon as its head has arrived.
    pub(crate) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        id: Option<&RequestId>,
    ) -> Result<Response<Incoming>, SendError> {
        self.last_id = id.cloned();
        self.allowance.await_head();
        let sent = self.sender.try_send_request(req).await;
        self.allowance.await_piece();
        sent.map_err(|mut err| match err.take_message() {
            Some(req) => SendError::Unsent(Box::new(req)),
            None => SendError::Failed,
        })
    }
}
