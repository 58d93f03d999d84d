//! Checks whether the local upstream is still alive.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use super::TrafficContext;
use super::exchange::{BufferedResponse, ExchangeError};
use crate::host::StartedTry;

/// How long the listener of a process that died may outlive its connections. Until then it accepts
/// connections, which are then closed.
const LISTENER_END_TIME: Duration = Duration::from_millis(10);
/// Maximum number of connections that are opened until one stays open or is refused.
const MAX_CONNECTS: u32 = 2;
/// Time limit for opening the connection that checks whether the upstream is alive.
const LIVENESS_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Checks a response that ends with its connection: the system closes the connections of a process
/// that died as if the response were complete.
///
/// It counts as incomplete if its upstream refuses connections, unless that is leaving and may have
/// ended after it. An upstream that is alive accepts a connection, which the next request uses.
pub(super) async fn check_end(
    traffic: &TrafficContext,
    started: &StartedTry,
    result: Result<BufferedResponse, ExchangeError>,
) -> Result<BufferedResponse, ExchangeError> {
    let buffered = result?;
    if buffered.is_framed || traffic.shared.host().is_leaving(started) {
        return Ok(buffered);
    }
    if refuses_connections(traffic, started.addr).await {
        log::warn!(
            addr = started.addr.to_string(), bytes = buffered.body.len();
            "response without length discarded, its upstream died"
        );
        return Err(ExchangeError::Incomplete(buffered.proof));
    }
    Ok(buffered)
}

/// Returns whether the upstream refuses connections, in contrast to one that is slow to accept them or
/// closes them. A connection that stays open carries the next request.
async fn refuses_connections(traffic: &TrafficContext, addr: SocketAddr) -> bool {
    for _ in 0..MAX_CONNECTS {
        match traffic.pool.connect(addr).await {
            Ok(connection) => {
                tokio::time::sleep(LISTENER_END_TIME).await;
                if !connection.is_closed() {
                    traffic.pool.return_connection(connection);
                    return false;
                }
            }
            Err(err) => return err.kind() == ErrorKind::ConnectionRefused,
        }
    }
    false
}

/// Returns whether the upstream died, which is assumed if it no longer accepts connections.
///
/// Its death is recorded before the current try ends, while all its tries still count as in
/// flight, so that the quarantine considers each of their requests as the cause.
pub(super) async fn detect_upstream_death(traffic: &TrafficContext, addr: SocketAddr) -> bool {
    let connect = tokio::net::TcpStream::connect(addr);
    let alive = matches!(tokio::time::timeout(LIVENESS_CHECK_TIMEOUT, connect).await, Ok(Ok(_)));
    if alive {
        return false;
    }
    let now = traffic.shared.clock.now();
    let info = {
        let mut host = traffic.shared.host();
        if host.has_upstream_at(addr) {
            host.remove_upstream(now);
        }
        host.upstream_info(now)
    };
    traffic.shared.control().set_upstream(now, info);
    true
}
