use serde::Deserialize;

use crate::settings::strict::strict;

/// The rate limit of control messages, which is enforced by a token bucket.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, default)]
pub struct Control {
    /// The rate in bytes per second.
    #[serde(deserialize_with = "strict")]
    pub bytes_per_second: u32,
    /// The capacity of the bucket in bytes, which is the largest burst.
    #[serde(deserialize_with = "strict")]
    pub burst_bytes: u32,
}

impl Default for Control {
    fn default() -> Control {
        Control { bytes_per_second: 2048, burst_bytes: 64 * 1024 }
    }
}
