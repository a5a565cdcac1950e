use std::time::{Duration, Instant};

use crate::route::Target;

/// The slow start of a target: the growth of its allowed load from its start to full load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Ramp {
    /// When the target started, or when this daemon learned of it if the start is not known.
    started: Instant,
}

impl Ramp {
    /// Creates a ramp for a target that started at `started`.
    pub(super) fn new(started: Instant) -> Ramp {
        Ramp { started }
    }

    /// Returns whether the ramp has ended, so that the target can carry its full load.
    pub(super) fn is_over(self, now: Instant, target: &Target) -> bool {
        self.elapsed(now) >= target.ramp
    }

    /// Returns the number of slots that may be used, which grows from `cold_slots` to `slots`.
    pub(super) fn slots(self, now: Instant, target: &Target) -> u16 {
        let gain = f64::from(target.slots.saturating_sub(target.cold_slots));
        let risen = (gain * self.progress(now, target)).floor() as u16;
        target.cold_slots.min(target.slots).saturating_add(risen)
    }

    /// Returns the factor for the target's weight, which grows from 0 to 1.
    pub(super) fn share(self, now: Instant, target: &Target) -> f64 {
        let cold = f64::from(target.cold_slots.min(target.slots)) / f64::from(target.slots.max(1));
        let progress = self.progress(now, target);
        // The share starts at zero: the cold slots allow a rate of new flows, but say nothing about
        // the number of open flows, which starts at zero.
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
