use std::{io, net::SocketAddr, path::PathBuf};

use banyanwharf::{admin, settings, telemetry, ticket};
use jsonrpsee::core::client;

/// The reason why a command has no answer.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub(crate) enum Error {
    /// No daemon answered.
    #[error("no daemon answered")]
    #[diagnostic(help(
        "check that banyanwharfd runs and that --admin names the admin address of its settings"
    ))]
    Unanswered {
        /// The failed calls, one for each daemon.
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
    /// A file is not a trace file.
    #[error("{} is not a trace file: {source}", path.display())]
    #[diagnostic(help("name a file that the setting trace.output wrote"))]
    Trace {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: telemetry::Error,
    },
    /// An answer cannot be encoded as JSON.
    #[error("answer could not be encoded as JSON")]
    Json {
        /// The cause.
        source: serde_json::Error,
    },
    /// The async runtime cannot be started.
    #[error("async runtime could not be started")]
    Runtime {
        /// The cause.
        source: io::Error,
    },
}

/// A failed call to a daemon.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{address}: {cause}")]
pub(crate) struct FailedAttempt {
    /// The admin address.
    pub(crate) address: SocketAddr,
    /// The reason of the failure.
    pub(crate) cause: CallError,
}

/// The reason why a call to a daemon failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// The client could not be created.
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

/// Returns the text of the innermost cause, which names the network error.
fn innermost_cause(error: &dyn std::error::Error) -> String {
    let mut innermost = error;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_string()
}

/// The reason why a checked file is invalid.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub(crate) enum FileError {
    /// The settings are invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] settings::Error),
    /// The ticket is invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Ticket(#[from] ticket::Error),
}

/// A result with this program's [`Error`].
pub(crate) type Result<T, E = Error> = std::result::Result<T, E>;
