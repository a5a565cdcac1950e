use std::time::Instant;

use crate::{cookie::Revision, gateway::Consistency};

/// Notices that stale reads are older than something that is known to have changed.
///
/// Targets rewrite their entries only when something changes, so a revision that stands still says
/// nothing. The watch of what operators publish returns the store's revision every 2 s at no
/// further cost; a stale read below it misses a change.
#[derive(Debug, Clone, Default)]
pub struct ReadPolicy {
    last_read_at: Option<Instant>,
    is_behind: bool,
}

impl ReadPolicy {
    /// Returns how the next read is made.
    pub fn next_consistency(&self) -> Consistency {
        if self.last_read_at.is_none() || self.is_behind {
            Consistency::Linearizable
        } else {
            Consistency::Stale
        }
    }

    /// Notes that a read at `now` answered with `revision` while `known` was known.
    pub fn record_read(&mut self, now: Instant, revision: Revision, known: Revision) {
        self.last_read_at = Some(now);
        self.is_behind = revision < known;
    }
}
