use std::time::{Duration, Instant};

use crate::{cookie::Revision, gateway::Consistency};

/// How long the revision of stale reads may stand still. Targets write every 1.2 s, and the stale
/// copy of the store catches up in steps.
const STANDSTILL: Duration = Duration::from_millis(1500);

/// The time between two linearizable reads while stale reads lag.
const FALLBACK_PERIOD: Duration = Duration::from_millis(1000);

/// Notices that stale reads have become older than usual.
#[derive(Debug, Clone, Default)]
pub struct Lag {
    newest: Revision,
    advanced_at: Option<Instant>,
    linearizable_at: Option<Instant>,
    is_lagging: bool,
}

impl Lag {
    /// Returns how the next read is made.
    pub fn next(&self, now: Instant) -> Consistency {
        let Some(advanced_at) = self.advanced_at else {
            return Consistency::Linearizable;
        };
        let is_still = now.saturating_duration_since(advanced_at) >= STANDSTILL;
        let is_due = self
            .linearizable_at
            .is_none_or(|at| now.saturating_duration_since(at) >= FALLBACK_PERIOD);
        if (is_still || self.is_lagging) && is_due {
            Consistency::Linearizable
        } else {
            Consistency::Stale
        }
    }

    /// Notes the revision of an answer.
    pub fn answered(&mut self, now: Instant, consistency: Consistency, revision: Revision) {
        match consistency {
            Consistency::Linearizable => self.linearizable_at = Some(now),
            Consistency::Stale => self.is_lagging = revision < self.newest,
        }
        if revision > self.newest || self.advanced_at.is_none() {
            self.newest = revision;
            self.advanced_at = Some(now);
        }
    }
}
