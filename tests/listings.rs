//! Lists of targets whose pages show the store at different times, and the changes since, in random
//! histories of the store.

#![allow(dead_code)]

mod cookies;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use banyanwharf::cookie::{
    Directory, EntryChange, Listing, ListingUpdate, Presence, Target, Tuning,
};
use cookies::*;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// The ids of the targets, of which a page has the half.
const TARGETS: u64 = 8;

/// The store, with all of its former states.
struct History {
    /// The entries at each revision.
    states: Vec<BTreeMap<u64, Target>>,
}

impl History {
    fn new() -> History {
        History { states: vec![BTreeMap::new()] }
    }

    fn revision(&self) -> u64 {
        self.states.len() as u64 - 1
    }

    fn latest(&self) -> &BTreeMap<u64, Target> {
        &self.states[self.states.len() - 1]
    }

    /// Writes, replaces or removes the entry of a random target.
    fn change(&mut self, random: &mut Pcg64Mcg) {
        let revision = self.revision() + 1;
        let mut state = self.latest().clone();
        let number = random.random_range(1..=TARGETS);
        if random.random_bool(0.4) {
            state.remove(&number);
        } else {
            let born = state.get(&number).map_or(revision, |target| target.born);
            state.insert(
                number,
                Target { revision: revision.into(), born, ..target(number, "web", OWN_ZONE) },
            );
        }
        self.states.push(state);
    }

    /// Returns a list of two pages that show the store at these revisions.
    fn list(&self, pages: [u64; 2]) -> Listing {
        let targets = [(1..=TARGETS / 2), (TARGETS / 2 + 1..=TARGETS)]
            .into_iter()
            .zip(pages)
            .flat_map(|(numbers, revision)| {
                self.states[revision as usize].range(numbers).map(|(_, target)| target.clone())
            })
            .collect();
        Listing { revision: pages[0].min(pages[1]).into(), targets, ..Listing::default() }
    }

    /// Returns the changes after a revision.
    fn update(&self, after: u64) -> ListingUpdate {
        let changes = (after + 1..=self.revision()).map(|revision| {
            let [former, state] = [revision - 1, revision].map(|at| &self.states[at as usize]);
            let written = state.values().find(|target| target.revision == revision.into());
            let removed = former.values().find(|target| !state.contains_key(&target.number));
            match (written, removed) {
                (Some(target), _) => EntryChange::Written(target.clone()),
                (None, Some(target)) => {
                    EntryChange::Removed { name: target.name.clone(), revision: revision.into() }
                }
                // A target without an entry was removed.
                (None, None) => {
                    EntryChange::Removed { name: "none".into(), revision: revision.into() }
                }
            }
        });
        ListingUpdate { revision: self.revision().into(), changes: changes.collect() }
    }
}

/// Asserts that no target whose entry is in the store counts as ended.
fn assert_none_has_ended(history: &History, directory: &mut Directory, now: Instant, what: &str) {
    for entry in directory.view(now).entries() {
        let stored = history.latest().get(&entry.target.number);
        let runs = stored.is_some_and(|stored| stored.born == entry.target.born);
        assert!(
            !runs || entry.presence != Presence::Gone,
            "{what}: {} counts as ended",
            entry.target.name
        );
    }
}

/// Asserts that exactly the targets with an entry in the store are present.
fn assert_is_latest(history: &History, directory: &mut Directory, now: Instant, what: &str) {
    let view = directory.view(now);
    let present = view.entries().iter().filter(|entry| entry.presence == Presence::Present);
    let mut present: Vec<(u64, u64)> =
        present.map(|entry| (entry.target.number, entry.target.revision.number)).collect();
    present.sort_unstable();
    let stored: Vec<(u64, u64)> =
        history.latest().iter().map(|(number, target)| (*number, target.revision.number)).collect();
    assert_eq!(present, stored, "{what}: the latest state is not in force");
}

/// Guards against targets that count as ended, so that their open flows are reset, because they are
/// missing in a page that is older than their entries.
#[test]
fn pages_of_any_age_do_not_end_a_target() {
    for seed in 0..500 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut history = History::new();
        let mut directory = Directory::new(Tuning::default());
        let mut now = Instant::now();
        for step in 0..60 {
            now += Duration::from_millis(500);
            for _ in 0..random.random_range(0..3) {
                history.change(&mut random);
            }
            let oldest = history.revision().saturating_sub(6);
            let pages = [0; 2].map(|_| random.random_range(oldest..=history.revision()));
            directory.apply_listing(now, history.list(pages));
            assert_none_has_ended(
                &history,
                &mut directory,
                now,
                &format!("seed {seed}, step {step}"),
            );
        }
        directory.apply_listing(now, history.list([history.revision(); 2]));
        assert_is_latest(&history, &mut directory, now, &format!("seed {seed}"));
    }
}

/// Guards against changes that are lost, applied twice or applied to a newer state: after a list of
/// any age, the changes since its revision lead to the latest state, also if some of them are
/// already known.
#[test]
fn changes_since_a_list_of_any_age_lead_to_the_latest_state() {
    for seed in 0..500 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut history = History::new();
        let mut directory = Directory::new(Tuning::default());
        let mut now = Instant::now();
        for step in 0..60 {
            let what = format!("seed {seed}, step {step}");
            now += Duration::from_millis(500);
            for _ in 0..random.random_range(0..4) {
                history.change(&mut random);
            }
            let oldest = history.revision().saturating_sub(6);
            let pages = [0; 2].map(|_| random.random_range(oldest..=history.revision()));
            match random.random_range(0..10) {
                0 => {
                    directory.apply_listing(now, history.list(pages));
                    assert_none_has_ended(&history, &mut directory, now, &what);
                    continue;
                }
                1 => {
                    let mut listing = history.list(pages);
                    listing.apply(history.update(listing.revision.number));
                    directory.apply_listing(now, listing);
                }
                _ if directory.age(now).is_none() => continue,
                _ => {
                    let after =
                        directory.revision().number.saturating_sub(random.random_range(0..3));
                    directory.apply_update(now, history.update(after));
                }
            }
            assert_is_latest(&history, &mut directory, now, &what);
        }
    }
}
