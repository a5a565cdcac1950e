use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::cookie::{Cookie, TargetNumber};

/// The target that a packet is forwarded to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Destination {
    /// The address at which the target receives datagrams.
    pub address: SocketAddrV4,
    /// The target's number, which the datagram carries.
    pub number: TargetNumber,
    /// The target's cookie, which is written into the packet.
    pub cookie: Cookie,
}

/// Why a flow is reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The configuration has no route for the service address.
    NoRoute,
    /// The route's service has no target that may get the flow.
    NoTarget,
    /// The flow's target has ended.
    TargetGone,
    /// No known target has the cookie.
    UnknownCookie,
    /// The flow's target does not answer.
    TargetSilent,
    /// The targets of all zones reject requests as full, and the route's priority class is not the
    /// highest of its service. Nothing was sent to a target.
    NoRoom,
}

/// Why a packet is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The daemon has not read the configuration or the targets yet.
    NotReady,
    /// The service address has no known route, but the configuration may be out of date.
    StaleView,
    /// The process was paused recently, and the opening packet may have waited during the pause.
    Paused,
    /// No target with the cookie is known, but the targets may be out of date.
    UnknownCookie,
    /// The cookie belongs to a target, but the packet's service address was never routed to the
    /// service of this target.
    WrongService,
    /// The packet is not one of a caller: only targets send this kind.
    Foreign,
    /// The caller's reset cannot be forwarded because its route or cookie is unknown.
    UnknownReset,
}

/// The decision on a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The packet is forwarded to a target.
    Forward(Destination),
    /// The packet is dropped and the caller gets a reset.
    Reset(Reason),
    /// The packet is dropped.
    Drop(Cause),
}
