use std::{io, net::SocketAddr};

/// The reason why the admin API could not be served or called.
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
    #[error("client for {address} could not be created")]
    Client {
        /// The address of the daemon.
        address: SocketAddr,
        /// The cause.
        source: jsonrpsee::core::client::Error,
    },
    /// A call to a daemon failed.
    #[error("call to {address} failed")]
    Call {
        /// The address of the daemon.
        address: SocketAddr,
        /// The cause.
        source: jsonrpsee::core::client::Error,
    },
    /// A snapshot could not be decoded.
    #[error("snapshot from {address} could not be decoded")]
    Snapshot {
        /// The address of the daemon.
        address: SocketAddr,
        /// The cause.
        source: serde_json::Error,
    },
}

/// A result with this module's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
