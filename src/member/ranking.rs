use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    flow::{SLOTS, Slot},
    member::{
        Id, Owners, Status, View,
        slot_owners::{SlotOwners, ZoneIndex},
    },
};

/// The time for which former owners are kept.
const FORMER_RETENTION: Duration = Duration::from_secs(600);

/// The maximum number of former owners kept for a hash slot. Each one is queried about an
/// unknown flow.
const MAX_FORMER: usize = 6;

/// The members that can be owners, ordered by id.
type Candidates = Vec<(Id, ZoneIndex)>;

/// A member that was an owner of a hash slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct FormerOwner {
    id: Id,
    /// The time at which the member stopped being an owner.
    owner_until: Instant,
}

/// The owners of every hash slot under one view.
///
/// The owners under the views of the last 10 minutes are kept as *former* owners, because they
/// may still hold flows that the current owners do not know.
///
/// [`Ranking::update`] computes only the hash slots that the join or loss of a member affects.
/// Each of n members owns 2/n of the hash slots, so the cost of one change does not grow with
/// n.
///
/// ```
/// use std::{collections::HashSet, time::Instant};
/// use banyanwharf::member::{Info, Member, Ranking, Status, View};
///
/// let now = Instant::now();
/// let mut view = View::new();
/// for (name, zone, port) in [("entry-1", "cerro", 7000), ("entry-2", "prado", 7001)] {
///     let info = Info {
///         name: name.into(),
///         region: "mvd".into(),
///         zone: zone.into(),
///         peer: ([127, 0, 0, 1], port).into(),
///         admin: ([127, 0, 0, 1], port + 100).into(),
///     };
///     view.insert(Member { info, incarnation: 1, status: Status::Alive, since: now });
/// }
/// let mut ranking = Ranking::new(&view, "mvd", &HashSet::new());
/// let owners = ranking.owners(7).expect("two members are alive");
/// view.remove(owners.primary);
/// assert!(ranking.update(now, &view, "mvd", &HashSet::new()));
/// assert_eq!(ranking.owners(7).map(|new| new.primary), owners.secondary);
/// assert_eq!(ranking.former_owner_ids(7).next(), Some(owners.primary));
/// assert_eq!(ranking.changed_at(7), Some(now));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Ranking {
    zones: Vec<Arc<str>>,
    candidates: Candidates,
    slots: Vec<Option<SlotOwners>>,
    changed_at: Vec<Option<Instant>>,
    /// The former owners by hash slot, newest first.
    former: Vec<Option<Arc<[FormerOwner]>>>,
    /// The owners before this daemon joined or under the previous ranking, by hash slot.
    previous: Option<Arc<[Option<Owners>]>>,
    leaving: Vec<Id>,
    left: HashSet<Id>,
    failed: HashSet<Id>,
}

impl Ranking {
    /// Computes the owners among the members of `region`.
    ///
    /// Owners are members that are alive and not in one of the evacuated zones `zones_out`. If
    /// there is none, owners are the leaving members and the alive members of evacuated zones.
    pub fn new(view: &View, region: &str, zones_out: &HashSet<Arc<str>>) -> Ranking {
        let mut ranking = Ranking::empty();
        ranking.candidates = ranking.select(view, None, region, zones_out);
        ranking.slots = ranking.rank_all();
        ranking.record_departures(view);
        ranking
    }

    /// Computes the owners in a daemon that has just joined as the member `own`.
    ///
    /// The members that owned the hash slots of `own` before the join become their former
    /// owners, and the owners of these slots count as changed at `now`. [`Ranking::new`] would
    /// report them as unchanged.
    pub fn after_join(
        now: Instant,
        view: &View,
        own: Id,
        region: &str,
        zones_out: &HashSet<Arc<str>>,
    ) -> Ranking {
        let mut ranking = Ranking::empty();
        ranking.candidates = ranking.select(view, Some(own), region, zones_out);
        ranking.slots = ranking.rank_all();
        let before = ranking
            .slots
            .iter()
            .map(|slot_owners| slot_owners.map(|slot_owners| slot_owners.owners));
        ranking.previous = Some(before.collect());
        ranking.update(now, view, region, zones_out);
        ranking
    }

    fn empty() -> Ranking {
        Ranking {
            zones: Vec::new(),
            candidates: Candidates::new(),
            slots: vec![None; usize::from(SLOTS)],
            changed_at: vec![None; usize::from(SLOTS)],
            former: vec![None; usize::from(SLOTS)],
            previous: None,
            leaving: Vec::new(),
            left: HashSet::new(),
            failed: HashSet::new(),
        }
    }

