use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::cookie::Cookie;

/// What one daemon has observed of a target that differs from the other targets of its zone.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Report {
    /// The cookie of the target.
    pub cookie: Cookie,
    /// How many times as long as usual the target takes for its answers; below 1 for a fast target.
    pub delay_factor: f32,
    /// Whether the target has rejected a request as full.
    pub is_rejecting: bool,
    /// The time since the last observation on which the report is based.
    pub age: Duration,
}
