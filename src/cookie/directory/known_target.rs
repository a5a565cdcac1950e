use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::cookie::{Availability, Cookie, Presence, Sequence, Target};

/// A target as it was read last.
#[derive(Debug, Clone)]
pub(super) struct KnownTarget {
    pub(super) target: Arc<Target>,
    pub(super) cookie: Cookie,
    pub(super) presence: Presence,
    pub(super) warm_at: Instant,
    /// When the target was found to have ended.
    pub(super) ended_at: Option<Instant>,
    /// The number of the last change.
    pub(super) last_change: Sequence,
}

impl KnownTarget {
    /// Notes that the entry is missing in a read. Returns whether that changes anything.
    pub(super) fn record_missing(&mut self, now: Instant, may_return: bool) -> bool {
        let is_leaving = self.target.availability == Availability::Draining;
        let former = self.presence;
        match self.presence {
            Presence::Gone => {}
            Presence::Present | Presence::Lapsed if may_return && !is_leaving => {
                self.presence = Presence::Lapsed;
            }
            Presence::Present | Presence::Lapsed => self.mark_ended(now),
        }
        self.presence != former
    }

    pub(super) fn mark_ended(&mut self, now: Instant) {
        self.presence = Presence::Gone;
        self.ended_at = Some(now);
    }

    /// Returns whether packets of its flows may still come, up to `memory` after its end.
    pub(super) fn is_retained(&self, now: Instant, memory: Duration) -> bool {
        self.ended_at.is_none_or(|ended| now.saturating_duration_since(ended) < memory)
    }
}
