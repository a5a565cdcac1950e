mod delta;
mod era;
mod known_target;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::cookie::{
    Availability, Change, Config, Entry, EntryChange, Listing, ListingUpdate, OperatorState,
    Presence, Revision, Sequence, Target, Tuning, Version, View, ZonesOut,
    directory::{era::EraStart, known_target::KnownTarget},
    hash::cookie,
    store_health::StoreHealth,
    view::{Index, Successor, is_usable},
};

/// The outcome of applying a read or a delta.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The data was ignored, since the directory has newer data or the data does not suffice.
    Ignored,
    /// The data was applied and contains no change since the last read.
    Same,
    /// The data was applied.
    New,
}

/// The configuration, the zones out of service and the targets that a daemon has read.
///
/// Configurations, zones and targets each carry the store's revision, so that an older read never
/// replaces newer data. A read of a later era replaces the data of the former one as a whole; the
/// data that only the former era held stays in use while its writers may write it again.
#[derive(Debug, Clone)]
pub struct Directory {
    tuning: Tuning,
    config: Option<Arc<Config>>,
    confirmed_at: Option<Instant>,
    /// The store's revision up to which all changes of operators have been applied.
    operator_revision: Revision,
    zones_out: BTreeSet<Arc<str>>,
    /// The store's revision at the last read of the zones out of service. It is higher than
    /// `operator_revision` if they were read without the configuration since.
    zones_revision: Revision,
    /// The zones that returned to service, with the store's revision and the time of their return.
    zones_back: BTreeMap<Arc<str>, (Revision, Instant)>,
    /// The zones out of service whose items the store has not shown since it returned from a copy,
    /// with the time until which they stay out.
    unconfirmed_zones: BTreeMap<Arc<str>, Instant>,
    /// The version of the store's configuration, if it is lower than that of the one in force.
    withheld_version: Option<Version>,
    targets: BTreeMap<Arc<str>, KnownTarget>,
    /// The entries that may have been removed before the store returned from a copy.
    restored_targets: BTreeMap<Arc<str>, Target>,
    /// The first read of the present era; `None` if it is the era of the first read of all.
    era_start: Option<EraStart>,
    /// Whether the targets have to be listed; see [`View::is_listing_due`].
    is_listing_due: bool,
    /// Targets that were replaced by a later start under the same id.
    replaced_targets: Vec<KnownTarget>,
    former_services: Arc<HashMap<SocketAddrV4, Vec<Arc<str>>>>,
    /// When the first configuration was read.
    configured_at: Option<Instant>,
    revision: Revision,
    read_at: Option<Instant>,
    /// When the targets were first read.
    first_read_at: Option<Instant>,
    /// When the targets were last read while the store had been available for
    /// [`Tuning::lapse_grace`], so that the targets had written their entries.
    settled_read_at: Option<Instant>,
    store_health: StoreHealth,
    /// The number of the last change of the directory.
    sequence: Sequence,
    /// The revision of the last change of operators that was applied. `operator_revision` also
    /// grows with other changes of the store.
    last_operator_change: Revision,
    /// The highest change number among the targets that were removed from the directory. A delta
    /// for an earlier position needs an inventory.
    last_forgotten_change: Sequence,
    /// The cached index of the targets, and the number of the last change that it includes.
    index: Option<(Sequence, Arc<Index>)>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new(tuning: Tuning) -> Directory {
        Directory {
            tuning,
            config: None,
            confirmed_at: None,
            operator_revision: Revision::default(),
            zones_out: BTreeSet::new(),
            zones_revision: Revision::default(),
            zones_back: BTreeMap::new(),
            unconfirmed_zones: BTreeMap::new(),
            withheld_version: None,
            targets: BTreeMap::new(),
            restored_targets: BTreeMap::new(),
            era_start: None,
            is_listing_due: false,
            replaced_targets: Vec::new(),
            former_services: Arc::default(),
            configured_at: None,
            revision: Revision::default(),
            read_at: None,
            first_read_at: None,
            settled_read_at: None,
            store_health: StoreHealth::default(),
            sequence: 0,
            last_operator_change: Revision::default(),
            last_forgotten_change: 0,
            index: None,
        }
    }

