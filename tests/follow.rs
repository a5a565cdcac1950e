//! A daemon that follows another one must know the same, whatever happens to the targets and to the
//! store meanwhile.

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

/// The targets of the random runs.
const TARGETS: u64 = 6;

struct Pair {
    now: Instant,
    leader: Directory,
    follower: Directory,
    /// How far the follower has followed.
    since: Position,
    revision: u64,
    /// The entries in the store.
    stored: Vec<Target>,
}

impl Pair {
    fn new() -> Pair {
        let tuning = Tuning::default();
        let mut pair = Pair {
            now: Instant::now(),
            leader: Directory::new(tuning.clone()),
            follower: Directory::new(tuning),
            since: Position::Read(0),
            revision: 1,
            stored: Vec::new(),
        };
        pair.operate(1, Vec::new());
        pair
    }

    fn operate(&mut self, version: u64, zones_out: Vec<Arc<str>>) {
        self.revision += 1;
        let mut config = config(version, 0.0);
        config.revision = self.revision;
        let config = Some(Arc::new(config));
        let operator = OperatorState {
            revision: self.revision,
            config,
            zones_out,
            ..OperatorState::default()
        };
        self.leader.confirm_config(self.now);
        self.leader.apply_operator_state(self.now, &operator);
    }

    fn list(&mut self, targets: Vec<Target>) {
        self.revision += 1;
        self.stored = targets.clone();
        self.leader.apply_listing(self.now, Listing { revision: self.revision, targets });
    }

    /// Lets the follower read the store, as it does before it follows.
    fn read(&mut self) {
        let listing = Listing { revision: self.revision, targets: self.stored.clone() };
        self.follower.apply_listing(self.now, listing);
        self.since = Position::Read(self.revision);
    }

    /// Sends what has changed, as text, as it goes from daemon to daemon.
    fn follow(&mut self) -> ApplyOutcome {
        let delta = self.leader.delta(self.now, self.since);
        let text = serde_json::to_string(&delta).expect("it can be encoded");
        let delta: Delta = serde_json::from_str(&text).expect("it can be decoded");
        let sequence = delta.sequence;
        let applied = self.follower.apply_delta(self.now, delta);
        if applied != ApplyOutcome::Ignored {
            self.since = Position::Followed(sequence);
        }
        applied
    }

    fn views(&mut self) -> (View, View) {
        (self.leader.view(self.now), self.follower.view(self.now))
    }
}

/// Returns what matters of the targets that have not ended.
fn left(view: &View) -> BTreeMap<Cookie, (Presence, Availability)> {
    let entries = view.entries().iter().filter(|entry| entry.presence != Presence::Gone);
    entries.map(|entry| (entry.cookie, (entry.presence, entry.target.availability))).collect()
}

/// Guards against changes that get lost between two daemons: targets come, drain, lapse, end and
/// start again, zones go out of service, the store fails, and the follower misses deltas or begins
/// anew.
#[test]
fn follower_knows_what_the_followed_daemon_knows() {
    for seed in 0..200 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut pair = Pair::new();
        pair.list(Vec::new());
        pair.read();
        let mut all: BTreeMap<u64, Target> = BTreeMap::new();
        for step in 0..120 {
            pair.now += ms(random.random_range(100..900));
            let number = random.random_range(1..=TARGETS);
            match random.random_range(0..10) {
                0..=2 => {
                    let mut new = target(number, "web", HOME);
                    new.revision = pair.revision + 1;
                    new.born = 1000 + step;
                    all.insert(number, new);
                }
                3 => {
                    if let Some(target) = all.get_mut(&number) {
                        target.availability = Availability::Draining;
                        target.revision = pair.revision + 1;
                    }
                }
                4 => drop(all.remove(&number)),
                5 => pair.leader.record_failure(pair.now),
                6 if step % 3 == 0 => pair.operate(step, vec![HOME.into()]),
                6 => pair.operate(step, Vec::new()),
                7 => pair.now += Duration::from_secs(5),
                8 => pair.read(),
                _ => {}
            }
            pair.list(all.values().cloned().collect());
            if random.random_bool(0.6) {
                if pair.follow() == ApplyOutcome::Ignored {
                    // While the store is in doubt, a daemon that begins to follow reads itself.
                    assert!(
                        !pair.leader.is_absence_conclusive(pair.now)
                            || !pair.follower.is_absence_conclusive(pair.now)
                    );
                    pair.read();
                    continue;
                }
                let (leader, follower) = pair.views();
                assert_eq!(left(&leader), left(&follower), "seed {seed}, step {step}");
                assert_eq!(leader.revision, follower.revision);
                assert!(leader.is_absence_conclusive || !follower.is_absence_conclusive);
            }
        }
    }
}

