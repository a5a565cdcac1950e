use std::io;

use crate::{admin, telemetry, util::BindError, wire};

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// An address cannot be opened.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Bind(#[from] BindError),
    /// Metrics cannot be set up.
    #[error("telemetry cannot be set up")]
    Telemetry(#[from] telemetry::Error),
    /// The keys cannot be used.
    #[error("keys cannot be used")]
    Keys(#[from] wire::Error),
    /// The admin API cannot be served.
    #[error(transparent)]
    Admin(#[from] admin::Error),
    /// The thread of the packet loop cannot be started.
    #[error("packet loop cannot be started")]
    Thread(#[source] io::Error),
    /// An actor cannot be started.
    #[error("the directory actor cannot be started")]
    Start(#[from] ractor::SpawnErr),
}

/// A result with this module's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
