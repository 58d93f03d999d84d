//! Arguments of the command line.

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
        Exit codes: 0 done, 1 failure, 2 wrong input, 3 conflict with another operator, \
        4 not known whether a commit took effect, 5 --wait ran out."
)]
pub(crate) struct Args {
    /// Settings file (INI) with [store] url and [nodes] admin.
    #[arg(long, global = true, value_name = "FILE")]
    pub(crate) config: Option<PathBuf>,
    /// Key-value service, as http://127.0.0.1:7900.
    #[arg(long, global = true, value_name = "URL")]
    pub(crate) store: Option<String>,
    /// Admin addresses of nodes, separated by commas.
    #[arg(long, global = true, value_name = "ADDRS", value_delimiter = ',')]
    pub(crate) nodes: Vec<SocketAddr>,
    /// Print JSON.
    #[arg(long, global = true)]
    pub(crate) json: bool,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// What to do.
#[derive(Subcommand)]
pub(crate) enum Command {
    /// Check, compare or apply the operators' sheet.
    #[command(subcommand)]
    Sheet(SheetCommand),
    /// Show the configuration in the store.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// List the hosts that the asked nodes know.
    Nodes,
    /// Dump the state of a host's node.
    State {
        /// Name of the host.
        host: String,
    },
    /// Let a host take no new work; what runs there finishes.
    Drain {
        /// Name of the host.
        host: String,
    },
    /// Tell where a recent request went and why.
    Explain {
        /// Id of the request.
        request_id: String,
    },
    /// List or lift requests that are suspected of crashing upstreams.
    #[command(subcommand)]
    Quarantine(QuarantineCommand),
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Commands about the sheet.
#[derive(Subcommand)]
pub(crate) enum SheetCommand {
    /// Check a sheet; nothing is changed.
    Check {
        /// The sheet (CSV).
        file: PathBuf,
    },
    /// Show what a sheet would change.
    Diff {
        /// The sheet (CSV).
        file: PathBuf,
    },
    /// Commit a sheet.
    Apply {
        /// The sheet (CSV).
        file: PathBuf,
        /// Fail if the store is not at this revision.
        #[arg(long, value_name = "REVISION")]
        base: Option<u64>,
        /// Wait this many seconds until all asked nodes have it in force.
        #[arg(long, value_name = "SECONDS")]
        wait: Option<u64>,
        /// Name that the history shows.
        #[arg(long, default_value = "operator")]
        author: String,
    },
}

/// Commands about the configuration.
#[derive(Subcommand)]
pub(crate) enum ConfigCommand {
    /// Show every row in force.
    Show,
    /// Show the most recent changes.
    History,
}

/// Commands about the quarantine.
#[derive(Subcommand)]
pub(crate) enum QuarantineCommand {
    /// List suspected and quarantined requests.
    List,
    /// Lift one.
    Lift {
        /// Service of the request.
        service: String,
        /// Fingerprint, as `list` shows it.
        fingerprint: String,
    },
}
