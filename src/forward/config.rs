use std::time::Duration;

use crate::{flow, forward::Mode};

/// The limits and timeouts of a [`Forwarder`](super::Forwarder).
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// How the daemons find the target of a flow.
    pub mode: Mode,
    /// The largest number of flow records held as owner.
    pub max_flows: usize,
    /// The largest number of cached flows.
    pub max_cached_flows: usize,
    /// How long records are kept without packets of their flow.
    pub timeouts: flow::Timeouts,
    /// How long a hash slot counts as unsettled after a change of its owners. The views of members
    /// may differ during this time.
    pub unsettled_period: Duration,
    /// How long former owners are queried for records. For the same time, a record that this daemon
    /// no longer owns is kept without packets, and a failed member is assumed to run on the other
    /// side of a network partition.
    pub history_period: Duration,
    /// The largest number of members that can be owners with which the daemon that forwarded a
    /// packet is told the flow's target. With more members, the flow's next packet rarely arrives
    /// at the same daemon within the 30 s lifetime of a cache entry, so the message costs more than
    /// the hop that it saves.
    pub max_notified_members: usize,
    /// How long a SYN waits for the lookup of its flow's record.
    pub syn_timeout: Duration,
    /// How long other packets wait for the lookup of their flow's record.
    pub packet_timeout: Duration,
    /// The time between the resends of a query; there are two resends.
    pub resend_interval: Duration,
    /// The largest number of packets in the pending queue.
    pub max_pending: usize,
    /// The largest number of packets in the pending queue for one flow.
    pub max_pending_per_flow: usize,
    /// The number of hops between daemons that a packet may take after its first hop.
    pub max_further_hops: u8,
    /// The number of retries, usually a fraction, that each new flow adds to the retry budget.
    pub retries_per_new_flow: f64,
    /// The largest number of retries for one flow.
    pub max_retries: u8,
    /// The rate of background copies of records in bytes per second.
    pub copy_bytes_per_second: f64,
    /// The burst size of background copies in bytes.
    pub copy_burst_bytes: f64,
    /// The rate of copies while the daemon leaves, in bytes per second.
    pub handover_bytes_per_second: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            mode: Mode::Owners,
            max_flows: 1_000_000,
            max_cached_flows: 500_000,
            timeouts: flow::Timeouts::default(),
            unsettled_period: Duration::from_secs(10),
            history_period: Duration::from_secs(600),
            max_notified_members: 64,
            syn_timeout: Duration::from_millis(300),
            packet_timeout: Duration::from_secs(1),
            resend_interval: Duration::from_millis(100),
            max_pending: 4096,
            max_pending_per_flow: 4,
            max_further_hops: 4,
            retries_per_new_flow: 0.1,
            max_retries: 2,
            copy_bytes_per_second: 1024.0,
            copy_burst_bytes: 32_768.0,
            handover_bytes_per_second: 262_144.0,
        }
    }
}