    /// Records a time at which the store may have been unavailable to this daemon: a call failed or
    /// the process was paused. Until the store has been available for [`Tuning::settle_time`], a
    /// missing entry does not prove that its target has ended.
    pub fn record_failure(&mut self, now: Instant) {
        self.store_health.record_failure(now);
    }

    /// Records that this daemon no longer follows a zone reader. The store may have been unavailable
    /// since the last read of the zone reader, without a failed call of this daemon.
    pub fn record_following_ended(&mut self, now: Instant) {
        self.store_health.record_failure(now);
        self.request_listing(now);
    }

    /// Returns whether a missing store entry proves that its target has ended, since the store has
    /// been available for [`Tuning::settle_time`].
    pub fn is_absence_conclusive(&self, now: Instant) -> bool {
        self.store_health.is_stable(now, self.tuning.settle_time)
    }

    /// Records that the store confirmed the configuration as current.
    pub fn confirm_config(&mut self, now: Instant) {
        self.store_health.record_success(now);
        self.confirmed_at = self.confirmed_at.max(Some(now));
    }

    /// Applies a complete read of the operator state.
    pub fn apply_operator_state(&mut self, now: Instant, operator: &OperatorState) -> ApplyOutcome {
        if operator.revision < self.operator_revision {
            return ApplyOutcome::Ignored;
        }
        let is_same = operator.revision == self.operator_revision;
        let mut listed: BTreeSet<Arc<str>> = operator.zones_out.iter().cloned().collect();
        if operator.revision < self.zones_revision {
            // The zones have been read later than the rest.
            listed = self.confirmed_zones_out();
        }
        for (zone, _) in &operator.unconfirmed_zones {
            listed.remove(zone);
        }
        if operator.revision.era > self.operator_revision.era {
            self.restart_zone_grace(now, &listed);
            // Followers have to read the operators' items of the new era as well.
            self.record_operator_change(operator.revision);
        }
        self.operator_revision = operator.revision;
        if let Some(config) = &operator.config {
            self.set_config(now, config.clone());
        }
        self.unconfirmed_zones.retain(|zone, _| !listed.contains(zone));
        self.merge_unconfirmed_zones(now, operator);
        self.set_zones_out(now, operator.revision, listed);
        for (zone, since) in &operator.zones_back {
            if !self.zones_out.contains(zone) && !self.zones_back.contains_key(zone) {
                self.zones_back.insert(zone.clone(), (*since, now));
                self.sequence += 1;
            }
        }
        self.release_unconfirmed_zones();
        if is_same { ApplyOutcome::Same } else { ApplyOutcome::New }
    }

    /// Applies a read of the zones out of service without the configuration. A read of another era
    /// than the known state is ignored.
    pub fn apply_zones_out(&mut self, now: Instant, read: &ZonesOut) -> ApplyOutcome {
        let ZonesOut { revision, zones } = read;
        if !revision.follows(self.operator_revision) || *revision < self.zones_revision {
            return ApplyOutcome::Ignored;
        }
        let before = self.sequence;
        self.zones_revision = *revision;
        let listed: BTreeSet<Arc<str>> = zones.iter().cloned().collect();
        self.unconfirmed_zones.retain(|zone, _| !listed.contains(zone));
        self.set_zones_out(now, *revision, listed);
        if self.sequence == before { ApplyOutcome::Same } else { ApplyOutcome::New }
    }

