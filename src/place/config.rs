use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The limits of placement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct Config {
    /// New flows in a second from which on callers are limited to their share.
    pub new_flows_per_second: u32,
    /// The share of the new flows that one caller address may have beyond the limit.
    pub caller_share: f64,
    /// How long a unit of a cold target is spent by one new flow.
    pub unit_period: Duration,
    /// How long a daemon that joined leaves the units it gained unused, so that the former
    /// holders have heard of it.
    pub join_delay: Duration,
    /// How long a failed member keeps its units, since it may only be unreachable.
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
