use std::io;

use crate::{admin, telemetry, util::BindError, wire};

/// An error in the start of a daemon in gateway mode.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// An address cannot be bound.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Bind(#[from] BindError),
    /// The metrics cannot be set up.
    #[error("metrics cannot be set up")]
    Telemetry(#[from] telemetry::Error),
    /// The keys for frames between daemons are not valid.
    #[error("keys for frames between daemons are not valid")]
    Keys(#[from] wire::Error),
    /// The admin server cannot be started.
    #[error(transparent)]
    Admin(#[from] admin::Error),
    /// The thread of the packet loop cannot be started.
    #[error("thread of the packet loop cannot be started")]
    Thread(#[source] io::Error),
    /// An actor cannot be started.
    #[error("actor cannot be started")]
    Start(#[from] ractor::SpawnErr),
}

/// A result with this module's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
