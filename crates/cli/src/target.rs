//! Which store and nodes a command speaks to.

use std::net::SocketAddr;
use std::time::Duration;

use snipehollow_config::settings::OperatorSettings;
use snipehollow_store::HttpStore;

use crate::args::Args;
use crate::error::CliError;

/// Time in which the store must answer.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// Store and nodes that a command speaks to.
pub(crate) struct Target {
    store: Option<String>,
    nodes: Vec<SocketAddr>,
}

impl Target {
    /// Joins the settings file with the arguments; arguments win.
    pub(crate) fn new(args: &Args) -> Result<Target, CliError> {
        let settings = match &args.config {
            Some(path) => OperatorSettings::load(path).map_err(CliError::Settings)?,
            None => OperatorSettings::default(),
        };
        let nodes = if args.nodes.is_empty() { settings.nodes } else { args.nodes.clone() };
        Ok(Target { store: args.store.clone().or(settings.store_url), nodes })
    }

    pub(crate) fn store(&self) -> Result<HttpStore, CliError> {
        let url = self.store.as_deref().ok_or(CliError::NoStore)?;
        Ok(HttpStore::new(url, STORE_TIMEOUT))
    }

    /// Returns the nodes; an error if none is named.
    pub(crate) fn nodes(&self) -> Result<&[SocketAddr], CliError> {
        if self.nodes.is_empty() { Err(CliError::NoNodes) } else { Ok(&self.nodes) }
    }

    /// Returns the nodes, which may be none.
    pub(crate) fn known_nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }
}
