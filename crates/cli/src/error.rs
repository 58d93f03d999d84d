//! Errors of the commands and their exit codes.

use std::process::ExitCode;

use displaydoc::Display;
use snipehollow_config::settings::SettingsError;
use snipehollow_config::sheet::SheetError;
use snipehollow_store::{CommitError, LoadError};

/// Why a command failed.
#[derive(Debug, Display)]
pub(crate) enum CliError {
    /// {0}
    Settings(SettingsError),
    /// {file}: {cause}
    File {
        /// Path as given on the command line.
        file: String,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// {file}:\n{cause}
    Sheet {
        /// Path as given on the command line.
        file: String,
        /// Problems of the sheet, by row.
        cause: SheetError,
    },
    /// no store given: use --store or a settings file with [store] url
    NoStore,
    /// no nodes given: use --nodes or a settings file with [nodes] admin
    NoNodes,
    /// none of the given nodes responded, so nothing was committed
    NoNodeResponded,
    /// {0}
    Commit(CommitError),
    /// {0}
    Load(LoadError),
    /// {node}: {cause}
    Node {
        /// Admin address of the node.
        node: String,
        /// Error of the request to the node.
        cause: String,
    },
    /// none of the given nodes is on host {0}
    UnknownHost(String),
    /// {0} is not a valid {1}
    BadArgument(String, &'static str),
    /// none of the given nodes has a trace of request {0}
    NotTraced(String),
    /// none of the given nodes has a quarantine entry for fingerprint {0}
    NotQuarantined(String),
    /// cannot read random bytes: {0}
    Random(getrandom::Error),
}

impl std::error::Error for CliError {}

impl CliError {
    /// Returns the exit code: 2 for invalid input, 3 for a conflict, 4 if it is unknown whether a
    /// commit took effect, 1 for any other failure.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CliError::Settings(_)
            | CliError::Sheet { .. }
            | CliError::NoStore
            | CliError::NoNodes
            | CliError::BadArgument(..) => 2,
            CliError::Commit(CommitError::Conflict { .. }) => 3,
            CliError::Commit(CommitError::OutcomeUnknown { .. }) => 4,
            _ => 1,
        })
    }
}

impl From<CommitError> for CliError {
    fn from(err: CommitError) -> CliError {
        CliError::Commit(err)
    }
}

impl From<LoadError> for CliError {
    fn from(err: LoadError) -> CliError {
        CliError::Load(err)
    }
}
