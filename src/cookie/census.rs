use std::time::{Duration, Instant};

use crate::cookie::Tuning;

/// The maximum time between two records. After a longer one the process was paused, and the number
/// of daemons may have changed in the meantime.
const MAXIMUM_GAP: Duration = Duration::from_secs(1);

/// The number of daemons in the own zone, and how long it has been the same.
///
/// The daemons of a zone divide the limit of a cold target among them. A daemon that counts too few
/// daemons sends too many new flows, so a number that is not yet stable is replaced by a higher one.
#[derive(Debug, Clone)]
pub struct Census {
    assumed: usize,
    run_time: Duration,
    stable_time: Duration,
    started_at: Instant,
    /// The number of daemons at the last record; `None` if it is not known.
    count: Option<usize>,
    changed_at: Instant,
    recorded_at: Instant,
}

impl Census {
    /// Creates the census of a daemon that starts now.
    pub fn new(tuning: &Tuning, now: Instant) -> Census {
        Census {
            assumed: tuning.assumed_zone_daemons,
            run_time: tuning.census_run_time,
            stable_time: tuning.census_stable_time,
            started_at: now,
            count: None,
            changed_at: now,
            recorded_at: now,
        }
    }

    /// Records the number of daemons in the own zone, including this one; `None` if it is not known.
    /// Must be called several times a second, since a longer gap counts as a pause of the process.
    pub fn record(&mut self, now: Instant, count: Option<usize>) {
        let was_paused = now.saturating_duration_since(self.recorded_at) > MAXIMUM_GAP;
        if count != self.count || was_paused {
            self.changed_at = now;
        }
        self.count = count;
        self.recorded_at = now;
    }

    /// Returns the number of daemons among which the limit of a cold target is divided: the number
    /// of daemons in the zone and one that may just be starting. Until the number is stable, the
    /// result is at least [`assumed_zone_daemons`](Tuning::assumed_zone_daemons).
    pub fn sharers(&self, now: Instant) -> usize {
        let Some(count) = self.count else {
            return self.assumed;
        };
        let sharers = count.max(1) + 1;
        if self.is_stable(now) { sharers } else { sharers.max(self.assumed) }
    }

    fn is_stable(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) >= self.run_time
            && now.saturating_duration_since(self.changed_at) >= self.stable_time
    }
}
