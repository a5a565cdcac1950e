use crate::{
    flow::{Fingerprint, Protocol},
    member,
    packet::Summary,
    route::ServiceIndex,
    wire::TraceContext,
};

/// A packet that a forwarder is handling.
#[derive(Debug, Clone, Copy)]
pub(super) struct Packet<'a> {
    pub(super) bytes: &'a [u8],
    pub(super) summary: Summary,
    pub(super) fingerprint: Fingerprint,
    pub(super) service: ServiceIndex,
    /// The member that sent the packet; `None` if the packet came from outside the fleet.
    pub(super) sender: Option<member::Id>,
    /// The number of hops that the packet may still take; `None` before the first hop.
    pub(super) hops_left: Option<u8>,
    pub(super) trace: Option<TraceContext>,
    /// Whether the packet was in the pending queue, so the packet loop no longer has it.
    pub(super) was_pending: bool,
}

impl Packet<'_> {
    /// Returns the bytes for an action, or `None` if the packet loop still has the packet.
    pub(super) fn payload(&self) -> Option<Vec<u8>> {
        self.was_pending.then(|| self.bytes.to_vec())
    }

    pub(super) fn is_udp(&self) -> bool {
        self.summary.protocol == Protocol::Udp
    }
}
