use std::{io, net::SocketAddr};

use crate::{admin, telemetry, wire};

/// Why a daemon could not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// An address cannot be opened.
    #[error("{name} address {address} cannot be opened")]
    #[diagnostic(help(
        "check that the address belongs to this VM and that no other process uses it"
    ))]
    Bind {
        /// The setting's name.
        name: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
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
    #[error("the keeper cannot be started")]
    Start(#[from] ractor::SpawnErr),
}

/// A result with this module's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
