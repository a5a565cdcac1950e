//! A follower has the same targets as the zone reader that it follows, whatever happens to the
//! targets and to the store.

#![allow(dead_code)]

mod cookies;

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::cookie::{
    ApplyOutcome, Availability, Change, Cookie, Delta, Directory, Listing, OperatorState, Position,
    Presence, Target, Tuning, View,
};
use cookies::*;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// The number of targets in the random runs.
const TARGETS: u64 = 6;

/// A zone reader and a follower.
struct Pair {
    now: Instant,
    reader: Directory,
    follower: Directory,
    /// The follower's position in the changes of the reader.
    position: Position,
    revision: u64,
    /// The entries in the store.
    stored_targets: Vec<Target>,
}

impl Pair {
    fn new() -> Pair {
        let tuning = Tuning::default();
        let mut pair = Pair {
            now: Instant::now(),
            reader: Directory::new(tuning.clone()),
            follower: Directory::new(tuning),
            position: Position::Read(0.into()),
            revision: 1,
            stored_targets: Vec::new(),
        };
        pair.reader_reads_operator_state(1, Vec::new());
        pair
    }

    fn reader_reads_operator_state(&mut self, version: u64, zones_out: Vec<Arc<str>>) {
        self.revision += 1;
        let mut config = config(version, 0.0);
        config.revision = self.revision.into();
        let config = Some(Arc::new(config));
        let operator = OperatorState {
            revision: self.revision.into(),
            config,
            zones_out,
            ..OperatorState::default()
        };
        self.reader.confirm_config(self.now);
        self.reader.apply_operator_state(self.now, &operator);
    }

    fn reader_reads_targets(&mut self, targets: Vec<Target>) {
        self.revision += 1;
        self.stored_targets = targets.clone();
        self.reader.apply_listing(
            self.now,
            Listing { revision: self.revision.into(), targets, ..Listing::default() },
        );
    }

    /// Lets the follower read the store, as it does before it follows.
    fn follower_reads_store(&mut self) {
        let listing = Listing {
            revision: self.revision.into(),
            targets: self.stored_targets.clone(),
            ..Listing::default()
        };
        self.follower.apply_listing(self.now, listing);
        self.position = Position::Read(self.revision.into());
    }

    /// Sends the changes to the follower, encoded as JSON as between daemons.
    fn follow(&mut self) -> ApplyOutcome {
        let delta = self.reader.delta(self.now, self.position);
        let text = serde_json::to_string(&delta).expect("a delta can be encoded");
        let delta: Delta = serde_json::from_str(&text).expect("a delta can be decoded");
        let sequence = delta.sequence;
        let applied = self.follower.apply_delta(self.now, delta);
        if applied != ApplyOutcome::Ignored {
            self.position = Position::Followed(sequence);
        }
        applied
    }

    fn views(&mut self) -> (View, View) {
        (self.reader.view(self.now), self.follower.view(self.now))
    }
}

/// Returns the presence and the availability of the targets that have not ended.
fn remaining_targets(view: &View) -> BTreeMap<Cookie, (Presence, Availability)> {
    let entries = view.entries().iter().filter(|entry| entry.presence != Presence::Gone);
    entries.map(|entry| (entry.cookie, (entry.presence, entry.target.availability))).collect()
}

