use std::time::Duration;

/// The timing and limits of the failure detector.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// The SWIM protocol period: the time between two pings of the round robin.
    pub period: Duration,
    /// The time without an acknowledgement after which other members are asked to ping the
    /// target.
    pub ack_timeout: Duration,
    /// The number of members that are asked to ping a target that did not answer.
    pub indirect_peers: usize,
    /// The time in which a suspected member can refute the suspicion.
    pub suspicion_timeout: Duration,
    /// The time in which a member that announced its departure can refute a suspicion.
    ///
    /// It is longer than `suspicion_timeout`, so that the update that the member has left arrives
    /// before the member is declared failed. The delay costs nothing, since a leaving member
    /// owns no hash slots.
    pub leaving_suspicion_timeout: Duration,
    /// The longest time between two ticks after which the detector still judges other members.
    ///
    /// After a longer gap the local daemon was paused or starved itself, so the detector drops
    /// its pending pings and extends all suspicions.
    pub max_tick_gap: Duration,
    /// The mean time between two pings of failed members.
    pub failed_ping_interval: Duration,
    /// The time between two comparisons of the view with a random member.
    pub sync_interval: Duration,
    /// The time after which a failed member is removed from the view.
    pub failed_retention: Duration,
    /// The time after which a member that left is removed from the view.
    pub left_retention: Duration,
    /// The maximum number of updates that are piggybacked on a message.
    pub max_updates: usize,
    /// The maximum size of an encoded message in bytes, without the frame.
    pub max_message_bytes: usize,
    /// The rate limit of view comparisons, and that of additional pings while many updates wait,
    /// in bytes per second.
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
            max_message_bytes: 370, // below 400 bytes with the 26 bytes of the frame
            sync_bytes_per_second: 300,
        }
    }
}
