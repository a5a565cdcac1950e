use std::time::Duration;

/// The timing and limits of the failure detector.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// The SWIM protocol period: the time between two pings, each to the next
    /// member in a round robin.
    pub period: Duration,
    /// The time without an acknowledgement after which other members are asked to ping the
    /// pinged member.
    pub ack_timeout: Duration,
    /// The number of members that are asked to ping a member that did not answer.
    pub indirect_peers: usize,
    /// The time in which a suspected member can refute the suspicion.
    pub suspicion_timeout: Duration,
    /// The time in which a member that announced its departure can refute a suspicion.
    ///
    /// It is longer than `suspicion_timeout`, so that the update that the member has left arrives
    /// before the member is declared failed. The longer wait delays no change of owners,
    /// since a leaving member owns no hash slots.
    pub leaving_suspicion_timeout: Duration,
    /// The maximum gap between two ticks.
    ///
    /// After a longer gap, the local daemon was paused or got no CPU time. The detector then drops
    /// its pending pings and extends all suspicions, so that no member is suspected or declared
    /// failed because of the gap.
    pub max_tick_gap: Duration,
    /// The mean time between two pings, each to a random failed member.
    pub failed_ping_interval: Duration,
    /// The time between two anti-entropy exchanges, each with a random member.
    pub anti_entropy_interval: Duration,
    /// The time after which a failed member is removed from the view.
    pub failed_retention: Duration,
    /// The time after which a member that left is removed from the view.
    pub left_retention: Duration,
    /// The maximum number of updates that are piggybacked on a message.
    pub max_updates: usize,
    /// The maximum size of an encoded message in bytes, without the frame.
    pub max_message_bytes: usize,
    /// The rate limit of anti-entropy in bytes per second. The additional pings that are sent while
    /// many updates wait have a separate limit of the same rate.
    pub anti_entropy_bytes_per_second: u32,
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
            anti_entropy_interval: Duration::from_secs(15),
            failed_retention: Duration::from_secs(24 * 3600),
            left_retention: Duration::from_secs(600),
            max_updates: 8,
            // With the frame, a message stays below 400 bytes. The frame adds 26 bytes for its
            // header and authentication tag, and one byte for the type of its body.
            max_message_bytes: 370,
            anti_entropy_bytes_per_second: 300,
        }
    }
}
