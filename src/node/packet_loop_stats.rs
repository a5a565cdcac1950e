use std::collections::HashMap;

use crate::{forward::Counters, ticket::TargetId};

/// Counters and table sizes that the packet loop publishes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct PacketLoopStats {
    /// The forwarder's counters.
    pub(super) forward: Counters,
    /// Flows in the table of owned flows.
    pub(super) owned_flows: u64,
    /// Flows in the cache.
    pub(super) cached_flows: u64,
    /// Frames that could not be decoded or authenticated.
    pub(super) bad_frames: u64,
    /// Datagrams that could not be sent.
    pub(super) unsent: u64,
    /// Pauses of the process.
    pub(super) pauses: u64,
    /// Whether forwarding waits for the first state or for a confirmed view.
    pub(super) is_suspended: bool,
    /// Packets that wait for the result of a lookup.
    pub(super) pending_packets: u64,
    /// Lookups in progress, at most one for each flow.
    pub(super) open_lookups: u64,
    /// Open flows of each target for which this daemon is the primary owner.
    pub(super) open_flows: HashMap<TargetId, u64>,
    /// Bytes of frames sent on behalf of a single packet: answers to cache misses, and queries.
    pub(super) lookup_bytes: u64,
    /// Bytes of frames sent to copy records to new owners and to acknowledge such copies.
    pub(super) copy_bytes: u64,
    /// Bytes of frames sent that carry a packet.
    pub(super) hop_bytes: u64,
}
