use std::{io, net::SocketAddr, path::PathBuf};

use opentelemetry_sdk::error::OTelSdkError;

/// An error of setting up telemetry or of reading a trace file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The metrics exporter could not be set up.
    #[error("metrics exporter could not be set up")]
    Exporter(#[from] OTelSdkError),
    /// The metrics could not be encoded.
    #[error("metrics could not be encoded")]
    Encode(#[from] prometheus::Error),
    /// The address of the metrics endpoint could not be bound.
    #[error("metrics address {address} could not be bound")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A log or trace file could not be opened.
    #[error("file {} could not be opened", path.display())]
    Open {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The configuration of the logger is not valid.
    #[error("log could not be set up")]
    Log(#[from] log4rs::config::runtime::ConfigErrors),
    /// The thread that writes the log to the standard output could not be started.
    #[error("log thread could not be started")]
    Thread(#[source] io::Error),
    /// Another logger is installed in the process.
    #[error("another logger is already installed in this process")]
    Installed(#[from] log::SetLoggerError),
    /// A line of a trace file is not a valid span.
    #[error("line {line} is not a span")]
    InvalidSpan {
        /// The line number, starting at 1.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },
}

/// A result with this module's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
