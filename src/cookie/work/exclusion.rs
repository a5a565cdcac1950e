use std::time::{Duration, Instant};

/// The shortest time without new flows after a rejection.
const MINIMUM_TIME: Duration = Duration::from_millis(100);

/// The longest time after a first rejection, which may be a wrong classification.
const MAXIMUM_FIRST_TIME: Duration = Duration::from_millis(500);

/// The longest time without new flows. Evidence older than 1 s does not count.
const MAXIMUM_TIME: Duration = Duration::from_secs(1);

/// The time for which a target that has rejected requests as full gets no new flows.
#[derive(Debug, Clone, Copy)]
pub(super) struct Exclusion {
    rejected_at: Instant,
    time: Duration,
}

impl Exclusion {
    /// Creates an exclusion after a rejection. `drain_time` is the time that the target needs for a
    /// part of its queue; `previous` is its previous exclusion.
    pub(super) fn new(
        now: Instant,
        drain_time: Duration,
        previous: Option<Exclusion>,
    ) -> Exclusion {
        let first = drain_time.clamp(MINIMUM_TIME, MAXIMUM_FIRST_TIME);
        let time = match previous.filter(|previous| previous.is_recent(now)) {
            // Rejections of requests that were sent together do not show that the target is still
            // full after a pause.
            Some(previous) if previous.is_active(now) => previous.time,
            Some(previous) => (previous.time * 2).clamp(first, MAXIMUM_TIME),
            None => first,
        };
        Exclusion { rejected_at: now, time }
    }

    /// Returns the time since the rejection.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.rejected_at)
    }

    /// Returns whether the target still gets no new flows.
    pub(super) fn is_active(&self, now: Instant) -> bool {
        self.age(now) < self.time
    }

    /// Returns whether a further rejection extends the exclusion.
    pub(super) fn is_recent(&self, now: Instant) -> bool {
        self.age(now) < self.time + MAXIMUM_TIME
    }

    /// Returns whether a request sent at `sent_at` was sent after the rejection.
    pub(super) fn is_before(&self, sent_at: Instant) -> bool {
        self.rejected_at <= sent_at
    }
}
