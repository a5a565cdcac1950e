use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{flow::Protocol, ticket::Target};

/// An address that callers use to reach a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Address {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The IP address and port.
    pub address: SocketAddr,
}

/// Whether a service is in use or was removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceState {
    /// The service exists and accepts flows.
    #[default]
    Active,
    /// The service was removed. The merged ticket state ([`State`](crate::ticket::State)) keeps
    /// this version as a tombstone, so that an older ticket that arrives late cannot restore the
    /// service.
    Removed,
}

/// A service with its addresses and the targets that handle its flows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// Whether the service is in use or was removed.
    #[serde(default)]
    pub state: ServiceState,
    /// The addresses that callers use.
    #[serde(default)]
    pub addresses: Vec<Address>,
    /// The targets that handle the service's flows.
    #[serde(default)]
    pub targets: Vec<Target>,
    /// The name of the placement policy. If absent, the default policy applies.
    #[serde(default)]
    pub policy: Option<Arc<str>>,
}