    /// Takes the zones `listed`, which have items at `revision`, and those that wait for their items
    /// out of service, and returns the others to service.
    fn set_zones_out(&mut self, now: Instant, revision: Revision, listed: BTreeSet<Arc<str>>) {
        let mut zones = listed;
        zones.extend(self.unconfirmed_zones.keys().cloned());
        let back: Vec<Arc<str>> = self.zones_out.difference(&zones).cloned().collect();
        for zone in back {
            self.zones_back.insert(zone, (revision, now));
        }
        if self.zones_out != zones {
            self.zones_out = zones;
            self.record_operator_change(revision);
        }
    }

    /// Returns the zones out of service whose items the store has shown.
    fn confirmed_zones_out(&self) -> BTreeSet<Arc<str>> {
        let is_confirmed = |zone: &&Arc<str>| !self.unconfirmed_zones.contains_key(*zone);
        self.zones_out.iter().filter(is_confirmed).cloned().collect()
    }

    /// Applies one change that operators published at the store's revision `revision`. A change of
    /// another era than the known state is ignored.
    pub fn apply_change(
        &mut self,
        now: Instant,
        revision: Revision,
        change: Change,
    ) -> ApplyOutcome {
        if !revision.follows(self.operator_revision) {
            return ApplyOutcome::Ignored;
        }
        let is_known_zone = revision <= self.zones_revision;
        match change {
            Change::ZoneOut(_) | Change::ZoneBack(..) if is_known_zone => {}
            Change::Config(config) => self.set_config(now, config),
            Change::ZoneOut(zone) => {
                self.zones_back.remove(&zone);
                self.unconfirmed_zones.remove(&zone);
                if self.zones_out.insert(zone) {
                    self.record_operator_change(revision);
                }
            }
            Change::ZoneBack(zone, since) => {
                self.unconfirmed_zones.remove(&zone);
                if self.zones_out.remove(&zone) {
                    self.zones_back.insert(zone, (since, now));
                    self.record_operator_change(revision);
                }
            }
        }
        ApplyOutcome::New
    }

    /// Records that all changes of operators up to `revision` have been applied, if it is of the
    /// era of the known state.
    pub fn advance_operator_revision(&mut self, revision: Revision) {
        if revision.follows(self.operator_revision) {
            self.operator_revision = revision;
        }
        self.release_unconfirmed_zones();
    }

    /// Applies a complete read of the targets.
    pub fn apply_listing(&mut self, now: Instant, listing: Listing) -> ApplyOutcome {
        self.store_health.record_success(now);
        if listing.revision < self.revision {
            return ApplyOutcome::Ignored;
        }
        let is_same = listing.revision == self.revision && self.read_at.is_some();
        self.replace_targets(now, listing, &[]);
        self.is_listing_due = false;
        self.record_read(now, Some(now));
        if is_same { ApplyOutcome::Same } else { ApplyOutcome::New }
    }

    /// Applies the changes of the targets' entries since a revision that is not newer than the known
    /// one. An update without changes confirms the known targets. An update of another era than the
    /// known targets is ignored.
    pub fn apply_update(&mut self, now: Instant, update: ListingUpdate) -> ApplyOutcome {
        self.store_health.record_success(now);
        let is_continuation = update.revision.era == self.revision.era
            && update.revision.number >= self.revision.number;
        if self.read_at.is_none() || !is_continuation {
            return ApplyOutcome::Ignored;
        }
        let (before, known_revision) = (self.sequence, self.revision);
        self.revision = update.revision;
        let lapsed = self.targets.iter().filter(|(_, known)| known.presence == Presence::Lapsed);
        let mut missing: BTreeSet<Arc<str>> = lapsed.map(|(name, _)| name.clone()).collect();
        let mut unreadable: BTreeSet<Arc<str>> = BTreeSet::new();
        for change in update.changes {
            if change.revision() <= known_revision {
                continue;
            }
            self.restored_targets.remove(change.name());
            missing.remove(change.name());
            unreadable.remove(change.name());
            match change {
                EntryChange::Written(target) => self.insert_target(now, target),
                EntryChange::Unreadable { name, .. } => {
                    unreadable.insert(name);
                }
                EntryChange::Removed { name, .. } => {
                    missing.insert(name);
                }
            }
        }
        unreadable.iter().for_each(|name| self.record_unreadable(name));
        self.record_all_missing(now, missing);
        self.apply_restored(now);
        self.record_read(now, Some(now));
        if self.sequence == before { ApplyOutcome::Same } else { ApplyOutcome::New }
    }

