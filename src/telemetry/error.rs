use std::{io, net::SocketAddr, path::PathBuf};

use opentelemetry_sdk::error::OTelSdkError;

/// Why telemetry could not be set up or read.
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
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The log could not be set up.
    #[error("log could not be set up")]
    Log(#[from] log4rs::config::runtime::ConfigErrors),
    /// The thread that writes the log could not be started.
    #[error("log thread could not be started")]
    Thread(#[source] io::Error),
    /// Another log is installed in the process.
    #[error("a log is installed already")]
    Installed(#[from] log::SetLoggerError),
    /// A line of a trace file is not a span.
    #[error("line {line} is not a span")]
    InvalidSpan {
        /// The line, from 1.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },
}

/// A result with this module's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
