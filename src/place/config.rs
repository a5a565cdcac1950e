use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The limits of placement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct Config {
    /// The rate of new flows of a daemon at which each caller address is limited to its share.
    pub new_flows_per_second: u32,
    /// The share of `new_flows_per_second` up to which one caller address may open flows while
    /// the daemon is at the limit.
    pub caller_share: f64,
    /// How long one new flow occupies a slow-start unit of a cold target.
    pub unit_period: Duration,
    /// How long a daemon that has started does not use its slow-start units. By then the members
    /// that held these units before have learned of the new daemon.
    pub join_delay: Duration,
    /// How long a failed member keeps its slow-start units. The member may only be unreachable
    /// and still use them.
    pub failed_hold: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            new_flows_per_second: 20_000,
            caller_share: 0.01,
            unit_period: Duration::from_secs(1),
            join_delay: Duration::from_secs(15),
            failed_hold: Duration::from_secs(60),
        }
    }
}
