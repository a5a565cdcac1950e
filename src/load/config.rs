use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The thresholds by which a target's load class is determined.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct Config {
    /// The number of consecutive failed health checks after which a target is failing.
    pub bad_to_eject: u32,
    /// The number of consecutive successful health checks after which a failing target counts as
    /// healthy again.
    pub good_to_return: u32,
    /// The largest share of a service's targets that may be failing at the same time.
    pub eject_share: f64,
    /// How long a reported or observed class applies without a further report or observation.
    pub fade: Duration,
    /// The interval at which the endpoint reader repeats the report of a class other than normal.
    /// It must be shorter than `fade`, or the class expires between two reports.
    pub repeat: Duration,
    /// The number of consecutive SYNs without an answer or answered with a reset after which this
    /// daemon treats a target as failing.
    pub silent_syns: u32,
    /// How long a target that answers SYNs with resets gets no new flows. The time is shorter than
    /// `fade`, because a target that sheds load recovers quickly.
    pub refused_hold: Duration,
    /// The number of resets of established flows within `reset_window` after which this daemon
    /// treats a target as cold, since the target has probably restarted.
    pub flow_resets: u32,
    /// The period over which `flow_resets` counts.
    pub reset_window: Duration,
    /// The share of busy slots at or above which a reading counts towards the class hot, provided
    /// that requests are queued as well.
    pub hot_share: f64,
    /// The number of consecutive readings that count towards the class hot after which a target is
    /// hot. A single reading is
    /// not enough, because a short queue is common.
    pub hot_readings: u32,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            bad_to_eject: 3,
            good_to_return: 5,
            eject_share: 0.3,
            fade: Duration::from_secs(30),
            repeat: Duration::from_secs(10),
            silent_syns: 5,
            refused_hold: Duration::from_secs(2),
            flow_resets: 3,
            reset_window: Duration::from_secs(1),
            hot_share: 1.0,
            hot_readings: 3,
        }
    }
}