/// Guards against control traffic that grows with the targets: what both know is not sent, and while
/// nothing changes, nothing is.
#[test]
fn only_changes_are_sent() {
    let mut pair = Pair::new();
    pair.list(targets("web", 50, 50));
    pair.read();
    let first = pair.leader.delta(pair.now, pair.since);
    assert!(first.written.is_empty());
    assert_eq!(first.inventory.map(|inventory| inventory.len()), Some(100));
    assert_ne!(pair.follow(), ApplyOutcome::Ignored);
    pair.now += ms(500);
    pair.list(targets("web", 50, 50));
    let delta = pair.leader.delta(pair.now, pair.since);
    assert!(delta.written.is_empty() && delta.inventory.is_none());
    assert_eq!(pair.follow(), ApplyOutcome::Same);
    let mut changed = targets("web", 50, 50);
    changed[7].availability = Availability::Draining;
    changed[7].revision = 9;
    pair.list(changed);
    assert_eq!(pair.leader.delta(pair.now, pair.since).written.len(), 1);
}

/// The pattern: a configuration of hundreds of kilobytes is published, and a daemon with a link of
/// 10 Mbit/s tells all daemons of its zone. Guards against packets that wait behind it for so long that
/// their callers repeat them.
#[test]
fn large_configurations_are_not_passed_on() {
    let mut pair = Pair::new();
    pair.list(targets("web", 3, 0));
    pair.read();
    pair.follow();
    let mut large = config(7, 0.0);
    let route = large.routes.values().next().expect("a route").clone();
    large.routes.extend((100..1500).map(|port| (service_address(port), route.clone())));
    pair.revision += 1;
    large.revision = pair.revision;
    let published = pair.revision;
    let change = Change::Config(Arc::new(large));
    assert_eq!(pair.leader.apply_change(pair.now, published, change), ApplyOutcome::New);
    let delta = pair.leader.delta(pair.now, pair.since);
    assert_eq!(delta.operator_change_revision, published);
    let bytes = serde_json::to_vec(&delta).expect("it can be encoded").len();
    assert!(bytes < 1000, "{bytes} bytes");
}

/// Guards against a target that stays in use because the daemon that was followed has forgotten its
/// end.
#[test]
fn follower_that_was_away_for_long_gets_an_inventory() {
    let mut pair = Pair::new();
    pair.list(targets("web", 3, 0));
    pair.read();
    pair.follow();
    pair.now += ms(500);
    pair.list(targets("web", 2, 0));
    // The end is forgotten when no flow can be left.
    pair.now += Duration::from_secs(70);
    pair.list(targets("web", 2, 0));
    assert!(pair.leader.delta(pair.now, pair.since).inventory.is_some());
    pair.follow();
    let (_, follower) = pair.views();
    assert_eq!(left(&follower).len(), 2);
}

/// Guards against a follower that misses targets without noticing.
#[test]
fn follower_that_lacks_targets_reads_them_itself() {
    let mut pair = Pair::new();
    pair.list(targets("web", 3, 0));
    pair.since = Position::Read(pair.revision);
    assert_eq!(pair.follow(), ApplyOutcome::Ignored);
    pair.read();
    assert_ne!(pair.follow(), ApplyOutcome::Ignored);
}

/// Guards against a followed daemon with an older view that takes back what was read since.
#[test]
fn nothing_older_is_followed() {
    let mut pair = Pair::new();
    pair.list(targets("web", 3, 0));
    let own = Listing { revision: pair.revision + 5, targets: targets("web", 4, 0) };
    pair.follower.apply_listing(pair.now, own);
    assert_eq!(pair.follow(), ApplyOutcome::Ignored);
    let (_, follower) = pair.views();
    assert_eq!(left(&follower).len(), 4);
}

/// Guards against missing entries that are taken for ended targets, since the follower itself has not
/// seen the store fail.
#[test]
fn doubt_about_missing_entries_is_passed_on() {
    let mut pair = Pair::new();
    pair.list(targets("web", 3, 0));
    pair.read();
    pair.follow();
    pair.now += ms(500);
    pair.leader.record_failure(pair.now);
    pair.list(targets("web", 2, 0));
    pair.follow();
    let (_, follower) = pair.views();
    assert!(!follower.is_absence_conclusive);
    assert_eq!(left(&follower).len(), 3, "one has lapsed");
}
