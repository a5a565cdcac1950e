use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The sliding window over which the new flows to a cold target are counted.
///
/// It exceeds the 1 s for which the limit holds, because packets of one daemon may be delayed by
/// different times.
const WINDOW: Duration = Duration::from_millis(1100);

/// A sliding-window rate limiter for the new flows that a daemon sends to a cold target.
#[derive(Debug, Clone, Default)]
pub(super) struct RateLimiter {
    sent: VecDeque<Instant>,
}

impl RateLimiter {
    /// Returns whether one more new flow may be sent without exceeding `limit` flows in any second.
    pub(super) fn allows(&mut self, now: Instant, limit: usize) -> bool {
        while self.sent.front().is_some_and(|sent| now.saturating_duration_since(*sent) >= WINDOW) {
            self.sent.pop_front();
        }
        self.sent.len() < limit
    }

    /// Records a new flow.
    pub(super) fn record(&mut self, now: Instant) {
        self.sent.push_back(now);
    }
}
