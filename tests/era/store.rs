use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::cookie::{
    Change, Config, EntryChange, Listing, ListingUpdate, OperatorState, Revision, Target,
};

use crate::cookies::config;

/// The state of the store at one revision.
#[derive(Debug, Clone)]
struct State {
    at: Instant,
    /// The entries by target number. The era of their revisions has no meaning.
    entries: BTreeMap<u64, Target>,
    zones_out: BTreeSet<Arc<str>>,
    /// The version and the revision number of the configuration.
    config: (u64, u64),
}

/// The store with its history, from which it may return to an earlier state.
pub(crate) struct Store {
    era: u64,
    states: Vec<State>,
}

impl Store {
    pub(crate) fn new(now: Instant) -> Store {
        let state =
            State { at: now, entries: BTreeMap::new(), zones_out: BTreeSet::new(), config: (1, 0) };
        Store { era: 0, states: vec![state] }
    }

    pub(crate) fn revision(&self) -> Revision {
        Revision { era: self.era, number: self.states.len() as u64 - 1 }
    }

    fn latest(&self) -> &State {
        &self.states[self.states.len() - 1]
    }

    fn change(&mut self, now: Instant, change: impl FnOnce(&mut State, u64)) {
        let mut state = State { at: now, ..self.latest().clone() };
        change(&mut state, self.states.len() as u64);
        self.states.push(state);
    }

    pub(crate) fn entry(&self, number: u64) -> Option<&Target> {
        self.latest().entries.get(&number)
    }

    pub(crate) fn entries(&self) -> impl Iterator<Item = &Target> {
        self.latest().entries.values()
    }

    pub(crate) fn version(&self) -> u64 {
        self.latest().config.0
    }

    pub(crate) fn zones_out(&self) -> &BTreeSet<Arc<str>> {
        &self.latest().zones_out
    }

    pub(crate) fn write(&mut self, now: Instant, target: Target) {
        self.change(now, |state, number| {
            let revision = number.into();
            state.entries.insert(target.number, Target { revision, ..target });
        });
    }

    pub(crate) fn remove(&mut self, now: Instant, number: u64) {
        self.change(now, |state, _| drop(state.entries.remove(&number)));
    }

    pub(crate) fn publish(&mut self, now: Instant, version: u64) {
        self.change(now, |state, number| state.config = (version, number));
    }

    pub(crate) fn set_zones_out(&mut self, now: Instant, zones_out: &BTreeSet<Arc<str>>) {
        for zone in zones_out.symmetric_difference(&self.latest().zones_out.clone()) {
            self.change(now, |state, _| {
                if !state.zones_out.remove(zone) {
                    state.zones_out.insert(zone.clone());
                }
            });
        }
    }

    /// Returns to the state of `age` ago, in the next era.
    pub(crate) fn return_from_copy(&mut self, now: Instant, age: Duration) {
        let is_lost = |state: &&State| now.saturating_duration_since(state.at) < age;
        let kept = self.states.iter().take_while(|state| !is_lost(state)).count();
        self.states.truncate(kept.max(1));
        self.era += 1;
    }

    fn in_era(&self, target: &Target) -> Target {
        let revision = Revision { era: self.era, number: target.revision.number };
        Target { revision, ..target.clone() }
    }

    pub(crate) fn listing(&self) -> Listing {
        let targets = self.entries().map(|target| self.in_era(target)).collect();
        Listing { revision: self.revision(), targets, ..Listing::default() }
    }

    /// Returns the changes after a revision, or `None` if the store does not have it.
    fn changes_after(&self, after: Revision) -> Option<impl Iterator<Item = (u64, [&State; 2])>> {
        let is_known = after.era == self.era && after.number < self.states.len() as u64;
        is_known.then(|| {
            (after.number + 1..self.states.len() as u64).map(|number| {
                (number, [number - 1, number].map(|number| &self.states[number as usize]))
            })
        })
    }

    pub(crate) fn update(&self, after: Revision) -> Option<ListingUpdate> {
        let mut changes = Vec::new();
        for (number, [former, state]) in self.changes_after(after)? {
            let revision = Revision { era: self.era, number };
            let written = state.entries.values().find(|entry| entry.revision.number == number);
            changes.extend(written.map(|entry| EntryChange::Written(self.in_era(entry))));
            let mut former = former.entries.values();
            let removed = former.find(|entry| !state.entries.contains_key(&entry.number));
            changes.extend(
                removed.map(|entry| EntryChange::Removed { name: entry.name.clone(), revision }),
            );
        }
        Some(ListingUpdate { revision: self.revision(), changes })
    }

    fn config(&self, (version, number): (u64, u64)) -> Arc<Config> {
        let revision = Revision { era: self.era, number };
        Arc::new(Config { revision, ..config(version, 0.0) })
    }

    pub(crate) fn operator_state(&self) -> OperatorState {
        OperatorState {
            revision: self.revision(),
            config: Some(self.config(self.latest().config)),
            zones_out: self.latest().zones_out.iter().cloned().collect(),
            ..OperatorState::default()
        }
    }

    pub(crate) fn operator_changes(&self, after: Revision) -> Option<Vec<(Revision, Change)>> {
        let mut changes = Vec::new();
        for (number, [former, state]) in self.changes_after(after)? {
            let revision = Revision { era: self.era, number };
            if former.config != state.config {
                changes.push((revision, Change::Config(self.config(state.config))));
            }
            let zones = state.zones_out.difference(&former.zones_out);
            changes.extend(zones.map(|zone| (revision, Change::ZoneOut(zone.clone()))));
            let zones = former.zones_out.difference(&state.zones_out);
            changes.extend(zones.map(|zone| (revision, Change::ZoneBack(zone.clone(), revision))));
        }
        Some(changes)
    }
}
