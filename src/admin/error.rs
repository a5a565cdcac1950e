use std::{io, net::SocketAddr};

/// An error of serving or calling the admin API, or of decoding its responses.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address could not be bound.
    #[error("admin address {address} could not be bound")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The client could not be created.
    #[error("admin API client for {address} could not be created")]
    Client {
        /// The address of the daemon.
        address: SocketAddr,
        /// The cause.
        source: jsonrpsee::core::client::Error,
    },
    /// A call to a daemon failed.
    #[error("admin API call to {address} failed")]
    Call {
        /// The address of the daemon.
        address: SocketAddr,
        /// The cause.
        source: jsonrpsee::core::client::Error,
    },
    /// A snapshot of the members or of the ticket state could not be decoded.
    #[error("snapshot of members or tickets from {address} could not be decoded")]
    Snapshot {
        /// The address of the daemon.
        address: SocketAddr,
        /// The cause.
        source: serde_json::Error,
    },
}

/// A result with this module's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
