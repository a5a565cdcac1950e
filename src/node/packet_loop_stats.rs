use std::collections::HashMap;

use crate::{forward::Counters, ticket::TargetId};

/// What the packet loop counts besides the forwarder's counters.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct PacketLoopStats {
    /// The forwarder's counters.
    pub(super) forward: Counters,
    /// Flows held as owner.
    pub(super) owned_flows: u64,
    /// Flows in the cache.
    pub(super) cached_flows: u64,
    /// Frames that were not accepted.
    pub(super) bad_frames: u64,
    /// Datagrams that could not be sent.
    pub(super) unsent: u64,
    /// Pauses of the process.
    pub(super) pauses: u64,
    /// Whether forwarding waits for a confirmed view.
    pub(super) is_suspended: bool,
    /// Packets that wait for the answer to a query.
    pub(super) pending_packets: u64,
    /// Flows that wait for the answer to a query.
    pub(super) open_queries: u64,
    /// The open flows by target that this daemon owns as primary.
    pub(super) open_flows: HashMap<TargetId, u64>,
    /// Bytes of frames sent because of one packet of a flow: answers to cache misses and queries.
    pub(super) lookup_bytes: u64,
    /// Bytes of frames sent to copy records and to acknowledge copies.
    pub(super) copy_bytes: u64,
    /// Bytes of frames sent that carry a packet.
    pub(super) hop_bytes: u64,
}
