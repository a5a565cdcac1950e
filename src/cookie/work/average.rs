use std::time::{Duration, Instant};

/// The moving average of a factor, in logarithms, which approaches a base value when it gets old.
#[derive(Debug, Clone, Copy)]
pub(super) struct Average {
    log: f64,
    observed_at: Instant,
}

impl Average {
    /// Creates an average of one value.
    pub(super) fn new(now: Instant, value: f64) -> Average {
        Average { log: value.ln(), observed_at: now }
    }

    /// Adds an observation with a weight from 0 to 1.
    pub(super) fn record(&mut self, now: Instant, value: f64, weight: f64) {
        self.log += weight * (value.ln() - self.log);
        self.observed_at = now;
    }

    /// Returns the time since the last observation.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.observed_at)
    }

    /// Returns the average. After `hold` without an observation it decays towards `base` with the
    /// time constant `decay`.
    pub(super) fn value(&self, now: Instant, base: f64, hold: Duration, decay: Duration) -> f64 {
        let old = self.age(now).saturating_sub(hold);
        if old.is_zero() {
            return self.log.exp();
        }
        let weight = (-old.as_secs_f64() / decay.as_secs_f64()).exp();
        (weight * self.log + (1.0 - weight) * base.ln()).exp()
    }
}