    /// Computes the owners again after a change of the view or of the evacuated zones, and
    /// removes expired former owners.
    ///
    /// Returns whether the ranking has changed.
    pub fn update(
        &mut self,
        now: Instant,
        view: &View,
        region: &str,
        zones_out: &HashSet<Arc<str>>,
    ) -> bool {
        let expired = self.expire(now) | self.record_departures(view);
        let candidates = self.select(view, None, region, zones_out);
        let old = std::mem::replace(&mut self.candidates, candidates);
        let lost = difference(&old, &self.candidates);
        let gained = difference(&self.candidates, &old);
        if lost.is_empty() && gained.is_empty() {
            return expired;
        }
        let slots = if 2 * (lost.len() + gained.len()) > self.candidates.len() {
            self.rank_all()
        } else {
            self.rank_changes(&lost, &gained)
        };
        for (slot, new) in slots.into_iter().enumerate() {
            self.set_owners(now, slot, new);
        }
        true
    }

    /// Returns the number of members that can be owners.
    pub fn candidate_count(&self) -> usize {
        self.candidates.len()
    }

    /// Returns the owners of `slot`, or `None` if no member can be an owner.
    pub fn owners(&self, slot: Slot) -> Option<Owners> {
        let slot_owners = self.slots.get(usize::from(slot)).copied().flatten()?;
        Some(slot_owners.owners)
    }

    /// Returns the former owners of `slot`, newest first, without the current owners.
    ///
    /// There are at most six. The method does not allocate.
    pub fn former_owner_ids(&self, slot: Slot) -> impl Iterator<Item = Id> {
        let present = self.owners(slot);
        let former = self.former.get(usize::from(slot)).and_then(Option::as_ref);
        former
            .into_iter()
            .flat_map(|former| former.iter())
            .map(|former| former.id)
            .filter(move |id| !present.is_some_and(|present| present.contains(*id)))
    }

    /// Returns the owners of `slot` before this daemon joined, or before the ranking that
    /// [`Ranking::with_previous`] was called with.
    ///
    /// Unlike [`Ranking::former_owner_ids`], it returns both owners of that time, even if one of
    /// them is still an owner.
    pub fn previous_owners(&self, slot: Slot) -> Option<Owners> {
        self.previous.as_ref()?.get(usize::from(slot)).copied().flatten()
    }

    /// Returns the members that have announced that they are about to stop.
    pub fn leaving(&self) -> &[Id] {
        &self.leaving
    }

    /// Returns whether a member has announced that it has stopped. Its flow records were copied
    /// to other members before.
    pub fn has_left(&self, id: Id) -> bool {
        self.left.contains(&id)
    }

    /// Returns the members that were declared failed.
    pub fn failed(&self) -> &HashSet<Id> {
        &self.failed
    }

    /// Returns whether a member is not known to have failed or left.
    pub fn is_present(&self, id: Id) -> bool {
        !self.failed.contains(&id) && !self.left.contains(&id)
    }

    /// Returns the time of the last change of the owners of `slot`, or `None` if they have not
    /// changed.
    pub fn changed_at(&self, slot: Slot) -> Option<Instant> {
        self.changed_at.get(usize::from(slot)).copied().flatten()
    }

    /// Adds the history of an older ranking: the owners of `previous` become the newest former
    /// owners of the slots whose owners differ, and its former owners are kept.
    pub fn with_previous(mut self, previous: &Ranking, now: Instant) -> Ranking {
        let before = previous
            .slots
            .iter()
            .map(|slot_owners| slot_owners.map(|slot_owners| slot_owners.owners));
        self.previous = Some(before.collect());
        let slots = std::mem::replace(&mut self.slots, previous.slots.clone());
        self.slots.resize(usize::from(SLOTS), None);
        self.changed_at.clone_from(&previous.changed_at);
        self.changed_at.resize(usize::from(SLOTS), None);
        self.former.clone_from(&previous.former);
        self.former.resize(usize::from(SLOTS), None);
        self.expire(now);
        for (slot, new) in slots.into_iter().enumerate() {
            self.set_owners(now, slot, new);
        }
        self
    }

