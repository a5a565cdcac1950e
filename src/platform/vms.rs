use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::platform::Index;

/// The platform's list of entry VMs. It lags and is only a hint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Vms {
    /// The index of the list's last change.
    pub index: Index,
    /// The VMs.
    pub vms: Vec<Vm>,
}

/// An entry VM as the platform knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Vm {
    /// The name of the daemon.
    pub name: Arc<str>,
    /// The region.
    pub region: Arc<str>,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Where the daemon receives frames.
    pub peer: SocketAddr,
    /// Where the daemon serves the admin API.
    pub admin: SocketAddr,
    /// The state.
    pub state: VmState,
}

/// The state of an entry VM as the platform knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to stop.
    Leaving,
}
