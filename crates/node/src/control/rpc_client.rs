//! JSON-RPC client for control messages to other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use jsonrpsee_core::client::ClientT;
use jsonrpsee_core::params::ArrayParams;
use jsonrpsee_http_client::HttpClientBuilder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snipehollow_wire::control::Envelope;

use crate::shared::Shared;

/// Time limit for the response to a control message.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum size of a response, in bytes; large enough for a full configuration.
pub(super) const MAX_RESPONSE_BYTES: u32 = 8 << 20;
/// Bytes that the metrics count for the HTTP head of a request or a response, which is not
/// measured.
pub(super) const ASSUMED_HEAD_BYTES: usize = 160;

/// {0}
#[derive(Clone, Debug, Display)]
pub(crate) struct RpcError(String);

impl RpcError {
    /// Creates the error for a zone that is blocked in the settings.
    pub(crate) fn blocked() -> RpcError {
        RpcError("the zone is blocked by the settings".into())
    }
}

impl std::error::Error for RpcError {}

/// Sends a control message and returns the response.
pub(crate) async fn call<Req: Serialize, Resp: DeserializeOwned + Serialize>(
    shared: &Arc<Shared>,
    to: SocketAddr,
    method: &'static str,
    body: Req,
) -> Result<Resp, RpcError> {
    let settings = &shared.settings;
    let envelope = Envelope { secret: settings.secret.clone(), zone: settings.zone.clone(), body };
    let mut params = ArrayParams::new();
    params.insert(&envelope).map_err(|err| RpcError(err.to_string()))?;
    shared.metrics.record_control_sent(encoded_len(&envelope) + ASSUMED_HEAD_BYTES);
    let client = HttpClientBuilder::default()
        .request_timeout(RESPONSE_TIMEOUT)
        .max_response_size(MAX_RESPONSE_BYTES)
        .build(format!("http://{to}"))
        .map_err(|err| RpcError(err.to_string()))?;
    let response: Resp =
        client.request(method, params).await.map_err(|err| RpcError(err.to_string()))?;
    shared.metrics.record_control_received(encoded_len(&response) + ASSUMED_HEAD_BYTES);
    Ok(response)
}

/// Returns the length of the JSON form of a message, in bytes.
pub(crate) fn encoded_len(value: &impl Serialize) -> usize {
    let mut counter = Counter(0);
    // The counter accepts every write, and messages are always representable as JSON.
    let _ = serde_json::to_writer(&mut counter, value);
    counter.0
}

/// Writer that counts bytes and discards them.
struct Counter(usize);

impl std::io::Write for Counter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0 += buf.len();
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
