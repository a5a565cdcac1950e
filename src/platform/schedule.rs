use std::time::{Duration, Instant};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

use crate::platform::Error;

/// The times between calls to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// The least time between the starts of two calls.
    pub floor: Duration,
    /// The delay after the first failure; it doubles with each further one.
    pub first: Duration,
    /// The delay after the first refusal by the call limit; it doubles with each further one.
    pub limited: Duration,
    /// The largest delay.
    pub maximum: Duration,
}

impl Default for Pace {
    /// Returns the pace of a reader. Two readers in each of 13 zones that watch two lists make at
    /// most 260 calls a second at this floor, well below the limit of 2,000.
    fn default() -> Pace {
        Pace {
            floor: Duration::from_millis(200),
            first: Duration::from_millis(500),
            limited: Duration::from_secs(2),
            maximum: Duration::from_secs(15),
        }
    }
}

/// Decides when the next call to the platform may start.
///
/// After a failure the delay is drawn from the upper half of an exponential backoff, so that the
/// readers of all zones do not return together.
///
/// ```
/// use std::time::{Duration, Instant};
/// use banyanwharf::platform::{Error, Pace, Schedule};
///
/// let now = Instant::now();
/// let mut schedule = Schedule::new(Pace::default(), 7, now);
/// assert!(schedule.may_start(now));
/// schedule.started(now);
/// schedule.failed(now, &Error::Limited);
/// assert!(!schedule.may_start(now + Duration::from_millis(999)));
/// assert!(schedule.may_start(now + Duration::from_secs(2)));
/// ```
#[derive(Debug, Clone)]
pub struct Schedule {
    pace: Pace,
    random: Pcg64,
    next: Instant,
    failures: u32,
}

impl Schedule {
    /// Creates a schedule whose first call may start at once; `seed` sets the jitter.
    pub fn new(pace: Pace, seed: u64, now: Instant) -> Schedule {
        Schedule { pace, random: Pcg64::seed_from_u64(seed), next: now, failures: 0 }
    }

    /// Returns when the next call may start.
    pub fn next_start(&self) -> Instant {
        self.next
    }

    /// Returns whether the next call may start.
    pub fn may_start(&self, now: Instant) -> bool {
        now >= self.next
    }

    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Notes the start of a call.
    ///
    /// # Panics
    ///
    /// Panics if the call starts too early.
    pub fn started(&mut self, now: Instant) {
        assert!(self.may_start(now), "call to the platform starts too early");
        self.next = now + self.pace.floor;
    }

    /// Notes a response.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure.
    pub fn failed(&mut self, now: Instant, error: &Error) {
        let first = match error {
            // The reader starts again at index 0; the platform works.
            Error::Gone { .. } => return self.succeeded(),
            Error::Limited => self.pace.limited,
            _ => self.pace.first,
        };
        let factor = 1u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let full = first.saturating_mul(factor).min(self.pace.maximum);
        let delay = full.mul_f64(self.random.random_range(0.5..=1.0));
        self.failures = self.failures.saturating_add(1);
        self.next = self.next.max(now + delay);
    }
}
