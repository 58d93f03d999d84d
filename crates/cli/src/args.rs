//! Command-line arguments. The doc comments are the texts of `--help`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand};
use clap_complete::Shell;

/// Operate the snipehollow overload control layer.
#[derive(Parser)]
#[command(
    name = "snipehollow",
    version,
    after_help = "Examples:\n  snipehollow sheet check today.csv\n  \
        snipehollow --store http://10.0.0.5:7900 --nodes 10.1.0.2:7004 sheet apply today.csv --wait 20\n  \
        snipehollow --config operator.ini explain orders-1-00c0ffee00c0ffee\n\n\
        Exit codes: 0 success, 1 failure, 2 invalid input, 3 conflict with another operator, \
        4 unknown whether a commit took effect, 5 --wait timed out."
)]
pub(crate) struct Args {
    /// Settings file (INI) that may set [store] url and [nodes] admin; arguments override it.
    #[arg(long, global = true, value_name = "FILE")]
    pub(crate) config: Option<PathBuf>,
    /// URL of the key-value store, for example http://127.0.0.1:7900.
    #[arg(long, global = true, value_name = "URL")]
    pub(crate) store: Option<String>,
    /// Admin addresses of the nodes to query, separated by commas.
    #[arg(long, global = true, value_name = "ADDRS", value_delimiter = ',')]
    pub(crate) nodes: Vec<SocketAddr>,
    /// Print the result as JSON.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Subcommands of `snipehollow`.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Check, compare or apply the operators' sheet.
    #[command(subcommand)]
    Sheet(SheetCommand),
    /// Show the configuration in the store or its history.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// List all hosts that the nodes given by --nodes know.
    Nodes,
    /// Show the state of a host's node.
    State {
        /// Name of the host.
        host: String,
    },
    /// Drain a host: it accepts no new requests and finishes those in progress.
    Drain {
        /// Name of the host.
        host: String,
    },
    /// Show the decisions that nodes made about a recent request, and the reasons.
    Explain {
        /// Id of the request, as in its snipehollow-request-id header.
        request_id: String,
    },
    /// List requests suspected of crashing upstreams, or lift their quarantine.
    #[command(subcommand)]
    Quarantine(QuarantineCommand),
    /// Print the completion script for a shell.
    Completions {
        /// Shell to complete in.
        shell: Shell,
    },
}

/// Subcommands of `snipehollow sheet`.
#[derive(Subcommand)]
pub(crate) enum SheetCommand {
    /// Check a sheet without changing anything.
    Check {
        /// Sheet file (CSV).
        file: PathBuf,
    },
    /// Show the changes that applying a sheet would make.
    Diff {
        /// Sheet file (CSV).
        file: PathBuf,
    },
    /// Commit a sheet to the store.
    Apply {
        /// Sheet file (CSV).
        file: PathBuf,
        /// Fail with a conflict if the store is not at this revision.
        #[arg(long, value_name = "REVISION")]
        base: Option<u64>,
        /// Wait up to this many seconds until the revision is in force at all nodes given by
        /// --nodes.
        #[arg(long, value_name = "SECONDS")]
        wait: Option<u64>,
        /// Author that the history shows.
        #[arg(long, default_value = "operator")]
        author: String,
    },
}

/// Subcommands of `snipehollow config`.
#[derive(Subcommand)]
pub(crate) enum ConfigCommand {
    /// Show every row of the current configuration.
    Show,
    /// Show the most recent changes, newest first.
    History,
}

/// Subcommands of `snipehollow quarantine`.
#[derive(Subcommand)]
pub(crate) enum QuarantineCommand {
    /// List suspected and quarantined requests.
    List,
    /// Lift the quarantine of one request.
    Lift {
        /// Service that the request is for.
        service: String,
        /// Fingerprint of the request, as `list` shows it.
        fingerprint: String,
    },
}
