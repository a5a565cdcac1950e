use std::time::Instant;

use crate::{cookie::Revision, gateway::Consistency};

/// Chooses the consistency of each read of the targets.
///
/// Stale reads are cheaper, but may miss recent changes. Targets rewrite their entries only when
/// something changes, so an unchanged revision does not show whether a stale copy lags. The watch
/// of the operators' items returns the current revision of the store every 2.5 s at no further
/// cost. A stale read with a lower revision may have missed a change, and the next read is
/// linearizable.
#[derive(Debug, Clone, Default)]
pub struct ReadPolicy {
    /// When the targets were last read; `None` before the first read.
    last_read_at: Option<Instant>,
    /// Whether the last read had a lower revision than the watch.
    is_behind: bool,
}

impl ReadPolicy {
    /// Returns the consistency of the next read.
    pub fn next_consistency(&self) -> Consistency {
        if self.last_read_at.is_none() || self.is_behind {
            Consistency::Linearizable
        } else {
            Consistency::Stale
        }
    }

    /// Records that a read at `now` returned `revision`, and that `known` is the highest revision
    /// that the watch had returned.
    pub fn record_read(&mut self, now: Instant, revision: Revision, known: Revision) {
        self.last_read_at = Some(now);
        self.is_behind = revision < known;
    }
}
