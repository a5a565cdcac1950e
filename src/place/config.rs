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
    /// How long one new flow occupies a slow-start unit of a cold target. A unit thus allows one
    /// new flow in each period.
    pub unit_period: Duration,
    /// How long a daemon waits after its start before it uses its slow-start units. By then the
    /// members that held these units before have learned of the new daemon, so no unit is used
    /// twice.
    pub join_delay: Duration,
    /// How long the slow-start units of a failed member are not given to other members. The failed
    /// member may only be unreachable and still use its units.
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
