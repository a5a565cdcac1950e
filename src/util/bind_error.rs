use std::{io, net::SocketAddr};

/// The error that an address in the settings cannot be bound.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{name} address {address} cannot be bound")]
#[diagnostic(help("check that the address belongs to this VM and that no other process uses it"))]
pub struct BindError {
    /// The name of the setting.
    pub name: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// The cause.
    pub source: io::Error,
}
