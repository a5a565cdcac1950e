use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::cookie::{Availability, Cookie, Presence, Sequence, Target};

/// A target as it was last read, with the state that the directory derives from its reads.
#[derive(Debug, Clone)]
pub(super) struct KnownTarget {
    pub(super) target: Arc<Target>,
    pub(super) cookie: Cookie,
    pub(super) presence: Presence,
    /// When the target stops being cold, according to its own entry.
    pub(super) warm_at: Instant,
    /// When the daemon noticed that the target has ended.
    pub(super) ended_at: Option<Instant>,
    /// A time until which the target certainly ran; `None` while its entry is present.
    pub(super) ran_until: Option<Instant>,
    /// The number of the target's last change.
    pub(super) last_change: Sequence,
}

impl KnownTarget {
    /// Records that the target's entry is missing in a read. With `may_return`, the target counts
    /// as lapsed, unless it was draining; otherwise it has ended. Returns whether its presence
    /// changes.
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

    /// Returns whether the target is running or ended less than `retention` ago, so that packets of
    /// its flows may still arrive.
    pub(super) fn is_retained(&self, now: Instant, retention: Duration) -> bool {
        self.ended_at.is_none_or(|ended| now.saturating_duration_since(ended) < retention)
    }
}
