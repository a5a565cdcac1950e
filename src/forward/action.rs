use std::net::SocketAddr;

use crate::{member, packet, ticket::TargetId, wire};

/// Why a packet was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The packet is shorter than its headers say.
    Truncated,
    /// The packet's length fields contradict each other or its size.
    Length,
    /// The packet has an invalid header.
    Malformed,
    /// The packet is a fragment.
    Fragment,
    /// The IP version or the transport protocol is not supported.
    Unsupported,
    /// Neither the destination nor the source is a service address.
    UnknownDestination,
    /// The packet has a service address as its source, but no target of the service has the outer
    /// source address.
    UnexpectedSender,
    /// The packet has used up its hops between daemons.
    HopLimit,
    /// No member can be an owner of the flow.
    NoOwner,
    /// The process was paused, and the daemon's view has not been updated since.
    Suspended,
    /// The pending queue is full.
    PendingFull,
    /// A member that may hold the flow's record did not answer a query.
    Inconclusive,
    /// No member holds a record of the flow, and the packet is a reset.
    UnknownFlow,
    /// The packet, whether or not it is a reset, belongs to a target other than the one in the
    /// flow's record: a target sent it, or the secondary owner sent it back to be delivered there.
    /// A return packet of a flow without a record counts as well.
    ResetFilter,
    /// The target answered a SYN with a reset. The caller does not receive the reset and sends
    /// the SYN again, and that SYN can go to another target.
    Retried,
    /// A candidate target answered a probe with a reset. The reset is dropped, and the next packet
    /// of the flow goes to the next candidate.
    Probed,
    /// The SYN has the addresses of a closed flow whose target accepts no new flow.
    ClosedFlow,
    /// The target is gone (see [`TargetStatus`](super::TargetStatus)), and no reset or ICMP error
    /// is sent.
    TargetGone,
    /// No ticket with the target has arrived at this daemon yet, or the target's address is in
    /// quarantine (see [`TargetStatus`](super::TargetStatus)).
    TargetUnheard,
    /// The new flow cannot be placed, and it is not refused because an earlier packet of it may
    /// have reached a target.
    Unplaceable,
}

impl Cause {
    /// Returns the name of the cause in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Truncated => "truncated",
            Cause::Length => "length",
            Cause::Malformed => "malformed",
            Cause::Fragment => "fragment",
            Cause::Unsupported => "unsupported",
            Cause::UnknownDestination => "unknown_destination",
            Cause::UnexpectedSender => "unexpected_sender",
            Cause::HopLimit => "hop_limit",
            Cause::NoOwner => "no_owner",
            Cause::Suspended => "suspended",
            Cause::PendingFull => "pending_full",
            Cause::Inconclusive => "inconclusive",
            Cause::UnknownFlow => "unknown_flow",
            Cause::ResetFilter => "reset_filter",
            Cause::Retried => "retried",
            Cause::Probed => "probed",
            Cause::ClosedFlow => "closed_flow",
            Cause::TargetGone => "target_gone",
            Cause::TargetUnheard => "target_unheard",
            Cause::Unplaceable => "unplaceable",
        }
    }
}

impl From<packet::Error> for Cause {
    fn from(error: packet::Error) -> Cause {
        match error {
            packet::Error::Truncated { .. } => Cause::Truncated,
            packet::Error::Long { .. } | packet::Error::Length { .. } => Cause::Length,
            packet::Error::Fragment => Cause::Fragment,
            packet::Error::Version(_) | packet::Error::Protocol(_) => Cause::Unsupported,
            packet::Error::Header => Cause::Malformed,
        }
    }
}

/// An action that the packet loop must carry out.
///
/// A `packet` of `None` stands for the packet that is being handled.
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
        /// The packet that follows a [`wire::Body::Hop`].
        packet: Option<Vec<u8>>,
    },
    /// Drops the packet.
    Drop(Cause),
}
