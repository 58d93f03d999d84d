//! Control messages to other nodes.

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

/// Time in which another node must answer a control message.
const TIMEOUT: Duration = Duration::from_millis(700);
/// Most bytes of an answer; a whole configuration fits.
pub(super) const MAX_ANSWER_BYTES: u32 = 8 << 20;
/// Bytes counted for the head of a request or an answer.
pub(super) const HEAD_BYTES: usize = 160;

/// {0}
#[derive(Clone, Debug, Display)]
pub(crate) struct RpcError(String);

impl RpcError {
    /// The settings block the zone.
    pub(crate) fn blocked() -> RpcError {
        RpcError("the zone is blocked by the settings".into())
    }
}

impl std::error::Error for RpcError {}

/// Sends a control message and returns the answer.
pub(crate) async fn call<Q: Serialize, A: DeserializeOwned + Serialize>(
    shared: &Arc<Shared>,
    to: SocketAddr,
    method: &'static str,
    body: Q,
) -> Result<A, RpcError> {
    let settings = &shared.settings;
    let envelope = Envelope { secret: settings.secret.clone(), zone: settings.zone.clone(), body };
    let mut params = ArrayParams::new();
    params.insert(&envelope).map_err(|err| RpcError(err.to_string()))?;
    shared.metrics.record_control_sent(encoded_len(&envelope) + HEAD_BYTES);
    let client = HttpClientBuilder::default()
        .request_timeout(TIMEOUT)
        .max_response_size(MAX_ANSWER_BYTES)
        .build(format!("http://{to}"))
        .map_err(|err| RpcError(err.to_string()))?;
    let answer: A =
        client.request(method, params).await.map_err(|err| RpcError(err.to_string()))?;
    shared.metrics.record_control_received(encoded_len(&answer) + HEAD_BYTES);
    Ok(answer)
}

/// Returns the length of a message's JSON form.
pub(crate) fn encoded_len(value: &impl Serialize) -> usize {
    let mut counter = Counter(0);
    // The counter accepts every write, and messages are always representable as JSON.
    let _ = serde_json::to_writer(&mut counter, value);
    counter.0
}

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
