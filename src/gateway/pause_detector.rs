use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// The shortest gap between two ticks that counts as a pause of the process.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(400);

/// Detects that the process or the VM was paused, with a clock that also advances while the system
/// is suspended.
#[derive(Debug, Clone)]
pub(super) struct PauseDetector {
    /// The time of the last tick or detected pause, since the boot.
    last_tick: Duration,
}

impl PauseDetector {
    /// Creates a detector whose first tick is now.
    pub(super) fn new() -> PauseDetector {
        PauseDetector { last_tick: now() }
    }

    /// Returns the time since the last tick if the process was paused since then. The call then
    /// counts as a tick itself, so that a pause is reported once.
    pub(super) fn check(&mut self) -> Option<Duration> {
        let now = now();
        let gap = now.saturating_sub(self.last_tick);
        if gap < PAUSE_THRESHOLD {
            return None;
        }
        self.last_tick = now;
        Some(gap)
    }

    /// Records that the periodic timer has fired.
    pub(super) fn tick(&mut self) {
        self.last_tick = now();
    }
}

/// Returns the time since the boot, including the time in which the system was suspended.
fn now() -> Duration {
    // All supported kernels have this clock, so the call does not fail.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}
