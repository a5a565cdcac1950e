use std::time::{Duration, Instant};

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

use crate::platform::Error;

/// The minimum interval and the retry delays of calls to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// The minimum time between the starts of two calls.
    pub minimum_interval: Duration,
    /// The delay after the first failure, which doubles with each further one.
    pub initial_delay: Duration,
    /// The delay after the first failure if the call limit is exceeded (429), which doubles with
    /// each further one.
    pub initial_limited_delay: Duration,
    /// The maximum delay.
    pub maximum_delay: Duration,
}

impl Default for Backoff {
    /// Returns the intervals of a zone reader. Two zone readers in each of 13 zones that watch two
    /// lists make at most 260 calls per second at this minimum interval, well below the limit of
    /// 2,000.
    fn default() -> Backoff {
        Backoff {
            minimum_interval: Duration::from_millis(200),
            initial_delay: Duration::from_millis(500),
            initial_limited_delay: Duration::from_secs(2),
            maximum_delay: Duration::from_secs(15),
        }
    }
}

/// Decides when the next call to the platform may start.
///
/// After a failure the delay is a random value from the upper half of an exponential backoff, so
/// that the readers of all zones do not repeat their calls at the same time.
///
/// ```
/// use std::time::{Duration, Instant};
/// use banyanwharf::platform::{Error, Backoff, Schedule};
///
/// let now = Instant::now();
/// let mut schedule = Schedule::new(Backoff::default(), 7, now);
/// assert!(schedule.may_start(now));
/// schedule.record_start(now);
/// schedule.record_failure(now, &Error::RateLimited);
/// assert!(!schedule.may_start(now + Duration::from_millis(999)));
/// assert!(schedule.may_start(now + Duration::from_secs(2)));
/// ```
#[derive(Debug, Clone)]
pub struct Schedule {
    backoff: Backoff,
    random: Pcg64,
    next_start: Instant,
    failures: u32,
}

impl Schedule {
    /// Creates a schedule whose first call may start at once; `seed` initializes the jitter.
    pub fn new(backoff: Backoff, seed: u64, now: Instant) -> Schedule {
        Schedule { backoff, random: Pcg64::seed_from_u64(seed), next_start: now, failures: 0 }
    }

    /// Returns when the next call may start.
    pub fn next_start(&self) -> Instant {
        self.next_start
    }

    /// Returns whether the next call may start.
    pub fn may_start(&self, now: Instant) -> bool {
        now >= self.next_start
    }

    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records the start of a call.
    ///
    /// # Panics
    ///
    /// Panics if the call starts before [`Schedule::next_start`].
    pub fn record_start(&mut self, now: Instant) {
        assert!(self.may_start(now), "call to the platform starts too early");
        self.next_start = now + self.backoff.minimum_interval;
    }

    /// Records a successful call.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failed call and sets the delay before the next one.
    pub fn record_failure(&mut self, now: Instant, error: &Error) {
        let initial = match error {
            // The platform works. The reader starts again at index 0, or reads everything anew in the
            // other era, without a retry delay.
            Error::Gone { .. } | Error::EraChanged { .. } => return self.record_success(),
            Error::RateLimited => self.backoff.initial_limited_delay,
            _ => self.backoff.initial_delay,
        };
        let factor = 1u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        let full = initial.saturating_mul(factor).min(self.backoff.maximum_delay);
        let delay = full.mul_f64(self.random.random_range(0.5..=1.0));
        self.failures = self.failures.saturating_add(1);
        self.next_start = self.next_start.max(now + delay);
    }
}
