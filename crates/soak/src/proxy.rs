//! Loopback proxy that delays, stalls, refuses or resets the connections through it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Interval at which a connection checks for a change of mode or a reset.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What the proxy does with the connections through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards everything at once.
    Pass,
    /// Forwards each chunk of data after this delay, in both directions.
    Delay(Duration),
    /// Holds back data from clients to the server; responses still pass.
    StallToServer,
    /// Holds back data from the server to clients; requests still pass.
    StallToClient,
    /// Resets new connections; open ones are not affected.
    Refuse,
}

/// Running proxy; clones share its state.
#[derive(Clone, Debug)]
pub struct Proxy {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    mode: Mutex<LinkMode>,
    /// Incremented by each reset. Connections opened under an earlier value are reset.
    generation: AtomicU64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl Proxy {
    /// Starts a proxy in front of the server at `to`, on a free loopback port.
    pub async fn start(to: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let mode = Mutex::new(LinkMode::Pass);
        let shared = Arc::new(Shared { mode, generation: AtomicU64::new(0) });
        tokio::spawn(accept_loop(listener, to, Arc::clone(&shared)));
        Ok(Proxy { addr, shared })
    }

    /// Returns the address at which clients connect to the proxy.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes the mode for new connections and, except for `Refuse`, for open ones.
    pub fn set_mode(&self, mode: LinkMode) {
        *self.shared.lock() = mode;
    }

    /// Resets all open connections; new ones are accepted as before.
    pub fn reset_connections(&self) {
        self.shared.generation.fetch_add(1, Ordering::AcqRel);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, LinkMode> {
        // The mode is a single value, so a panic elsewhere cannot leave it half changed.
        self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn mode(&self) -> LinkMode {
        *self.lock()
    }

    fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }
}

async fn accept_loop(listener: TcpListener, to: SocketAddr, shared: Arc<Shared>) {
    while let Ok((client, _)) = listener.accept().await {
        tokio::spawn(forward_connection(client, to, Arc::clone(&shared)));
    }
}

async fn forward_connection(client: TcpStream, to: SocketAddr, shared: Arc<Shared>) {
    if shared.mode() == LinkMode::Refuse {
        reset_on_drop(&client);
        return;
    }
    let Ok(server) = TcpStream::connect(to).await else {
        reset_on_drop(&client);
        return;
    };
    reset_on_drop(&client);
    reset_on_drop(&server);
    let generation = shared.generation();
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let up = forward(client_rx, server_tx, Direction::ToServer, &shared);
    let down = forward(server_rx, client_tx, Direction::ToClient, &shared);
    let reset = async {
        while shared.generation() == generation {
            tokio::time::sleep(STALL_POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = up => {}
        () = down => {}
        () = reset => {}
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    shared: &Shared,
) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let Ok(count) = from.read(&mut buf).await else {
            return;
        };
        if count == 0 {
            return;
        }
        wait_while_stalled(direction, shared).await;
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

/// Waits while the mode holds back this direction, or for the delay.
async fn wait_while_stalled(direction: Direction, shared: &Shared) {
    loop {
        match (shared.mode(), direction) {
            (LinkMode::StallToServer, Direction::ToServer)
            | (LinkMode::StallToClient, Direction::ToClient) => {
                tokio::time::sleep(STALL_POLL_INTERVAL).await;
            }
            (LinkMode::Delay(time), _) => return tokio::time::sleep(time).await,
            _ => return,
        }
    }
}

/// Makes the connection end with a TCP reset when it is dropped, discarding data in transit.
fn reset_on_drop(stream: &TcpStream) {
    // If this fails, the connection is closed in the regular way, which is a milder fault.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
