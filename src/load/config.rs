use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The thresholds that decide a target's class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct Config {
    /// Failed readings in a row that make a target failing.
    pub bad_to_eject: u32,
    /// Good readings in a row that end it.
    pub good_to_return: u32,
    /// The largest share of a service's targets that may be failing at the same time.
    pub eject_share: f64,
    /// How long a class lasts without a further report.
    pub fade: Duration,
    /// How often the reader repeats the report of a class that is not normal; less than `fade`.
    pub repeat: Duration,
    /// Unanswered or reset SYNs in a row that make a target failing for this daemon.
    pub silent_syns: u32,
    /// How long a target that answers SYNs with resets gets no flow before it is tried again. A
    /// target that sheds load recovers quickly.
    pub refused_hold: Duration,
    /// Resets of established flows within `reset_window` that make a target cold for this daemon.
    pub flow_resets: u32,
    /// See `flow_resets`.
    pub reset_window: Duration,
    /// The busy share of slots from which on a target is hot, if requests are queued.
    pub hot_share: f64,
    /// Readings in a row that make a target hot, since a single reading often finds a short queue.
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