    /// Records that the known targets were read at `read_at`.
    fn record_read(&mut self, now: Instant, read_at: Option<Instant>) {
        self.read_at = self.read_at.max(read_at);
        self.first_read_at.get_or_insert(now);
        if self.store_health.is_stable(now, self.tuning.lapse_grace) {
            self.settled_read_at = self.read_at;
        }
    }

    /// Returns a time until which each target whose entry is present certainly ran, if there is one.
    /// A target that is started again under its id writes its new entry some time later.
    fn present_ran_until(&self) -> Option<Instant> {
        self.settled_read_at?.checked_sub(self.tuning.lapse_grace)
    }

    /// Replaces the targets by those of a newer listing. The store does not contain the entries of
    /// the targets `lapsed`, which may still run.
    fn replace_targets(&mut self, now: Instant, listing: Listing, lapsed: &[Arc<str>]) {
        self.enter_era(now, listing.revision);
        self.revision = listing.revision;
        self.restored_targets.clear();
        let mut missing: BTreeSet<Arc<str>> = self.targets.keys().cloned().collect();
        for target in listing.targets {
            if lapsed.contains(&target.name) {
                missing.remove(&target.name);
                self.insert_lapsed(now, target);
                continue;
            }
            if self.is_restored(now, &target) {
                self.restored_targets.insert(target.name.clone(), target);
                continue;
            }
            missing.remove(&target.name);
            self.insert_target(now, target);
        }
        for name in &listing.unreadable {
            missing.remove(name);
            self.record_unreadable(name);
        }
        self.record_all_missing(now, missing);
    }

    /// Adds a target whose entry the store does not contain, unless it is known to have ended.
    fn insert_lapsed(&mut self, now: Instant, target: Target) {
        let has_ended = self.targets.get(&target.name).is_some_and(|known| {
            known.presence == Presence::Gone && known.target.born == target.born
        });
        if has_ended || self.is_restored(now, &target) {
            return;
        }
        let name = target.name.clone();
        self.insert_target(now, target);
        self.record_missing(now, &name, true);
    }

    /// Records that the entries of the targets `missing` are missing in a read of the store at the
    /// known revision.
    fn record_all_missing(&mut self, now: Instant, missing: BTreeSet<Arc<str>>) {
        let may_return = !self.store_health.is_stable(now, self.tuning.lapse_grace);
        for name in missing {
            // A draining target may remove its entry at any time, unless the store has lost it.
            let is_expected = self.targets.get(&name).is_some_and(|known| {
                known.target.availability == Availability::Draining
                    && known.era == self.revision.era
            });
            self.record_missing(now, &name, may_return && !is_expected);
        }
        self.forget_ended(now);
    }

    /// Records that the entry of a target is missing at the known revision; see
    /// [`KnownTarget::record_missing`].
    ///
    /// The pages of one read may show the store at different revisions, and the known revision is the
    /// lowest of them. An entry from a later page may be newer, and a read at the known revision then
    /// does not show whether it still exists.
    fn record_missing(&mut self, now: Instant, name: &str, may_return: bool) {
        let (revision, present_ran_until) = (self.revision, self.present_ran_until());
        if let Some(known) = self.targets.get_mut(name)
            && known.target.revision <= revision
            && known.record_missing(now, may_return)
        {
            known.ran_until = known.ran_until.or(present_ran_until);
            self.sequence += 1;
            known.last_change = self.sequence;
        }
    }

