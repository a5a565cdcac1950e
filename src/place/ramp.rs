use std::time::{Duration, Instant};

use crate::route::Target;

/// The rise of a target's allowance from its start to full load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Ramp {
    /// When the target started, as far as known.
    started: Instant,
}

impl Ramp {
    /// Creates a ramp for a target that started at `started`.
    pub(super) fn new(started: Instant) -> Ramp {
        Ramp { started }
    }

    /// Returns whether the target has reached full load.
    pub(super) fn is_over(self, now: Instant, target: &Target) -> bool {
        self.elapsed(now) >= target.ramp
    }

    /// Returns the slots that the target can bear, from `cold_slots` up to `slots`.
    pub(super) fn slots(self, now: Instant, target: &Target) -> u16 {
        let gain = f64::from(target.slots.saturating_sub(target.cold_slots));
        let risen = (gain * self.progress(now, target)).floor() as u16;
        target.cold_slots.min(target.slots).saturating_add(risen)
    }

    /// Returns the share of the full load that the target can bear, in 0 to 1.
    pub(super) fn share(self, now: Instant, target: &Target) -> f64 {
        let cold = f64::from(target.cold_slots.min(target.slots)) / f64::from(target.slots.max(1));
        let progress = self.progress(now, target);
        // The share starts at zero, since the cold slots bear a rate and not a stock of flows.
        cold * progress + (1.0 - cold) * progress * progress
    }

    fn progress(self, now: Instant, target: &Target) -> f64 {
        if target.ramp == Duration::ZERO {
            return 1.0;
        }
        (self.elapsed(now).as_secs_f64() / target.ramp.as_secs_f64()).min(1.0)
    }

    fn elapsed(self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }
}
