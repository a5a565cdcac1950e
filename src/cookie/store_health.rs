use std::time::{Duration, Instant};

/// Records when calls to the store last failed and when the store last recovered.
#[derive(Debug, Clone, Default)]
pub(super) struct StoreHealth {
    failed_at: Option<Instant>,
    answered_at: Option<Instant>,
    returned_at: Option<Instant>,
}

impl StoreHealth {
    /// Records a failed call.
    pub(super) fn record_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    /// Records a successful call. The first one after a failure is a recovery.
    pub(super) fn record_success(&mut self, now: Instant) {
        let is_return = match (self.failed_at, self.answered_at) {
            (Some(failed), Some(answered)) => failed > answered,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if is_return {
            self.returned_at = Some(now);
        }
        self.answered_at = Some(now);
    }

    /// Records that the store has returned from a copy.
    pub(super) fn record_return(&mut self, now: Instant) {
        self.returned_at = Some(now);
    }

    /// Returns whether no call has failed and the store has not recovered during the last
    /// `duration`.
    pub(super) fn is_stable(&self, now: Instant, duration: Duration) -> bool {
        let is_past = |instant: Option<Instant>| {
            instant.is_none_or(|instant| now.saturating_duration_since(instant) >= duration)
        };
        is_past(self.failed_at) && is_past(self.returned_at)
    }
}