    /// Records that what the store contains in place of a target's entry cannot be decoded. Another
    /// writer may have written it, so a target that has not ended may still run.
    fn record_unreadable(&mut self, name: &str) {
        let (revision, present_ran_until) = (self.revision, self.present_ran_until());
        if let Some(known) = self.targets.get_mut(name)
            && known.target.revision <= revision
            && matches!(known.presence, Presence::Present | Presence::Lapsed)
        {
            known.presence = Presence::Unreadable;
            known.ran_until = known.ran_until.or(present_ran_until);
            self.sequence += 1;
            known.last_change = self.sequence;
        }
    }

    /// Removes the targets that ended so long ago that none of their flows can still be open.
    fn forget_ended(&mut self, now: Instant) {
        let retention = self.tuning.ended_target_retention;
        let (last_forgotten_change, sequence) =
            (&mut self.last_forgotten_change, &mut self.sequence);
        self.targets.retain(|_, known| {
            let is_kept = known.is_retained(now, retention);
            if !is_kept {
                *last_forgotten_change = known.last_change.max(*last_forgotten_change);
                *sequence += 1;
            }
            is_kept
        });
        let count = self.replaced_targets.len();
        self.replaced_targets.retain(|known| known.is_retained(now, retention));
        self.sequence += u64::from(self.replaced_targets.len() != count);
    }

    /// Records a change that operators published at `revision`.
    fn record_operator_change(&mut self, revision: Revision) {
        self.sequence += 1;
        self.last_operator_change = self.last_operator_change.max(revision);
    }

    /// Applies the state of another daemon, which read the targets `age` ago and to which the
    /// targets `lapsed` of the listing are lapsed.
    ///
    /// This does not affect whether the store counts as available to this daemon.
    pub fn apply_peer(
        &mut self,
        now: Instant,
        age: Duration,
        operator: &OperatorState,
        listing: Listing,
        lapsed: &[Arc<str>],
    ) -> ApplyOutcome {
        let applied = self.apply_operator_state(now, operator);
        let read_at = now.checked_sub(age);
        let is_older = read_at < self.read_at
            && self.read_at.is_some()
            && listing.revision.era == self.revision.era;
        if read_at.is_none() || is_older || listing.revision < self.revision {
            return applied;
        }
        self.replace_targets(now, listing, lapsed);
        self.request_listing(now);
        self.record_read(now, read_at);
        ApplyOutcome::New
    }

