//! Errors of the command line, and its exit codes.

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
        /// Name of the file.
        file: String,
        /// Why it cannot be read.
        cause: std::io::Error,
    },
    /// {file}:\n{cause}
    Sheet {
        /// Name of the file.
        file: String,
        /// Its problems.
        cause: SheetError,
    },
    /// no store is named: give --store or a settings file with [store] url
    NoStore,
    /// no node is named: give --nodes or a settings file with [nodes] admin
    NoNodes,
    /// no node that was asked answers, so nothing is committed
    NoNodeAnswers,
    /// {0}
    Commit(CommitError),
    /// {0}
    Load(LoadError),
    /// {node}: {cause}
    Node {
        /// Admin address of the node.
        node: String,
        /// Why it cannot be asked.
        cause: String,
    },
    /// no node that was asked is host {0}
    UnknownHost(String),
    /// {0} is not a valid {1}
    BadArgument(String, &'static str),
    /// no node that was asked remembers request {0}
    NotTraced(String),
    /// no node that was asked knows fingerprint {0}
    NotQuarantined(String),
    /// cannot read random bytes: {0}
    Random(getrandom::Error),
}

impl std::error::Error for CliError {}

impl CliError {
    /// Returns the exit code: 2 for wrong input, 3 for a conflict, 4 if it is not known
    /// whether a commit took effect, 1 for any other failure.
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