    /// Returns the members that can be owners, ordered by id and without `except`.
    fn select(
        &mut self,
        view: &View,
        except: Option<Id>,
        region: &str,
        zones_out: &HashSet<Arc<str>>,
    ) -> Candidates {
        let mut candidates = Candidates::new();
        let mut fallback = Candidates::new();
        for (id, member) in view.iter() {
            if Some(id) == except || &*member.info.region != region {
                continue;
            }
            let zone = &member.info.zone;
            match member.status {
                Status::Alive if !zones_out.contains(zone) => {
                    candidates.push((id, self.zone_index(zone)));
                }
                Status::Alive | Status::Leaving => {
                    fallback.push((id, self.zone_index(zone)));
                }
                Status::Suspect | Status::Failed | Status::Left => {}
            }
        }
        if candidates.is_empty() { fallback } else { candidates }
    }

    /// Records which members are leaving, have left or have failed, and returns whether that has
    /// changed.
    fn record_departures(&mut self, view: &View) -> bool {
        let with = |status| {
            view.iter().filter(move |(_, member)| member.status == status).map(|(id, _)| id)
        };
        let leaving = with(Status::Leaving).collect();
        let left = with(Status::Left).collect();
        let failed = with(Status::Failed).collect();
        let changed = self.leaving != leaving || self.left != left || self.failed != failed;
        (self.leaving, self.left, self.failed) = (leaving, left, failed);
        changed
    }

    fn zone_index(&mut self, zone: &Arc<str>) -> ZoneIndex {
        let known = self.zones.iter().position(|known| Arc::ptr_eq(known, zone) || known == zone);
        let index = known.unwrap_or_else(|| {
            self.zones.push(zone.clone());
            self.zones.len() - 1
        });
        index as ZoneIndex
    }

    fn rank_all(&self) -> Vec<Option<SlotOwners>> {
        (0..SLOTS).map(|slot| SlotOwners::best_of(slot, &self.candidates)).collect()
    }

    /// Returns the owners of all slots after the candidates `lost` were removed and `gained` added.
    ///
    /// Only slots that a lost candidate owned are computed from all candidates.
    fn rank_changes(&self, lost: &Candidates, gained: &Candidates) -> Vec<Option<SlotOwners>> {
        let mut slots = self.slots.clone();
        if !lost.is_empty() {
            let kept = difference(&self.candidates, gained);
            let is_lost = |id| lost.binary_search_by_key(&id, |(id, _)| *id).is_ok();
            for (slot, slot_owners) in (0..SLOTS).zip(&mut slots) {
                let affected =
                    slot_owners.is_some_and(|slot_owners| slot_owners.owners.iter().any(is_lost));
                if affected {
                    *slot_owners = SlotOwners::best_of(slot, &kept);
                }
            }
        }
        for (slot, slot_owners) in (0..SLOTS).zip(&mut slots) {
            for (id, zone) in gained {
                *slot_owners = Some(SlotOwners::with_candidate(*slot_owners, slot, *id, *zone));
            }
        }
        slots
    }

    /// Sets the owners of a hash slot. Members that are no longer owners become former owners.
    fn set_owners(&mut self, now: Instant, slot: usize, new: Option<SlotOwners>) {
        let old = std::mem::replace(&mut self.slots[slot], new);
        let (old, new) = (old.map(|old| old.owners), new.map(|new| new.owners));
        if old == new {
            return;
        }
        self.changed_at[slot] = Some(now);
        let Some(old) = old else { return };
        let new_former: Vec<FormerOwner> = old
            .iter()
            .filter(|id| !new.is_some_and(|new| new.contains(*id)))
            .map(|id| FormerOwner { id, owner_until: now })
            .collect();
        if new_former.is_empty() {
            return;
        }
        let kept = self.former[slot].iter().flat_map(|former| former.iter());
        let kept = kept.filter(|former| !old.contains(former.id));
        let former = new_former.iter().chain(kept).take(MAX_FORMER).copied().collect();
        self.former[slot] = Some(former);
    }

    /// Removes expired former owners and returns whether there were any.
    fn expire(&mut self, now: Instant) -> bool {
        let mut expired = false;
        for slot in &mut self.former {
            let Some(former) = slot else { continue };
            let is_retained = |former: &&FormerOwner| {
                now.saturating_duration_since(former.owner_until) < FORMER_RETENTION
            };
            let count = former.iter().filter(is_retained).count();
            if count < former.len() {
                expired = true;
                *slot = (count > 0).then(|| former.iter().filter(is_retained).copied().collect());
            }
        }
        expired
    }
}

/// Returns the candidates in `a` that are not in `b`, or that have another zone there.
fn difference(a: &Candidates, b: &Candidates) -> Candidates {
    let mut b = b.iter().peekable();
    let mut only = Candidates::new();
    for candidate in a {
        while b.next_if(|other| other.0 < candidate.0).is_some() {}
        if b.peek() != Some(&candidate) {
            only.push(*candidate);
        }
    }
    only
}
