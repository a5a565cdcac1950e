use std::time::{Duration, Instant};

use crate::{
    flow::{SLOTS, Slot},
    member::{Owners, Ranking},
};

/// A former pair of owners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FormerPair {
    pub(super) owners: Owners,
    /// When the members became owners, if this daemon was running then.
    pub(super) formed_at: Option<Instant>,
    pub(super) replaced_at: Instant,
}

/// The pairs of owners that each hash slot has had in this daemon's view.
///
/// Both members of the pair under which a flow was placed hold the flow's record. It is therefore
/// certain that no record exists if one member of each pair holds none.
///
/// [`Ranking::former`] is not sufficient: it lists single members without their pair and the time
/// of their ownership, omits members that are owners again, and keeps at most six. A member that
/// had not yet received the records of its pair would then count as proof that no record exists.
#[derive(Debug, Clone)]
pub(super) struct OwnerHistory {
    /// The former pairs of each hash slot, oldest first.
    former: Vec<Vec<FormerPair>>,
    /// When the current owners of each hash slot became owners, if this daemon was running then.
    formed_at: Vec<Option<Instant>>,
    /// When the owners of each hash slot last changed or, before the first change, when this daemon
    /// received its first ranking.
    changed_at: Vec<Option<Instant>>,
}

impl OwnerHistory {
    pub(super) fn new() -> OwnerHistory {
        OwnerHistory {
            former: vec![Vec::new(); usize::from(SLOTS)],
            formed_at: vec![None; usize::from(SLOTS)],
            changed_at: vec![None; usize::from(SLOTS)],
        }
    }

    /// Initializes the history with the former owners in the first ranking.
    pub(super) fn begin(&mut self, now: Instant, ranking: &Ranking) {
        for slot in 0..SLOTS {
            let at = usize::from(slot);
            self.changed_at[at] = Some(now);
            let former = ranking.previous_owners(slot).map(|owners| FormerPair {
                owners,
                formed_at: None,
                replaced_at: now,
            });
            self.former[at] = former.into_iter().collect();
        }
    }

    /// Records that `owners` have just been replaced as the owners of `slot`.
    pub(super) fn replace(&mut self, now: Instant, slot: Slot, owners: Option<Owners>) {
        let slot = usize::from(slot);
        if let Some(owners) = owners {
            self.former[slot].push(FormerPair {
                owners,
                formed_at: self.formed_at[slot],
                replaced_at: now,
            });
        }
        self.formed_at[slot] = Some(now);
        self.changed_at[slot] = Some(now);
    }

    /// Removes the pairs that were replaced longer than `age` ago.
    pub(super) fn prune(&mut self, now: Instant, age: Duration) {
        for former in &mut self.former {
            former.retain(|former| now.saturating_duration_since(former.replaced_at) <= age);
        }
    }

    /// Returns the former pairs of owners of `slot`, oldest first.
    pub(super) fn former_pairs(&self, slot: Slot) -> &[FormerPair] {
        &self.former[usize::from(slot)]
    }

    /// Returns when the current owners of `slot` became owners, if this daemon saw it.
    pub(super) fn formed_at(&self, slot: Slot) -> Option<Instant> {
        self.formed_at[usize::from(slot)]
    }

    /// Returns whether the owners of `slot` changed less than `period` ago.
    pub(super) fn is_unsettled(&self, now: Instant, slot: Slot, period: Duration) -> bool {
        self.changed_at[usize::from(slot)]
            .is_some_and(|changed| now.saturating_duration_since(changed) < period)
    }
}
