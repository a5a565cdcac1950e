use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    flow::{Protocol, Slot},
    ticket::Number,
};

/// The flow to explain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Question {
    /// The transport protocol.
    pub protocol: Protocol,
    /// The caller's address and port.
    pub caller: SocketAddr,
    /// The service's address and port.
    pub service: SocketAddr,
}

/// What the answering daemon would do with a flow, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Explanation {
    /// The name of the answering daemon.
    pub name: Arc<str>,
    /// The service; `None` if no service has the address.
    pub service: Option<Arc<str>>,
    /// The flow's fingerprint in hex digits.
    pub fingerprint: Arc<str>,
    /// The flow's hash slot.
    pub slot: Slot,
    /// The primary owner.
    pub primary: Option<Arc<str>>,
    /// The secondary owner.
    pub secondary: Option<Arc<str>>,
    /// The former owners of the hash slot, from previous views of the members.
    pub former: Vec<Arc<str>>,
    /// Whether the hash slot is unsettled, since its owners changed a short while ago.
    pub is_unsettled: bool,
    /// The target in the daemon's authoritative record.
    pub record: Option<Arc<str>>,
    /// The target in the daemon's cache.
    pub cached: Option<Arc<str>>,
    /// The base targets of the flow, newest generation first.
    pub bases: Vec<BaseTarget>,
}

/// The base target of a flow, which has the highest rendezvous score, in one generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct BaseTarget {
    /// The number of the ticket that created the generation.
    pub ticket: Number,
    /// The target; `None` if the generation had no placeable target.
    pub target: Option<Arc<str>>,
}
