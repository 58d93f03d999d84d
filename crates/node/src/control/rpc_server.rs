//! JSON-RPC server for control messages from other nodes.

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

use super::rpc_client::{self, ASSUMED_HEAD_BYTES, MAX_RESPONSE_BYTES, encoded_len};
use super::thread;
use crate::NodeError;
use crate::shared::Shared;
use crate::traffic::secrets_match;

/// Maximum size of a control message, in bytes.
const MAX_REQUEST_BYTES: u32 = 1 << 20;
const MAX_CONNECTIONS: u32 = 512;
/// Maximum number of quarantine entries in a directory response; this many take about 10 KB.
const MAX_QUARANTINE_ENTRIES: usize = 64;
/// JSON-RPC error code for a wrong secret or a blocked zone.
const FORBIDDEN_CODE: i32 = -32_001;
/// JSON-RPC error code for a probe on behalf of another member that failed.
const FAILED_CODE: i32 = -32_002;

/// Binds the control address and starts the server.
pub(super) async fn start(shared: &Arc<Shared>) -> Result<ServerHandle, NodeError> {
    let addr = shared.settings.control;
    let listen_error = |cause: String| NodeError::Listen { listener: "control", addr, cause };
    let config = ServerConfig::builder()
        .http_only()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_REQUEST_BYTES)
        .max_response_body_size(MAX_RESPONSE_BYTES)
        .build();
    let server = ServerBuilder::with_config(config)
        .build(addr)
        .await
        .map_err(|err| listen_error(err.to_string()))?;
    let module = module(Arc::clone(shared)).map_err(|err| listen_error(err.to_string()))?;
    Ok(server.start(module))
}

fn module(shared: Arc<Shared>) -> Result<RpcModule<Arc<Shared>>, RegisterMethodError> {
    let mut module = RpcModule::new(shared);
    register(&mut module, control::PROBE, probe)?;
    register(&mut module, control::SYNC, sync)?;
    register(&mut module, control::DIRECTORY, directory)?;
    register(&mut module, control::CONFIG, config)?;
    register(&mut module, control::CONFIG_NOTIFICATION, config_notification)?;
    module.register_async_method(control::PROBE_VIA, |params, shared, _| async move {
        let request: ProbeViaRequest = open_envelope(&params, &shared)?;
        probe_via(&shared, request).await
    })?;
    Ok(module)
}

/// Registers a method with a synchronous handler.
fn register<Req, Resp>(
    module: &mut RpcModule<Arc<Shared>>,
    name: &'static str,
    handler: fn(&Arc<Shared>, Req) -> Resp,
) -> Result<(), RegisterMethodError>
where
    Req: DeserializeOwned + Serialize + 'static,
    Resp: Serialize + Clone + Send + 'static,
{
    module.register_method(name, move |params, shared, _| {
        let request: Req = open_envelope(&params, shared)?;
        let response = handler(shared, request);
        shared.metrics.record_control_sent(encoded_len(&response) + ASSUMED_HEAD_BYTES);
        Ok::<Resp, ErrorObjectOwned>(response)
    })?;
    Ok(())
}

/// Checks the secret and the zone of a request and returns its body.
fn open_envelope<Req: DeserializeOwned + Serialize>(
    params: &jsonrpsee_server::types::Params<'_>,
    shared: &Arc<Shared>,
) -> Result<Req, ErrorObjectOwned> {
    let envelope: Envelope<Req> = params.one()?;
    let settings = &shared.settings;
    let trusted = secrets_match(&envelope.secret, &settings.secret);
    if !trusted || settings.blocked_zones.contains(&envelope.zone) {
        return Err(ErrorObjectOwned::owned(
            FORBIDDEN_CODE,
            "not a node of this fleet",
            None::<()>,
        ));
    }
    shared.metrics.record_control_received(encoded_len(&envelope.body) + ASSUMED_HEAD_BYTES);
    Ok(envelope.body)
}

fn probe(shared: &Arc<Shared>, request: ProbeRequest) -> GossipMessage {
    apply_gossip(shared, &request.message);
    shared.control().gossip_response(&request.message.from)
}

/// Applies a gossip message from another node, and pulls the configuration if the sender's is
/// newer.
pub(super) fn apply_gossip(shared: &Arc<Shared>, message: &GossipMessage) {
    let now = shared.clock.now();
    let others = shared.control().on_message(now, message);
    apply_gossip_items(shared, others);
    thread::catch_up_with_sender(shared, message);
}

/// Applies gossip items that are not about members, and gossips those that changed something to
/// further members.
pub(super) fn apply_gossip_items(shared: &Arc<Shared>, items: Vec<GossipItem>) {
    let now = shared.clock.now();
    for item in items {
        match item {
            GossipItem::Quarantine(_, ref entry) => {
                let changed = shared.host().merge_quarantine(now, entry);
                if changed {
                    shared.control().membership.enqueue_gossip(item);
                }
            }
            GossipItem::Departure(host, departure) if host == shared.settings.host => {
                shared.host().learn_departure(now, departure);
            }
            GossipItem::Departure(host, departure) => {
                shared.control().record_member_departure(host, departure);
            }
            GossipItem::Member(_) => {}
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
        .map_err(|err| ErrorObjectOwned::owned(FAILED_CODE, err.to_string(), None::<()>))
}

fn sync(shared: &Arc<Shared>, request: SyncRequest) -> SyncResponse {
    let now = shared.clock.now();
    let mut control = shared.control();
    let response = control.membership.sync_response(&request.digests);
    control.membership.on_sync_request(now, &GossipedMember::from_update(&request.own));
    response
}

fn directory(shared: &Arc<Shared>, request: DirectoryRequest) -> DirectoryResponse {
    let known = request.query.quarantine_cursor.as_ref();
    let now = shared.clock.now();
    let quarantine = shared.host().quarantine_changes_since(now, known, MAX_QUARANTINE_ENTRIES);
    shared.control().directory_response(&request.query, quarantine)
}

fn config(shared: &Arc<Shared>, request: ConfigRequest) -> ConfigResponse {
    let control = shared.control();
    let delta = control.config().delta_since(request.revision);
    ConfigResponse { revision: control.config().revision(), delta }
}

fn config_notification(
    shared: &Arc<Shared>,
    notification: ConfigNotification,
) -> ConfigNotificationResponse {
    let revision = shared.control().config().revision();
    if notification.revision > revision {
        thread::pull_config(shared, notification.from);
    }
    ConfigNotificationResponse { revision }
}
