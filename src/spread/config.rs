use std::{sync::Arc, time::Duration};

/// The constants of the dissemination.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The daemon's availability zone.
    pub zone: Arc<str>,
    /// The number of members that a new ticket is announced to in each round.
    pub fanout: usize,
    /// The time between two rounds of announcements.
    pub gossip_interval: Duration,
    /// The time between two comparisons with a random member.
    pub anti_entropy_interval: Duration,
    /// After this time without a response, a request is sent again.
    pub retry_interval: Duration,
    /// The control budget in bytes a second.
    pub rate: f64,
    /// The control bytes that may be sent at once.
    pub burst: f64,
    /// The part of the burst that only new tickets may use; large objects may use half of it.
    pub reserve: f64,
    /// The members that read the platform in each zone.
    pub readers: usize,
}

impl Config {
    /// Returns the constants of the design for a daemon in `zone`.
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
