use std::{collections::HashSet, sync::Arc, time::Instant};

use crate::{
    flow::{SLOTS, Slot},
    member::{Id, Status, View},
    util,
};

/// The two owners of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Owners {
    /// The member that decides for the slot's flows.
    pub primary: Id,
    /// The member that holds the second copy, in another zone if there is one.
    pub secondary: Option<Id>,
}

impl Owners {
    /// Returns whether `id` is one of the two owners.
    pub fn contains(&self, id: Id) -> bool {
        self.primary == id || self.secondary == Some(id)
    }
}

/// The owners of every slot under one view.
///
/// The owners of the views before it are kept as *former* owners, which may still hold flows
/// that the present owners have not heard of.
#[derive(Debug, Clone, Default)]
pub struct Ranking {
    owners: Vec<Option<Owners>>,
    former: Vec<Arc<[Option<Owners>]>>,
    leaving: Vec<Id>,
    left: HashSet<Id>,
    failed: HashSet<Id>,
}

impl Ranking {
    /// Ranks the members of `region`, avoiding the zones in `zones_out`.
    ///
    /// Members that are alive come first; leaving members and members of zones taken out are
    /// only ranked if there is no other.
    pub fn new(view: &View, region: &str, zones_out: &HashSet<Arc<str>>) -> Ranking {
        let mut candidates = Vec::new();
        let mut reserve = Vec::new();
        for (id, member) in view.iter() {
            if &*member.info.region != region {
                continue;
            }
            let entry = (id, &member.info.zone);
            match member.status {
                Status::Alive if !zones_out.contains(&member.info.zone) => candidates.push(entry),
                Status::Alive | Status::Leaving => reserve.push(entry),
                Status::Suspect | Status::Failed | Status::Left => {}
            }
        }
        if candidates.is_empty() {
            candidates = reserve;
        }
        let owners = (0..SLOTS).map(|slot| rank(slot, &candidates)).collect();
        let with = |status| {
            view.iter()
                .filter(move |(_, member)| member.status == status)
                .map(|(id, _)| id)
        };
        Ranking {
            owners,
            former: Vec::new(),
            leaving: with(Status::Leaving).collect(),
            left: with(Status::Left).collect(),
            failed: with(Status::Failed).collect(),
        }
    }

    /// Returns the owners of `slot`, or `None` if no member can be an owner.
    pub fn owners(&self, slot: Slot) -> Option<Owners> {
        self.owners.get(usize::from(slot)).copied().flatten()
    }

    /// Returns the former owners of `slot`, newest first, without the present ones.
    pub fn former(&self, slot: Slot) -> Vec<Id> {
        let mut ids: Vec<Id> = Vec::new();
        let present = self.owners(slot);
        for owners in &self.former {
            let Some(owners) = owners[usize::from(slot)] else {
                continue;
            };
            for id in [Some(owners.primary), owners.secondary]
                .into_iter()
                .flatten()
            {
                if !present.is_some_and(|present| present.contains(id)) && !ids.contains(&id) {
                    ids.push(id);
                }
            }
        }
        ids
    }

    /// Returns the former pairs of owners of `slot`, newest first.
    pub fn former_owners(&self, slot: Slot) -> impl Iterator<Item = Owners> {
        self.former
            .iter()
            .filter_map(move |owners| owners[usize::from(slot)])
    }

    /// Returns the members that are about to stop and still answer.
    pub fn leaving(&self) -> &[Id] {
        &self.leaving
    }

    /// Returns whether a member has stopped as planned, so its flows were copied.
    pub fn has_left(&self, id: Id) -> bool {
        self.left.contains(&id)
    }

    /// Returns the members that have failed and were not removed yet.
    pub fn failed(&self) -> &HashSet<Id> {
        &self.failed
    }

    /// Returns whether a member is not known to have failed or left.
    pub fn is_present(&self, id: Id) -> bool {
        !self.failed.contains(&id) && !self.left.contains(&id)
    }

    /// Makes the owners of `previous` the newest former owners of this ranking.
    pub fn after(mut self, previous: &Ranking, _now: Instant) -> Ranking {
        self.former = previous.former.clone();
        self.former.insert(0, previous.owners.clone().into());
        self
    }
}

fn rank(slot: Slot, candidates: &[(Id, &Arc<str>)]) -> Option<Owners> {
    let score = |id: Id| util::score(u64::from(slot), id);
    let (primary, zone) = candidates
        .iter()
        .copied()
        .max_by_key(|(id, _)| (score(*id), *id))?;
    let secondary = candidates
        .iter()
        .filter(|(id, _)| *id != primary)
        .max_by_key(|(id, other)| (*other != zone, score(*id), *id))
        .map(|(id, _)| *id);
    Some(Owners { primary, secondary })
}
