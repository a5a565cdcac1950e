use std::time::{Duration, Instant};

/// The interval between two changes of the share.
const STEP: Duration = Duration::from_millis(100);

/// The factor by which the share decreases in each step while targets reject.
const DECREASE: f64 = 0.7;

/// The amount by which the share recovers in each step: from the minimum to 1 in less than a second.
const INCREASE: f64 = 0.12;

/// The least share, so that no class starves and the daemon still sees answers.
const MINIMUM_SHARE: f64 = 0.05;

/// The admitted share of the flows of a service's lower priority classes.
#[derive(Debug, Clone)]
pub(super) struct Admission {
    share: f64,
    changed_at: Instant,
}

impl Admission {
    /// Creates an admission of all flows.
    pub(super) fn new(now: Instant) -> Admission {
        Admission { share: 1.0, changed_at: now }
    }

    /// Changes the share if a step has passed since the last change.
    pub(super) fn update(&mut self, now: Instant, is_full: bool) {
        let steps = now.saturating_duration_since(self.changed_at).as_millis() / STEP.as_millis();
        if steps == 0 {
            return;
        }
        self.changed_at = now;
        // Time without new flows shows no rejections, so that it does not decrease the share.
        self.share = match is_full {
            true => self.share * DECREASE,
            false => self.share + INCREASE * steps.min(10) as f64,
        }
        .clamp(MINIMUM_SHARE, 1.0);
    }

    /// Returns the admitted share of the class that `rank` higher classes precede. The lower a class,
    /// the sooner its share decreases.
    pub(super) fn share(&self, rank: u32) -> f64 {
        match rank {
            0 => 1.0,
            _ => self.share.powi(rank.min(8) as i32).max(MINIMUM_SHARE),
        }
    }
}
