use std::collections::BTreeMap;

use crate::forward::Cause;

/// Counts of what a forwarder has done since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// The encapsulated packets received from outside the fleet.
    pub datagrams: u64,
    /// The packets sent to targets.
    pub delivered: u64,
    /// The return packets sent to the fabric.
    pub returned: u64,
    /// The request packets delivered from the cache.
    pub cache_hits: u64,
    /// The request packets whose flow's target was not in the cache.
    pub cache_misses: u64,
    /// The packets forwarded to other daemons.
    pub hops: u64,
    /// The flows placed.
    pub placed: u64,
    /// The new flows placed on the target of a closed flow with the same addresses.
    pub reused: u64,
    /// The new flows refused.
    pub refused: u64,
    /// The flows moved to another target before a SYN-ACK was seen.
    pub moved: u64,
    /// The resets and ICMP errors sent to callers because no target can take the packet.
    pub terminated: u64,
    /// The resets from targets that were dropped so that the SYN can be retried.
    pub retried: u64,
    /// The retries for which the retry budget was too small.
    pub retries_denied: u64,
    /// The queries sent, without resends.
    pub queries: u64,
    /// The queries answered with a record.
    pub found: u64,
    /// The lookups that ended without an answer from a member that may hold the record.
    pub inconclusive: u64,
    /// The flows probed at a candidate target because no member holds a record.
    pub probes: u64,
    /// The records created from cache entries.
    pub adopted: u64,
    /// The request packets for which the secondary owner kept another target than the primary owner
    /// chose.
    pub conflicts: u64,
    /// The packets for which the owners have different targets in their records of a pinned flow.
    pub conflicts_open: u64,
    /// The records sent to new owners.
    pub copied: u64,
    /// The records received from another owner and stored.
    pub copies_stored: u64,
    /// The records evicted from the full table.
    pub evicted: u64,
    /// The bytes of control messages sent, estimated from the messages' content.
    pub control_bytes: u64,
    /// The dropped packets by cause.
    pub dropped: BTreeMap<Cause, u64>,
}
