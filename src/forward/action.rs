use std::net::SocketAddr;

use crate::{member, ticket::TargetId, wire};

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The packet is not a well-formed IP packet that can be carried.
    Malformed,
    /// The packet is a fragment.
    Fragment,
    /// The destination is not a service address.
    UnknownDestination,
    /// The sender is not a target of the service.
    UnexpectedSender,
    /// The packet has taken too many hops.
    HopLimit,
}

/// What the packet loop must do. `None` as packet means the packet that caused the action.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends an encapsulated packet to a target.
    Deliver {
        /// The target.
        target: TargetId,
        /// The target's address.
        address: SocketAddr,
        /// The packet.
        packet: Option<Vec<u8>>,
    },
    /// Sends an encapsulated packet to the fabric, towards the caller.
    Return {
        /// The packet.
        packet: Option<Vec<u8>>,
    },
    /// Sends a frame to another member.
    Peer {
        /// The member.
        member: member::Id,
        /// The frame's body.
        body: wire::Body,
        /// The packet after a [`wire::Body::Hop`].
        packet: Option<Vec<u8>>,
    },
    /// Drops the packet.
    Drop(Cause),
}