/// Guards against changes that are lost between two daemons: targets start, drain, lapse, end and
/// start again, zones go out of service, the store fails, and the follower misses deltas or reads
/// the store again.
#[test]
fn follower_has_the_targets_of_the_zone_reader() {
    for seed in 0..200 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut pair = Pair::new();
        pair.reader_reads_targets(Vec::new());
        pair.follower_reads_store();
        let mut all: BTreeMap<u64, Target> = BTreeMap::new();
        for step in 0..120 {
            pair.now += ms(random.random_range(100..900));
            let number = random.random_range(1..=TARGETS);
            match random.random_range(0..10) {
                0..=2 => {
                    let mut new = target(number, "web", OWN_ZONE);
                    new.revision = (pair.revision + 1).into();
                    new.born = 1000 + step;
                    all.insert(number, new);
                }
                3 => {
                    if let Some(target) = all.get_mut(&number) {
                        target.availability = Availability::Draining;
                        target.revision = (pair.revision + 1).into();
                    }
                }
                4 => drop(all.remove(&number)),
                5 => pair.reader.record_failure(pair.now),
                6 if step % 3 == 0 => pair.reader_reads_operator_state(step, vec![OWN_ZONE.into()]),
                6 => pair.reader_reads_operator_state(step, Vec::new()),
                7 => pair.now += Duration::from_secs(5),
                8 => pair.follower_reads_store(),
                _ => {}
            }
            pair.reader_reads_targets(all.values().cloned().collect());
            if random.random_bool(0.6) {
                if pair.follow() == ApplyOutcome::Ignored {
                    // A delta with an inventory is ignored while the reader or the follower is
                    // unsettled: a missing entry then does not prove that its target has ended. The
                    // follower reads the store itself.
                    assert!(
                        !pair.reader.is_absence_conclusive(pair.now)
                            || !pair.follower.is_absence_conclusive(pair.now)
                    );
                    pair.follower_reads_store();
                    continue;
                }
                let (reader, follower) = pair.views();
                assert_eq!(
                    remaining_targets(&reader),
                    remaining_targets(&follower),
                    "seed {seed}, step {step}"
                );
                assert_eq!(reader.revision, follower.revision);
                assert!(reader.is_absence_conclusive || !follower.is_absence_conclusive);
            }
        }
    }
}

/// Guards against control traffic that grows with the number of targets. Targets that both daemons
/// know are sent only by name and revision, in the inventory of the first delta, and later deltas
/// contain only changes.
#[test]
fn only_changes_are_sent() {
    let mut pair = Pair::new();
    pair.reader_reads_targets(targets("web", 50, 50));
    pair.follower_reads_store();
    let first = pair.reader.delta(pair.now, pair.position);
    assert!(first.written.is_empty());
    assert_eq!(first.inventory.map(|inventory| inventory.len()), Some(100));
    assert_ne!(pair.follow(), ApplyOutcome::Ignored);
    pair.now += ms(500);
    pair.reader_reads_targets(targets("web", 50, 50));
    let delta = pair.reader.delta(pair.now, pair.position);
    assert!(delta.written.is_empty() && delta.inventory.is_none());
    assert_eq!(pair.follow(), ApplyOutcome::Same);
    let mut changed = targets("web", 50, 50);
    changed[7].availability = Availability::Draining;
    changed[7].revision = 9.into();
    pair.reader_reads_targets(changed);
    assert_eq!(pair.reader.delta(pair.now, pair.position).written.len(), 1);
}

/// Guards against packets that wait so long in a queue that their callers retransmit them. Such
/// delays arise if a daemon with a link of 10 Mbit/s sends a configuration of hundreds of kilobytes
/// to all daemons of its zone.
#[test]
fn delta_contains_no_configuration() {
    let mut pair = Pair::new();
    pair.reader_reads_targets(targets("web", 3, 0));
    pair.follower_reads_store();
    pair.follow();
    let mut large = config(7, 0.0);
    let route = large.routes.values().next().expect("a route").clone();
    large.routes.extend((100..1500).map(|port| (service_address(port), route.clone())));
    pair.revision += 1;
    large.revision = pair.revision.into();
    let config_revision = pair.revision;
    let change = Change::Config(Arc::new(large));
    assert_eq!(
        pair.reader.apply_change(pair.now, config_revision.into(), change),
        ApplyOutcome::New
    );
    let delta = pair.reader.delta(pair.now, pair.position);
    assert_eq!(delta.operator_change_revision, config_revision.into());
    let bytes = serde_json::to_vec(&delta).expect("a delta can be encoded").len();
    assert!(bytes < 1000, "{bytes} bytes");
}

