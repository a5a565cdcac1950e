use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::platform::Index;

/// The platform's list of entry VMs, which may be out of date and is only a hint.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "Raw")]
pub struct Vms {
    /// The index of the list's last change.
    pub index: Index,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// The number of entries that could not be decoded. They are left out of `vms`, so that one of
    /// them does not prevent a joining daemon from finding its first contacts.
    pub malformed: usize,
}

/// The list before its entries are decoded.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
struct Raw {
    index: Index,
    vms: Vec<Value>,
}

impl From<Raw> for Vms {
    fn from(raw: Raw) -> Vms {
        let entries = raw.vms.len();
        let vms: Vec<Vm> =
            raw.vms.into_iter().filter_map(|entry| serde_json::from_value(entry).ok()).collect();
        Vms { index: raw.index, malformed: entries - vms.len(), vms }
    }
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
    /// The UDP address at which the daemon receives frames.
    pub peer: SocketAddr,
    /// The TCP address of the daemon's admin API.
    pub admin: SocketAddr,
    /// The state of the VM.
    pub state: VmState,
}

/// The state of an entry VM as the platform knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to stop.
    Leaving,
}
