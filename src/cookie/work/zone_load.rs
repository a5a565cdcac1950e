use std::time::{Duration, Instant};

use crate::cookie::work::average::Average;

/// The time constant of the mean number of requests in a zone.
const WINDOW: Duration = Duration::from_secs(1);

/// The weight of one answer in the usual delay factor of a zone.
const DELAY_WEIGHT: f64 = 0.05;

/// How long an observed delay factor of a zone is used unchanged, and how fast it decays then.
const HOLD: Duration = Duration::from_secs(1);
const DECAY: Duration = Duration::from_secs(3);

/// What the answers of one service's targets in one zone show.
#[derive(Debug, Clone, Default)]
pub(super) struct ZoneLoad {
    delay: Option<Average>,
    /// The time that requests spent at targets, with exponentially decreasing weight, in seconds.
    busy: f64,
    busy_at: Option<Instant>,
}

impl ZoneLoad {
    /// Records an answer that took `seconds` at the target, `factor` times the cost of its route.
    pub(super) fn record(&mut self, now: Instant, seconds: f64, factor: f64) {
        self.busy = self.mean_requests(now) * WINDOW.as_secs_f64() + seconds;
        self.busy_at = Some(now);
        match &mut self.delay {
            Some(delay) => delay.record(now, factor, DELAY_WEIGHT),
            None => self.delay = Some(Average::new(now, factor)),
        }
    }

    /// Returns the usual delay factor of the zone's targets, or `base` without recent observations.
    pub(super) fn delay(&self, now: Instant, base: f64) -> f64 {
        self.delay.map_or(base, |delay| delay.value(now, base, HOLD, DECAY))
    }

    /// Returns the mean number of requests that this daemon had at the zone's targets, by Little's
    /// law: the time spent at targets per second.
    pub(super) fn mean_requests(&self, now: Instant) -> f64 {
        let Some(at) = self.busy_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64() / WINDOW.as_secs_f64();
        self.busy * (-age).exp() / WINDOW.as_secs_f64()
    }
}
