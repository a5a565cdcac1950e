use std::collections::BTreeMap;

use crate::forward::Cause;

/// What a forwarder has done since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// The datagrams received from outside the fleet.
    pub datagrams: u64,
    /// The packets sent to targets.
    pub delivered: u64,
    /// The return packets sent to the fabric.
    pub returned: u64,
    /// The request packets delivered from the cache.
    pub cache_hits: u64,
    /// The request packets that the cache did not know.
    pub cache_misses: u64,
    /// The packets sent to another daemon, for each hop.
    pub hops: u64,
    /// The flows placed.
    pub placed: u64,
    /// The SYNs placed again on the target of a closed flow.
    pub reused: u64,
    /// The new flows refused.
    pub refused: u64,
    /// The flows moved to another target before a SYN-ACK.
    pub moved: u64,
    /// The resets and ICMP messages sent because the target is gone.
    pub terminated: u64,
    /// The resets of targets that were dropped to retry the SYN.
    pub retried: u64,
    /// The retries denied by the retry budget.
    pub retries_denied: u64,
    /// The queries sent, without resends.
    pub queries: u64,
    /// The queries answered with a record.
    pub found: u64,
    /// The queries that ended without an answer from every needed member.
    pub inconclusive: u64,
    /// The flows sent to a candidate because no member holds a record.
    pub probes: u64,
    /// The records adopted from the cache.
    pub adopted: u64,
    /// The SYNs that the secondary owner delivered to another target than the primary chose.
    pub conflicts: u64,
    /// The records that differ between the owners after a SYN-ACK was relayed.
    pub conflicts_open: u64,
    /// The records sent to new owners.
    pub copied: u64,
    /// The records stored because another owner sent them.
    pub copies_stored: u64,
    /// The records evicted from the full table.
    pub evicted: u64,
    /// The bytes of control messages sent, estimated from their content.
    pub control_bytes: u64,
    /// The dropped packets by cause.
    pub dropped: BTreeMap<Cause, u64>,
}
