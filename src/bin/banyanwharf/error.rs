use std::{io, net::SocketAddr, path::PathBuf};

use banyanwharf::{admin, settings, telemetry, ticket};
use jsonrpsee::core::client;

/// Why a command has no answer.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub(crate) enum Error {
    /// No daemon answered.
    #[error("no daemon answered")]
    #[diagnostic(help(
        "check that banyanwharfd runs and that --admin names the admin address of its settings"
    ))]
    Unanswered {
        /// What was tried.
        #[related]
        attempts: Vec<FailedAttempt>,
    },
    /// A file cannot be read.
    #[error("{} could not be read: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A trace file is not one.
    #[error("{} is not a trace file: {source}", path.display())]
    #[diagnostic(help("name a file that the setting trace.output wrote"))]
    Trace {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: telemetry::Error,
    },
    /// An answer cannot be written as JSON.
    #[error("answer could not be written as JSON")]
    Json {
        /// The cause.
        source: serde_json::Error,
    },
    /// The runtime cannot be started.
    #[error("runtime could not be started")]
    Runtime {
        /// The cause.
        source: io::Error,
    },
}

/// A daemon that did not answer.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{address}: {cause}")]
pub(crate) struct FailedAttempt {
    /// The admin address.
    pub(crate) address: SocketAddr,
    /// Why there is no answer.
    pub(crate) cause: CallError,
}

/// Why a daemon did not answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// The client could not be made.
    #[error(transparent)]
    Client(#[from] admin::Error),
    /// The daemon answered with an error.
    #[error("{}", .0.message())]
    Refused(jsonrpsee::types::ErrorObjectOwned),
    /// No answer arrived in time.
    #[error("no answer in time")]
    Timeout,
    /// The call failed.
    #[error("{}", innermost_cause(.0))]
    Call(client::Error),
}

impl From<client::Error> for CallError {
    fn from(error: client::Error) -> CallError {
        match error {
            client::Error::Call(object) => CallError::Refused(object),
            client::Error::RequestTimeout => CallError::Timeout,
            error => CallError::Call(error),
        }
    }
}

/// Returns the innermost cause, which names the network error.
fn innermost_cause(error: &dyn std::error::Error) -> String {
    let mut innermost = error;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_string()
}

/// Why a file is wrong.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub(crate) enum FileError {
    /// The settings are wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] settings::Error),
    /// The ticket is wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Ticket(#[from] ticket::Error),
}

/// A result with this program's [`Error`].
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;
