use crate::{admin, settings, telemetry, util::BindError, wire};

/// An error that prevents a daemon from starting.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The settings do not pass validation.
    #[error("settings are not valid")]
    Settings(#[source] settings::ValidationError),
    /// The keys in the settings cannot be used.
    #[error("keys cannot be used")]
    Keys(#[source] wire::Error),
    /// An address cannot be bound.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Bind(#[from] BindError),
    /// Metrics or traces cannot be set up.
    #[error("telemetry cannot be set up")]
    Telemetry(#[from] telemetry::Error),
    /// The admin API cannot be served.
    #[error(transparent)]
    Admin(#[from] admin::Error),
    /// A thread or an actor cannot be started.
    #[error("{name} cannot be started")]
    Start {
        /// The name of the thread or actor.
        name: &'static str,
        /// The cause.
        #[source]
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// A result with this module's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
