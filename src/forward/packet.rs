use crate::{
    flow::{Fingerprint, Protocol},
    member,
    packet::Summary,
    route::ServiceIndex,
    wire::TraceContext,
};

/// A packet on its way through one forwarder.
#[derive(Debug, Clone, Copy)]
pub(super) struct Packet<'a> {
    pub(super) bytes: &'a [u8],
    pub(super) summary: Summary,
    pub(super) fingerprint: Fingerprint,
    pub(super) service: ServiceIndex,
    /// The member that the packet came from, unless it came from outside the fleet.
    pub(super) sender: Option<member::Id>,
    /// The hops that the packet may still take; `None` before the first hop.
    pub(super) hops_left: Option<u8>,
    pub(super) trace: Option<TraceContext>,
    /// Whether the packet waited in the pending queue, so the packet loop no longer has it.
    pub(super) held: bool,
}

impl Packet<'_> {
    /// Returns the bytes for an action: none if the packet loop still has the packet.
    pub(super) fn payload(&self) -> Option<Vec<u8>> {
        self.held.then(|| self.bytes.to_vec())
    }

    pub(super) fn is_datagram(&self) -> bool {
        self.summary.protocol == Protocol::Udp
    }
}
