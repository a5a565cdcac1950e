use std::{sync::Arc, time::Duration};

/// The timing and limits of the dissemination.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The daemon's availability zone.
    pub zone: Arc<str>,
    /// The number of random members that a new ticket is announced to in each round.
    pub fanout: usize,
    /// The time between two rounds of announcements.
    pub gossip_interval: Duration,
    /// The time between two anti-entropy exchanges, each with a random member.
    pub anti_entropy_interval: Duration,
    /// The time without a response after which a request is sent again.
    pub retry_interval: Duration,
    /// The rate limit of control messages in bytes per second.
    pub rate: f64,
    /// The maximum bytes of control messages that are sent at once.
    pub burst: f64,
    /// The bytes of the burst that are reserved for messages about new tickets. Parts of large
    /// objects may use half of them.
    pub reserve: f64,
    /// The number of zone readers in each zone, which read the platform.
    pub readers: usize,
}

impl Config {
    /// Returns the configuration of a daemon in `zone`.
    pub fn new(zone: Arc<str>) -> Config {
        Config {
            zone,
            fanout: 3,
            gossip_interval: Duration::from_secs(1),
            anti_entropy_interval: Duration::from_secs(5),
            retry_interval: Duration::from_secs(1),
            rate: 2_000.0,
            burst: 64_000.0,
            reserve: 16_000.0,
            readers: 2,
        }
    }
}
