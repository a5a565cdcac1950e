use std::{collections::HashMap, time::Instant};

use crate::{
    flow::Fingerprint, forward::packet::Packet, member::Id, packet::Summary, route::ServiceIndex,
    ticket::TargetId, wire::TraceContext,
};

/// The kind of the packet that started a lookup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// A SYN in an unsettled hash slot.
    Syn,
    /// A UDP packet.
    Udp,
    /// A TCP packet without SYN.
    NonSyn,
    /// A return packet.
    Return,
}

/// A packet in the pending queue.
#[derive(Debug, Clone)]
pub(super) struct PendingPacket {
    bytes: Vec<u8>,
    summary: Summary,
    fingerprint: Fingerprint,
    service: ServiceIndex,
    sender: Option<Id>,
    hops_left: Option<u8>,
    trace: Option<TraceContext>,
    /// The target that sent the packet if it is a return packet.
    pub(super) from: Option<TargetId>,
}

impl PendingPacket {
    pub(super) fn new(packet: &Packet<'_>, from: Option<TargetId>) -> PendingPacket {
        PendingPacket {
            bytes: packet.bytes.to_vec(),
            summary: packet.summary,
            fingerprint: packet.fingerprint,
            service: packet.service,
            sender: packet.sender,
            hops_left: packet.hops_left,
            trace: packet.trace,
            from,
        }
    }

    pub(super) fn packet(&self) -> Packet<'_> {
        Packet {
            bytes: &self.bytes,
            summary: self.summary,
            fingerprint: self.fingerprint,
            service: self.service,
            sender: self.sender,
            hops_left: self.hops_left,
            trace: self.trace,
            was_pending: true,
        }
    }
}

/// A search for the record of one flow at the members that may hold it.
#[derive(Debug, Clone)]
pub(super) struct Lookup {
    pub(super) kind: Kind,
    /// The members that were queried.
    pub(super) queried: Vec<Id>,
    /// The members that answered that they hold no record, or only one that is not useful, with the
    /// time since which each of them knows all flows.
    pub(super) without_record: HashMap<Id, Instant>,
    /// The packets of the flow that wait for the outcome.
    pub(super) packets: Vec<PendingPacket>,
    /// When the lookup ends even if members have not answered.
    pub(super) deadline: Instant,
    pub(super) next_resend: Instant,
    pub(super) resends: u8,
}