    /// Returns the time since the last read of the targets, if there was one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.read_at.map(|read_at| now.saturating_duration_since(read_at))
    }

    /// Returns the operator state, to be sent to another daemon.
    pub fn operator_state(&self, now: Instant) -> OperatorState {
        let services = self.config.iter().flat_map(|config| config.services.values());
        let cold_for = services.map(|service| service.cold_for).max().unwrap_or_default();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < cold_for;
        let zones_back = self.zones_back.iter().filter(|(_, (_, at))| is_recent(*at));
        let unconfirmed = self
            .unconfirmed_zones
            .iter()
            .map(|(zone, until)| (zone.clone(), until.saturating_duration_since(now)));
        OperatorState {
            revision: self.operator_revision,
            config: self.config.clone(),
            zones_out: self.zones_out.iter().cloned().collect(),
            unconfirmed_zones: unconfirmed.collect(),
            zones_back: zones_back.map(|(zone, (since, _))| (zone.clone(), *since)).collect(),
        }
    }

    /// Returns the targets that have not ended, to be sent to another daemon.
    pub fn listing(&self) -> Listing {
        let present = self.targets.values().filter(|known| known.presence != Presence::Gone);
        let targets = present.map(|known| (*known.target).clone()).collect();
        let unreadable = self.targets.iter().filter(|(_, t)| t.presence == Presence::Unreadable);
        let unreadable = unreadable.map(|(name, _)| name.clone()).collect();
        Listing { revision: self.revision, targets, unreadable }
    }

    /// Returns the ids of the lapsed targets in [`listing`](Directory::listing).
    pub fn lapsed(&self) -> Vec<Arc<str>> {
        let lapsed = self.targets.iter().filter(|(_, known)| known.presence == Presence::Lapsed);
        lapsed.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the store's revision at the last read of the targets.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the store's revision up to which all changes of operators have been applied.
    pub fn operator_revision(&self) -> Revision {
        self.operator_revision
    }

    /// Returns the version of the configuration in the store if it is not in force, since the store
    /// has returned from a copy that holds a lower version than the one in force.
    pub fn withheld_version(&self) -> Option<Version> {
        self.withheld_version
    }

    /// Returns a view of the current state.
    pub fn view(&mut self, now: Instant) -> View {
        let index = match &self.index {
            Some((sequence, index)) if *sequence == self.sequence => index.clone(),
            _ => Arc::new(self.build_index()),
        };
        self.index = Some((self.sequence, index.clone()));
        View {
            config: self.config.clone(),
            index,
            former_services: self.former_services.clone(),
            is_former_complete: self.configured_at.is_some_and(|at| {
                now.saturating_duration_since(at) >= self.tuning.ended_target_retention
            }),
            revision: self.revision,
            read_at: self.read_at,
            confirmed_at: self.confirmed_at,
            is_absence_conclusive: self.is_absence_conclusive(now) && self.has_settled(now),
            is_listing_due: self.is_listing_due,
        }
    }

    /// Returns whether this daemon has known targets for [`Tuning::settle_time`]. Before, the store may
    /// have been unavailable shortly before the first read, so that entries of running targets have
    /// expired and this daemon has never seen them.
    fn has_settled(&self, now: Instant) -> bool {
        let settle_time = self.tuning.settle_time;
        self.first_read_at.is_some_and(|at| now.saturating_duration_since(at) >= settle_time)
    }

    fn build_index(&self) -> Index {
        // If two starts of a target have the same cookie, the present one gets all packets.
        let has_own_cookie = |known: &&KnownTarget| {
            let present = self.targets.get(&known.target.name);
            present.is_none_or(|present| present.cookie != known.cookie)
        };
        let replaced = self.replaced_targets.iter().filter(has_own_cookie);
        let replaced = replaced.map(|known| (known, self.successor(known)));
        let mut all: Vec<(&KnownTarget, Option<Successor>)> =
            self.targets.values().map(|known| (known, None)).chain(replaced).collect();
        // If two targets have the same cookie, every daemon must choose the same one: the earlier.
        all.sort_by_key(|(known, _)| (known.target.born, known.target.number));
        let holders = self.address_holders();
        let mut index = Index::default();
        for (known, successor) in all {
            let KnownTarget { target, .. } = known;
            let is_displaced =
                holders.get(&target.address).is_some_and(|holder| holder.born > target.born);
            let presence = if is_displaced { Presence::Gone } else { known.presence };
            index.push(Entry {
                target: target.clone(),
                cookie: known.cookie,
                presence,
                warm_at: self.warm_at(known),
                is_usable: is_usable(target, presence, self.zones_out.contains(&target.zone)),
                successor,
            });
        }
        index
    }

    /// Returns the present start of a target that was started again under its id, unless the target
    /// has ended since.
    fn successor(&self, replaced: &KnownTarget) -> Option<Successor> {
        let present = self.targets.get(&replaced.target.name)?;
        (present.presence != Presence::Gone)
            .then_some(Successor { cookie: present.cookie, started_after: replaced.ran_until })
    }

    /// Returns the target that started last at each address. A target at the address of one that
    /// started later has ended, although its entry has not expired yet.
    fn address_holders(&self) -> HashMap<SocketAddrV4, &Target> {
        let mut holders: HashMap<SocketAddrV4, &Target> = HashMap::new();
        for known in self.targets.values() {
            let target = &*known.target;
            // An entry of an unknown service may be in error, so it displaces no target.
            let is_served = self
                .config
                .as_ref()
                .is_some_and(|config| config.services.contains_key(&target.service));
            if known.presence == Presence::Gone || !is_served {
                continue;
            }
            let holder = holders.entry(target.address).or_insert(target);
            if holder.born < target.born {
                *holder = target;
            }
        }
        holders
    }

    /// Returns when a target stops being cold. After its zone returned to service, a target is cold
    /// for the service's `cold_for`, unless its entry is newer than the return. Their order is not
    /// known if they are of different eras.
    fn warm_at(&self, known: &KnownTarget) -> Instant {
        let target = &known.target;
        let service = self.config.as_ref().and_then(|config| config.services.get(&target.service));
        match (self.zones_back.get(&target.zone), service) {
            (Some((since, at)), Some(service)) if !target.revision.follows(*since) => {
                known.warm_at.max(self.warm_after(*at, service.cold_for))
            }
            _ => known.warm_at,
        }
    }

    /// Returns when a target that is cold for `cold_for` from `start` on stops being cold. An entry, a
    /// configuration or another daemon may state any duration.
    fn warm_after(&self, start: Instant, cold_for: Duration) -> Instant {
        start.checked_add(cold_for.min(self.tuning.maximum_cold_time)).unwrap_or(start)
    }

    fn set_config(&mut self, now: Instant, config: Arc<Config>) {
        if let Some(held) = &self.config {
            if config.revision <= held.revision {
                return;
            }
            // Callers may depend on what the version in force has added, and operators write again
            // what the copy of the store lacks.
            if config.revision.era > held.revision.era && config.version < held.version {
                self.withheld_version = Some(config.version);
                return;
            }
        }
        self.withheld_version = None;
        let former_services = Arc::make_mut(&mut self.former_services);
        former_services.retain(|address, _| config.routes.contains_key(address));
        for (address, route) in &config.routes {
            let services = former_services.entry(*address).or_default();
            for share in &route.shares {
                if !services.contains(&share.service) {
                    services.push(share.service.clone());
                }
            }
        }
        self.configured_at.get_or_insert(now);
        self.record_operator_change(config.revision);
        self.config = Some(config);
    }

    fn insert_target(&mut self, now: Instant, mut target: Target) {
        let warm_at = self.warm_after(now, target.cold_for);
        let present_ran_until = self.present_ran_until();
        let is_written_in_era = self.is_written_in_era(&target);
        match self.targets.get_mut(&target.name) {
            Some(known) if known.target.born == target.born => {
                if target.revision < known.target.revision {
                    return;
                }
                let is_new_era = target.revision.era > known.target.revision.era;
                known.era = known.era.max(target.revision.era);
                if known.target.availability == Availability::Draining {
                    // A copy of the store may show the entry from before the target drained.
                    target.availability = Availability::Draining;
                }
                let is_unchanged = is_new_era
                    && known.presence == Presence::Present
                    && known.is_same_entry(&target);
                if is_unchanged {
                    return;
                }
                // An older entry of the copy says nothing about how long the target is cold now.
                if is_written_in_era || target.revision.number > known.target.revision.number {
                    known.warm_at = warm_at;
                }
                known.ended_at = None;
                known.ran_until = None;
                if known.presence != Presence::Present || *known.target != target {
                    known.presence = Presence::Present;
                    known.target = Arc::new(target);
                    self.sequence += 1;
                    known.last_change = self.sequence;
                }
            }
            other => {
                if let Some(known) = other {
                    if target.revision < known.target.revision {
                        return;
                    }
                    known.mark_ended(now);
                    known.ran_until = known.ran_until.or(present_ran_until);
                    self.replaced_targets.push(known.clone());
                }
                self.sequence += 1;
                let known = KnownTarget {
                    cookie: cookie(&target),
                    presence: Presence::Present,
                    warm_at,
                    era: target.revision.era,
                    ended_at: None,
                    ran_until: None,
                    last_change: self.sequence,
                    target: Arc::new(target),
                };
                self.targets.insert(known.target.name.clone(), known);
            }
        }
    }
}
