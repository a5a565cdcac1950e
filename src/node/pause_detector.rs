use std::time::{Duration, Instant, SystemTime};

/// A longer gap between two checks is treated as a pause, after which the member view may be stale.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Detects that the process or the VM was paused.
///
/// The monotonic clock stops while the VM is suspended, so the detector also compares the wall
/// clock. A forward step of the wall clock is treated as a pause; the only cost is one
/// confirmation of the member view.
#[derive(Debug, Clone)]
pub(super) struct PauseDetector {
    last_check: Instant,
    wall_time: SystemTime,
}

impl PauseDetector {
    /// Creates a detector whose first gap starts now.
    pub(super) fn new(now: Instant, wall_time: SystemTime) -> PauseDetector {
        PauseDetector { last_check: now, wall_time }
    }

    /// Returns the time since the last check if it is long enough to count as a pause.
    pub(super) fn check(&mut self, now: Instant, wall_time: SystemTime) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(self.last_check);
        let wall_elapsed = wall_time.duration_since(self.wall_time).unwrap_or_default();
        self.last_check = now;
        self.wall_time = wall_time;
        let gap = elapsed.max(wall_elapsed);
        (gap > PAUSE_THRESHOLD).then_some(gap)
    }
}
