use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A gap between two ticks that is longer than this is a pause of the process.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(400);

/// Notices that the process or the VM was paused, by a clock that counts suspensions.
#[derive(Debug, Clone)]
pub(super) struct PauseDetector {
    last_tick: Duration,
}

impl PauseDetector {
    /// Starts the watch.
    pub(super) fn new() -> PauseDetector {
        PauseDetector { last_tick: now() }
    }

    /// Returns the gap since the last tick if the process was paused.
    pub(super) fn check(&mut self) -> Option<Duration> {
        let now = now();
        let gap = now.saturating_sub(self.last_tick);
        if gap < PAUSE_THRESHOLD {
            return None;
        }
        self.last_tick = now;
        Some(gap)
    }

    /// Notes that a periodic timer has fired.
    pub(super) fn tick(&mut self) {
        self.last_tick = now();
    }
}

/// Returns the time since the boot, including suspensions.
fn now() -> Duration {
    // The clock exists on all kernels that this program supports.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}
