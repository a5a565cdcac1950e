use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::cookie::{Cookie, Presence, Revision, Sequence, Target};

/// A target as it was last read, with the state that the directory derives from its reads.
#[derive(Debug, Clone)]
pub(super) struct KnownTarget {
    pub(super) target: Arc<Target>,
    pub(super) cookie: Cookie,
    pub(super) presence: Presence,
    /// The last era of the store in which the entry was read. The revision of an entry that the
    /// store holds unchanged in a later era stays that of the era in which it was written.
    pub(super) era: u64,
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
    /// as lapsed; otherwise it has ended. Returns whether its presence changes.
    pub(super) fn record_missing(&mut self, now: Instant, may_return: bool) -> bool {
        let former = self.presence;
        match self.presence {
            Presence::Gone => {}
            _ if may_return => self.presence = Presence::Lapsed,
            Presence::Present | Presence::Unreadable | Presence::Lapsed => self.mark_ended(now),
        }
        self.presence != former
    }

    /// Returns whether `target` is the known entry as the store shows it in another era.
    pub(super) fn is_same_entry(&self, target: &Target) -> bool {
        let Revision { era, .. } = self.target.revision;
        let revision = Revision { era, ..target.revision };
        *self.target == Target { revision, ..target.clone() }
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
