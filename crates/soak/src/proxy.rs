//! Loopback proxy that harms the connections it carries.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Time between two looks of a silenced connection at whether it may speak again.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What the proxy does to what it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Passes everything.
    Pass,
    /// Passes everything later.
    Delay(Duration),
    /// Holds what clients send; answers pass.
    StallToServer,
    /// Holds what servers send; requests pass.
    StallToClient,
    /// Resets new connections.
    Refuse,
}

/// A running proxy.
#[derive(Clone, Debug)]
pub struct Proxy {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    mode: Mutex<LinkMode>,
    /// Connections of an older generation are reset.
    generation: AtomicU64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl Proxy {
    /// Starts a proxy in front of a server.
    pub async fn start(to: SocketAddr) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let mode = Mutex::new(LinkMode::Pass);
        let shared = Arc::new(Shared { mode, generation: AtomicU64::new(0) });
        tokio::spawn(accept_loop(listener, to, Arc::clone(&shared)));
        Ok(Proxy { addr, shared })
    }

    /// Returns the address to connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Changes what happens to open and new connections.
    pub fn set_mode(&self, mode: LinkMode) {
        *self.shared.lock() = mode;
    }

    /// Resets all open connections.
    pub fn reset_connections(&self) {
        self.shared.generation.fetch_add(1, Ordering::AcqRel);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, LinkMode> {
        // A mode is one plain value: a panic elsewhere leaves it whole.
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

/// Waits as long as the mode holds this direction back.
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

/// Lets the connection end with a reset, also for bytes on their way.
fn reset_on_drop(stream: &TcpStream) {
    // Without it the connection ends in order, which is a milder fault.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
