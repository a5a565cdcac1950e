use std::time::{Duration, Instant, SystemTime};

/// A gap that is longer than this makes the daemon's view stale.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Notices that the process was paused.
///
/// The monotonic clock stands still while the machine itself is suspended, so the wall
/// clock is watched too. A step of the wall clock is taken for a pause, which costs one
/// confirmation of the view and nothing else.
#[derive(Debug, Clone)]
pub(super) struct PauseDetector {
    last_check: Instant,
    wall_time: SystemTime,
}

impl PauseDetector {
    /// Starts the watch.
    pub(super) fn new(now: Instant, wall_time: SystemTime) -> PauseDetector {
        PauseDetector { last_check: now, wall_time }
    }

    /// Returns the length of the gap since the last_check call if the process was paused.
    pub(super) fn check(&mut self, now: Instant, wall_time: SystemTime) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(self.last_check);
        let wall_elapsed = wall_time.duration_since(self.wall_time).unwrap_or_default();
        self.last_check = now;
        self.wall_time = wall_time;
        let gap = elapsed.max(wall_elapsed);
        (gap > PAUSE_THRESHOLD).then_some(gap)
    }
}
