use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use crate::util;

/// The number of counters. Callers whose addresses hash to the same index share a counter. The
/// table has a fixed size, so that a flood from many forged addresses takes no further memory.
const COUNTER_COUNT: usize = 8192;

const WINDOW: Duration = Duration::from_secs(1);

/// Limits the new flows of each caller address while the daemon exceeds its limit of new flows.
#[derive(Debug, Clone)]
pub(super) struct CallerLimiter {
    seed: u64,
    window_start: Instant,
    admitted_in_window: u32,
    counters: Vec<u32>,
}

impl CallerLimiter {
    /// Creates a limiter. The `seed` keys the hash that assigns callers to counters.
    pub(super) fn new(seed: u64, now: Instant) -> CallerLimiter {
        CallerLimiter {
            seed,
            window_start: now,
            admitted_in_window: 0,
            counters: vec![0; COUNTER_COUNT],
        }
    }

    /// Returns whether a new flow of `caller` is within the limits, and counts the flow if so.
    ///
    /// A flow is rejected if the daemon has admitted `limit` flows in the current window and the
    /// caller's counter has reached `share` of that.
    pub(super) fn admit(&mut self, now: Instant, caller: IpAddr, limit: u32, share: f64) -> bool {
        if now.saturating_duration_since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.admitted_in_window = 0;
            self.counters.fill(0);
        }
        let index = self.index(caller);
        if self.admitted_in_window >= limit
            && f64::from(self.counters[index]) >= f64::from(limit) * share
        {
            return false;
        }
        self.admitted_in_window = self.admitted_in_window.saturating_add(1);
        self.counters[index] = self.counters[index].saturating_add(1);
        true
    }

    fn index(&self, caller: IpAddr) -> usize {
        let octets = match caller {
            IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
            IpAddr::V6(ip) => ip.octets(),
        };
        util::hash_bytes(&[&self.seed.to_le_bytes(), &octets]) as usize % COUNTER_COUNT
    }
}
