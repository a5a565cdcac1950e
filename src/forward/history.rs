use std::time::{Duration, Instant};

use crate::{
    flow::{SLOTS, Slot},
    member::{Owners, Ranking},
};

/// A former pair of owners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Former {
    pub(super) owners: Owners,
    /// When the members became owners, if this daemon was running then.
    pub(super) formed: Option<Instant>,
    pub(super) replaced: Instant,
}

/// The pairs of owners that each hash slot had, as this daemon saw it.
///
/// A flow's record is at both members of the pair under which it was placed. It is therefore
/// certain that no record exists if one member of each pair says so.
///
/// [`Ranking::former`] cannot serve for this. It has single members without the pair and the
/// time in which they owned, leaves out those that are owners again, and keeps at most six. With
/// these, a member that had not yet received the records of its pair would count as proof that
/// no record exists.
#[derive(Debug, Clone)]
pub(super) struct History {
    former: Vec<Vec<Former>>,
    formed: Vec<Option<Instant>>,
    changed: Vec<Option<Instant>>,
}

impl History {
    pub(super) fn new() -> History {
        History {
            former: vec![Vec::new(); usize::from(SLOTS)],
            formed: vec![None; usize::from(SLOTS)],
            changed: vec![None; usize::from(SLOTS)],
        }
    }

    /// Takes over the former owners that a ranking names, when it is the first one.
    pub(super) fn begin(&mut self, now: Instant, ranking: &Ranking) {
        for slot in 0..SLOTS {
            let at = usize::from(slot);
            self.changed[at] = Some(now);
            let former = ranking.previous_owners(slot).map(|owners| Former {
                owners,
                formed: None,
                replaced: now,
            });
            self.former[at] = former.into_iter().collect();
        }
    }

    /// Notes that the owners of `slot` have just been replaced.
    pub(super) fn replace(&mut self, now: Instant, slot: Slot, owners: Option<Owners>) {
        let slot = usize::from(slot);
        if let Some(owners) = owners {
            self.former[slot].push(Former { owners, formed: self.formed[slot], replaced: now });
        }
        self.formed[slot] = Some(now);
        self.changed[slot] = Some(now);
    }

    /// Forgets the pairs that were replaced longer than `age` ago.
    pub(super) fn prune(&mut self, now: Instant, age: Duration) {
        for former in &mut self.former {
            former.retain(|former| now.saturating_duration_since(former.replaced) <= age);
        }
    }

    /// Returns the former pairs of `slot`.
    pub(super) fn former(&self, slot: Slot) -> &[Former] {
        &self.former[usize::from(slot)]
    }

    /// Returns when the present owners of `slot` became owners, if that was seen.
    pub(super) fn formed(&self, slot: Slot) -> Option<Instant> {
        self.formed[usize::from(slot)]
    }

    /// Returns whether the owners of `slot` changed less than `period` ago.
    pub(super) fn is_unsettled(&self, now: Instant, slot: Slot, period: Duration) -> bool {
        self.changed[usize::from(slot)]
            .is_some_and(|changed| now.saturating_duration_since(changed) < period)
    }
}
