//! Client of the nodes' admin servers.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use snipehollow_config::sheet::InventoryHost;
use snipehollow_wire::admin::NodeState;

use crate::error::CliError;

/// Time limit for one request to a node.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .http_status_as_error(true)
        .build();
    config.new_agent()
}

fn node_error(node: SocketAddr, cause: &ureq::Error) -> CliError {
    CliError::Node { node: node.to_string(), cause: cause.to_string() }
}

/// Sends a GET request to a node and decodes the JSON response.
pub(crate) fn get<T: DeserializeOwned>(node: SocketAddr, path: &str) -> Result<T, CliError> {
    let url = format!("http://{node}{path}");
    let mut response = agent().get(&url).call().map_err(|err| node_error(node, &err))?;
    response.body_mut().read_json().map_err(|err| node_error(node, &err))
}

/// Sends a POST request with an empty body to a node.
pub(crate) fn post(node: SocketAddr, path: &str) -> Result<(), CliError> {
    let url = format!("http://{node}{path}");
    agent().post(&url).send_empty().map(|_| ()).map_err(|err| node_error(node, &err))
}

/// Returns the states of all given nodes that respond.
pub(crate) fn states(nodes: &[SocketAddr]) -> Vec<(SocketAddr, NodeState)> {
    nodes.iter().filter_map(|node| get(*node, "/state").ok().map(|state| (*node, state))).collect()
}

/// Returns the admin address and state of a host's node.
pub(crate) fn find(nodes: &[SocketAddr], host: &str) -> Result<(SocketAddr, NodeState), CliError> {
    let found = states(nodes).into_iter().find(|(_, state)| state.host.as_str() == host);
    found.ok_or_else(|| CliError::UnknownHost(host.into()))
}

/// Returns the hosts that currently serve a service according to the nodes, without duplicates.
pub(crate) fn inventory(states: &[(SocketAddr, NodeState)]) -> Vec<InventoryHost> {
    let mut hosts: Vec<InventoryHost> = states
        .iter()
        .flat_map(|(_, state)| &state.members)
        .filter_map(|member| {
            let upstream = member.serving()?;
            Some(InventoryHost {
                host: member.host.clone(),
                zone: member.info.zone.clone(),
                service: upstream.service.clone(),
            })
        })
        .collect();
    hosts.sort_by(|a, b| a.host.cmp(&b.host));
    hosts.dedup_by(|a, b| a.host == b.host);
    hosts
}
