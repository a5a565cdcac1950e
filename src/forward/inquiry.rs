use std::{collections::HashMap, time::Instant};

use crate::{
    flow::Fingerprint, forward::packet::Packet, member::Id, packet::Summary, route::ServiceIndex,
    ticket::TargetId, wire::TraceContext,
};

/// What the packet that caused an inquiry is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// A SYN in an unsettled hash slot.
    Opening,
    /// A UDP packet.
    Datagram,
    /// A TCP packet without SYN.
    Stream,
    /// A return packet.
    Return,
}

/// A packet in the pending queue.
#[derive(Debug, Clone)]
pub(super) struct Held {
    bytes: Vec<u8>,
    summary: Summary,
    fingerprint: Fingerprint,
    service: ServiceIndex,
    sender: Option<Id>,
    hops_left: Option<u8>,
    trace: Option<TraceContext>,
    /// The target that sent the packet, if it is a return packet.
    pub(super) from: Option<TargetId>,
}

impl Held {
    pub(super) fn new(packet: &Packet<'_>, from: Option<TargetId>) -> Held {
        Held {
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
            held: true,
        }
    }
}

/// A search for the record of one flow.
#[derive(Debug, Clone)]
pub(super) struct Inquiry {
    pub(super) kind: Kind,
    /// The members asked.
    pub(super) asked: Vec<Id>,
    /// The members that hold no record, with the time since which they know all flows.
    pub(super) unknown: HashMap<Id, Instant>,
    pub(super) packets: Vec<Held>,
    pub(super) deadline: Instant,
    pub(super) next_resend: Instant,
    pub(super) resends: u8,
}
