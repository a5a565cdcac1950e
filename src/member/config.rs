use std::time::Duration;

/// The timing and limits of the failure detector.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// The time between two pings of the round robin.
    pub period: Duration,
    /// How long a ping may take before other members are asked to ping the target.
    pub ack_timeout: Duration,
    /// The number of members asked to ping a target that did not answer.
    pub indirect_peers: usize,
    /// How long a suspected member may refute.
    pub suspicion_timeout: Duration,
    /// How long a member that announced its departure may refute a suspicion.
    ///
    /// It is longer than `suspicion_timeout`, so that the news that the member has left arrives before
    /// its silence is taken for a failure. Nothing waits for the verdict, since a leaving
    /// member is not an owner.
    pub leaving_suspicion_timeout: Duration,
    /// A tick that comes later than this after the one before it stops all verdicts.
    pub max_tick_gap: Duration,
    /// The time between two pings of failed members.
    pub failed_ping_interval: Duration,
    /// The time between two comparisons of the view with another member.
    pub sync_interval: Duration,
    /// How long a failed member is remembered.
    pub failed_retention: Duration,
    /// How long a member that left is remembered.
    pub left_retention: Duration,
    /// The largest number of updates piggybacked on a message.
    pub max_updates: usize,
    /// The largest size of an encoded message in bytes, without the frame.
    pub max_message_bytes: usize,
    /// The rate limit of view comparisons in bytes a second.
    pub sync_bytes_per_second: u32,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            period: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(400),
            indirect_peers: 3,
            suspicion_timeout: Duration::from_secs(4),
            leaving_suspicion_timeout: Duration::from_secs(30),
            max_tick_gap: Duration::from_millis(400),
            failed_ping_interval: Duration::from_secs(10),
            sync_interval: Duration::from_secs(15),
            failed_retention: Duration::from_secs(24 * 3600),
            left_retention: Duration::from_secs(600),
            max_updates: 8,
            max_message_bytes: 370, // with the frame (26 bytes) below 400
            sync_bytes_per_second: 300,
        }
    }
}
