//! Control messages from other nodes.

use std::sync::Arc;

use jsonrpsee_server::types::ErrorObjectOwned;
use jsonrpsee_server::{RegisterMethodError, RpcModule, ServerBuilder, ServerConfig, ServerHandle};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snipehollow_core::membership::{
    DirectoryResponse, GossipItem, GossipMessage, GossipedMember, SyncResponse,
};
use snipehollow_wire::control::{
    self, ConfigNotification, ConfigNotificationResponse, ConfigRequest, ConfigResponse,
    DirectoryRequest, Envelope, ProbeRequest, ProbeViaRequest, SyncRequest,
};

use super::rpc_client::{self, HEAD_BYTES, MAX_ANSWER_BYTES, encoded_len};
use super::thread;
use crate::NodeError;
use crate::shared::Shared;
use crate::traffic::secrets_match;

/// Most bytes of a control message.
const MAX_REQUEST_BYTES: u32 = 1 << 20;
const MAX_CONNECTIONS: u32 = 512;
/// Most suspected requests that one answer tells another zone of: about 10 KB.
const MAX_QUARANTINE_NEWS: usize = 64;
const FORBIDDEN: i32 = -32_001;
const FAILED: i32 = -32_002;

/// Starts answering control messages.
pub(super) async fn start(shared: &Arc<Shared>) -> Result<ServerHandle, NodeError> {
    let addr = shared.settings.control;
    let listen = |cause: String| NodeError::Listen { listener: "control", addr, cause };
    let config = ServerConfig::builder()
        .http_only()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_REQUEST_BYTES)
        .max_response_body_size(MAX_ANSWER_BYTES)
        .build();
    let server = ServerBuilder::with_config(config)
        .build(addr)
        .await
        .map_err(|err| listen(err.to_string()))?;
    let module = module(Arc::clone(shared)).map_err(|err| listen(err.to_string()))?;
    Ok(server.start(module))
}

fn module(shared: Arc<Shared>) -> Result<RpcModule<Arc<Shared>>, RegisterMethodError> {
    let mut module = RpcModule::new(shared);
    register(&mut module, control::PROBE, probe)?;
    register(&mut module, control::SYNC, sync)?;
    register(&mut module, control::DIRECTORY, directory)?;
    register(&mut module, control::CONFIG, config)?;
    register(&mut module, control::CONFIG_NOTIFICATION, config_news)?;
    module.register_async_method(control::PROBE_VIA, |params, shared, _| async move {
        let request: ProbeViaRequest = open(&params, &shared)?;
        probe_via(&shared, request).await
    })?;
    Ok(module)
}

/// Registers a method whose answer is at hand.
fn register<Q, A>(
    module: &mut RpcModule<Arc<Shared>>,
    name: &'static str,
    answer: fn(&Arc<Shared>, Q) -> A,
) -> Result<(), RegisterMethodError>
where
    Q: DeserializeOwned + Serialize + 'static,
    A: Serialize + Clone + Send + 'static,
{
    module.register_method(name, move |params, shared, _| {
        let request: Q = open(&params, shared)?;
        let answer = answer(shared, request);
        shared.metrics.record_control_sent(encoded_len(&answer) + HEAD_BYTES);
        Ok::<A, ErrorObjectOwned>(answer)
    })?;
    Ok(())
}

/// Opens the envelope of a message from a node that knows the secret.
fn open<Q: DeserializeOwned + Serialize>(
    params: &jsonrpsee_server::types::Params<'_>,
    shared: &Arc<Shared>,
) -> Result<Q, ErrorObjectOwned> {
    let envelope: Envelope<Q> = params.one()?;
    let settings = &shared.settings;
    let trusted = secrets_match(&envelope.secret, &settings.secret);
    if !trusted || settings.blocked_zones.contains(&envelope.zone) {
        return Err(ErrorObjectOwned::owned(FORBIDDEN, "not a node of this fleet", None::<()>));
    }
    shared.metrics.record_control_received(encoded_len(&envelope.body) + HEAD_BYTES);
    Ok(envelope.body)
}

fn probe(shared: &Arc<Shared>, request: ProbeRequest) -> GossipMessage {
    take_in(shared, &request.message);
    shared.control().message()
}

/// Takes in what a message of another node carries.
pub(super) fn take_in(shared: &Arc<Shared>, message: &GossipMessage) {
    let now = shared.clock.now();
    let others = shared.control().on_message(now, message);
    take_in_items(shared, others);
    thread::pull_if_behind(shared, message);
}

/// Takes in items that are not about members, and spreads those that are new.
pub(super) fn take_in_items(shared: &Arc<Shared>, items: Vec<GossipItem>) {
    let now = shared.clock.now();
    for item in items {
        let GossipItem::Quarantine(_, entry) = &item else {
            continue;
        };
        let changed = shared.host().merge_quarantine(now, entry);
        if changed {
            shared.control().membership.enqueue_gossip(item);
        }
    }
}

async fn probe_via(
    shared: &Arc<Shared>,
    request: ProbeViaRequest,
) -> Result<GossipMessage, ErrorObjectOwned> {
    let probe = ProbeRequest { message: request.message };
    rpc_client::call(shared, request.target, control::PROBE, probe)
        .await
        .map_err(|err| ErrorObjectOwned::owned(FAILED, err.to_string(), None::<()>))
}

fn sync(shared: &Arc<Shared>, request: SyncRequest) -> SyncResponse {
    let now = shared.clock.now();
    let mut control = shared.control();
    let answer = control.membership.sync_response(&request.digests);
    control.membership.on_sync_request(now, &GossipedMember::from_update(&request.own));
    answer
}

fn directory(shared: &Arc<Shared>, request: DirectoryRequest) -> DirectoryResponse {
    let mut answer = shared.control().answer_directory(&request.query);
    answer.quarantine = shared.host().quarantine_list(shared.clock.now());
    answer.quarantine.truncate(MAX_QUARANTINE_NEWS);
    answer
}

fn config(shared: &Arc<Shared>, request: ConfigRequest) -> ConfigResponse {
    let control = shared.control();
    let delta = control.config().delta_since(request.revision);
    ConfigResponse { revision: control.config().revision(), delta }
}

fn config_news(shared: &Arc<Shared>, news: ConfigNotification) -> ConfigNotificationResponse {
    let revision = shared.control().config().revision();
    if news.revision > revision {
        thread::pull_config(shared, news.from);
    }
    ConfigNotificationResponse { revision }
}
