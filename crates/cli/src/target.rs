//! Store and nodes that a command uses.

use std::net::SocketAddr;
use std::time::Duration;

use snipehollow_config::settings::OperatorSettings;
use snipehollow_store::HttpStore;

use crate::args::Args;
use crate::error::CliError;

/// Time limit for one call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// Store and nodes that a command uses.
pub(crate) struct Target {
    store_url: Option<String>,
    nodes: Vec<SocketAddr>,
}

impl Target {
    /// Combines the settings file with the arguments, which take precedence.
    pub(crate) fn new(args: &Args) -> Result<Target, CliError> {
        let settings = match &args.config {
            Some(path) => OperatorSettings::load(path).map_err(CliError::Settings)?,
            None => OperatorSettings::default(),
        };
        let nodes = if args.nodes.is_empty() { settings.nodes } else { args.nodes.clone() };
        Ok(Target { store_url: args.store.clone().or(settings.store_url), nodes })
    }

    /// Returns a client of the store, or an error if no store is given.
    pub(crate) fn store(&self) -> Result<HttpStore, CliError> {
        let url = self.store_url.as_deref().ok_or(CliError::NoStore)?;
        Ok(HttpStore::new(url, STORE_TIMEOUT))
    }

    /// Returns the admin addresses of the nodes, or an error if none is given.
    pub(crate) fn nodes(&self) -> Result<&[SocketAddr], CliError> {
        if self.nodes.is_empty() { Err(CliError::NoNodes) } else { Ok(&self.nodes) }
    }

    /// Returns the admin addresses of the nodes; the list is empty if none is given.
    pub(crate) fn nodes_or_empty(&self) -> &[SocketAddr] {
        &self.nodes
    }
}
