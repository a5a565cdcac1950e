use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    route::ServiceIndex,
    ticket::{TargetId, TargetState},
};

/// A target in compiled form for the packet path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The target's identity.
    pub id: TargetId,
    /// The target's name.
    pub name: Arc<str>,
    /// The service that the target belongs to.
    pub service: ServiceIndex,
    /// Where the target receives encapsulated packets.
    pub address: SocketAddr,
    /// The target's availability zone.
    pub zone: Arc<str>,
    /// Whether a ticket has taken the target's zone out of service.
    pub zone_out: bool,
    /// Whether the target accepts new flows.
    pub state: TargetState,
    /// The share of new flows relative to the other targets.
    pub weight: u16,
    /// The number of requests that the target can process at the same time.
    pub slots: u16,
    /// The maximum number of connections of the target.
    pub connections: u32,
    /// The number of slots that may be used right after the target's start.
    pub cold_slots: u16,
    /// The length of the slow start, from the target's start to full load.
    pub ramp: Duration,
    /// How long the target keeps its flows while it drains; without limit if `None`.
    pub drain: Option<Duration>,
    /// The URL of the health endpoint.
    pub health: Option<Arc<str>>,
    /// The URL of the load endpoint.
    pub load: Option<Arc<str>>,
    /// Whether the target gets no packets because its address recently belonged to another service
    /// or currently belongs to one.
    pub quarantined: bool,
}

impl Target {
    /// Returns whether new flows may be placed on the target.
    pub fn is_placeable(&self) -> bool {
        self.state == TargetState::Active && !self.zone_out && !self.quarantined && self.weight > 0
    }

    /// Returns whether packets of established flows may be sent to the target.
    pub fn is_reachable(&self) -> bool {
        !self.zone_out && !self.quarantined
    }
}