/// Guards against a follower that takes its configuration for current, and resets flows of a route
/// that a newer one adds, because the reader has confirmed the newer one.
#[test]
fn announced_configuration_is_confirmed_only_after_it_was_read() {
    let mut pair = Pair::new();
    pair.reader_reads_targets(targets("web", 3, 0));
    pair.follower_reads_store();
    pair.follow();
    let confirmed_at = |pair: &mut Pair| pair.views().1.confirmed_at;
    assert_eq!(confirmed_at(&mut pair), None, "no configuration was read");
    pair.now += ms(500);
    pair.reader_reads_operator_state(2, Vec::new());
    pair.follow();
    assert_eq!(confirmed_at(&mut pair), None, "the second configuration was not read");
    pair.follower.apply_operator_state(pair.now, &pair.reader.operator_state(pair.now));
    pair.follow();
    assert_eq!(confirmed_at(&mut pair), Some(pair.now));
}

/// Guards against an ended target that stays in use because the reader has forgotten its end by the
/// time the follower asks.
#[test]
fn follower_that_was_away_for_long_gets_an_inventory() {
    let mut pair = Pair::new();
    pair.reader_reads_targets(targets("web", 3, 0));
    pair.follower_reads_store();
    pair.follow();
    pair.now += ms(500);
    pair.reader_reads_targets(targets("web", 2, 0));
    // The reader forgets ended targets after `ended_target_retention` (60 s), when no flow of such
    // a target can be left.
    pair.now += Duration::from_secs(70);
    pair.reader_reads_targets(targets("web", 2, 0));
    assert!(pair.reader.delta(pair.now, pair.position).inventory.is_some());
    pair.follow();
    let (_, follower) = pair.views();
    assert_eq!(remaining_targets(&follower).len(), 2);
}

/// Guards against a follower that applies a delta although it lacks targets that the delta does not
/// contain.
#[test]
fn delta_is_ignored_if_the_follower_lacks_targets() {
    let mut pair = Pair::new();
    pair.reader_reads_targets(targets("web", 3, 0));
    // The follower claims a read of the store that it has not made, so the delta contains none of
    // the targets. `Old` means that the delta does not suffice and was ignored.
    pair.position = Position::Read(pair.revision.into());
    assert_eq!(pair.follow(), ApplyOutcome::Ignored);
    pair.follower_reads_store();
    assert_ne!(pair.follow(), ApplyOutcome::Ignored);
}

/// Guards against an older view of the reader that replaces what the follower has read since.
#[test]
fn older_delta_is_not_applied() {
    let mut pair = Pair::new();
    pair.reader_reads_targets(targets("web", 3, 0));
    let own = Listing {
        revision: (pair.revision + 5).into(),
        targets: targets("web", 4, 0),
        ..Listing::default()
    };
    pair.follower.apply_listing(pair.now, own);
    assert_eq!(pair.follow(), ApplyOutcome::Ignored);
    let (_, follower) = pair.views();
    assert_eq!(remaining_targets(&follower).len(), 4);
}

/// Guards against missing entries that are regarded as ended targets because only the reader, not
/// the follower, has seen the store fail.
#[test]
fn unsettled_store_is_reported_to_the_follower() {
    let mut pair = Pair::new();
    pair.reader_reads_targets(targets("web", 3, 0));
    pair.follower_reads_store();
    pair.follow();
    pair.now += ms(500);
    pair.reader.record_failure(pair.now);
    pair.reader_reads_targets(targets("web", 2, 0));
    pair.follow();
    let (_, follower) = pair.views();
    assert!(!follower.is_absence_conclusive);
    assert_eq!(
        remaining_targets(&follower).len(),
        3,
        "the missing target has lapsed and has not ended"
    );
}
