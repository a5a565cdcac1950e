use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    load::Class,
    ticket::{Number, TargetState},
};

/// A target as the answering daemon knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Target {
    /// The service.
    pub service: Arc<str>,
    /// The target's name.
    pub name: Arc<str>,
    /// The target's availability zone.
    pub zone: Arc<str>,
    /// The address at which the target receives encapsulated packets.
    pub address: SocketAddr,
    /// Whether the ticket lets the target accept new flows.
    pub state: TargetState,
    /// The target's load class.
    pub class: Class,
    /// Whether outlier ejection has removed the target because of its failures.
    pub is_ejected: bool,
    /// Whether the daemon places new flows on the target.
    pub is_placeable: bool,
    /// The target's weight, which sets its share of new flows relative to other targets.
    pub weight: u16,
    /// The number of open flows that the daemon placed on the target.
    pub flows: u64,
    /// The ticket that set the service.
    pub ticket: Number,
}
