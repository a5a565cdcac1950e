use serde::Deserialize;

use crate::settings::strict::strict;

/// The capacities of a daemon's tables and the limits on callers.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum number of flows for which the daemon holds a record as an owner.
    #[serde(deserialize_with = "strict")]
    pub owned_flows: u32,
    /// The maximum number of flows in the cache.
    #[serde(deserialize_with = "strict")]
    pub cached_flows: u32,
    /// The maximum number of packets that wait for the results of lookups.
    #[serde(deserialize_with = "strict")]
    pub pending_packets: u32,
    /// The rate of new flows per second above which `caller_share` applies.
    #[serde(deserialize_with = "strict")]
    pub new_flows_per_second: u32,
    /// The maximum share of the new flows in a second that may come from one caller address, above
    /// 0 and up to 1.
    #[serde(deserialize_with = "strict")]
    pub caller_share: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            owned_flows: 1_000_000,
            cached_flows: 1_000_000,
            pending_packets: 4096,
            new_flows_per_second: 20_000,
            caller_share: 0.01,
        }
    }
}
