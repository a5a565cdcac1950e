use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::cookie::{Cookie, TargetNumber};

/// Where a packet goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Destination {
    /// Where the target receives datagrams.
    pub address: SocketAddrV4,
    /// The number of the target that the datagram is meant for.
    pub number: TargetNumber,
    /// The cookie that the packet carries from here on.
    pub cookie: Cookie,
}

/// Why a flow is reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No route leads from the service address.
    NoRoute,
    /// The route's service has no usable target.
    NoTarget,
    /// The flow's target has ended.
    TargetGone,
    /// No known target has the cookie.
    UnknownCookie,
    /// The flow's target does not answer.
    TargetSilent,
}

/// Why a packet is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The daemon has no configuration or no targets yet.
    NotReady,
    /// The view is not fresh enough to refuse the flow.
    StaleView,
    /// The process was paused while the packet waited.
    Paused,
    /// The cookie is not known yet.
    UnknownCookie,
    /// The cookie names a target of a service that the route does not lead to.
    WrongService,
    /// Only targets send such packets.
    Foreign,
    /// The caller resets a flow whose target is not known.
    UnknownReset,
}

/// What is done with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It goes to a target.
    Forward(Destination),
    /// The caller gets a reset.
    Reset(Reason),
    /// Nothing is sent.
    Drop(Cause),
}
