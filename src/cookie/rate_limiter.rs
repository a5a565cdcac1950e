use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The span in which the new flows of a cold target are counted.
///
/// It is longer than the second in which the limit must hold, because packets of one daemon may be
/// delayed by different times.
const WINDOW: Duration = Duration::from_millis(1100);

/// Counts the new flows that a daemon sent to a cold target.
#[derive(Debug, Clone, Default)]
pub(super) struct RateLimiter {
    sent: VecDeque<Instant>,
}

impl RateLimiter {
    /// Returns whether one more new flow may be sent, with at most `limit` in any second.
    pub(super) fn allows(&mut self, now: Instant, limit: usize) -> bool {
        while self.sent.front().is_some_and(|sent| now.saturating_duration_since(*sent) >= WINDOW) {
            self.sent.pop_front();
        }
        self.sent.len() < limit
    }

    /// Notes a new flow.
    pub(super) fn record(&mut self, now: Instant) {
        self.sent.push_back(now);
    }
}
