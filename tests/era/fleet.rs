use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use banyanwharf::cookie::{
    ApplyOutcome, Change, Delta, Directory, Listing, ListingUpdate, OperatorState, Position,
    Presence, Revision, TargetNumber, Tuning,
};
use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;

use super::world::World;
use crate::cookies::ms;

/// The time within which a call has its response or has failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long after a target left a daemon may still place flows on it, from the last time on at which
/// the store was unavailable or missing entries did not count: the longest grace and the times of a
/// period and of a call.
const LONGEST_GRACE: Duration = Duration::from_secs(7);

/// A response of the store.
enum Response {
    Targets(Listing),
    Update(ListingUpdate),
    OperatorState(OperatorState),
    OperatorChanges(Revision, Vec<(Revision, Change)>),
    Failure,
}

/// A response on its way.
struct Delivery {
    sent_at: Instant,
    due_at: Instant,
    response: Response,
}

/// A daemon, which reads the store or follows the first daemon.
struct Daemon {
    directory: Directory,
    deliveries: Vec<Delivery>,
    next_read: Instant,
    is_following: bool,
    position: Option<Position>,
    revisions: [Revision; 2],
    version: u64,
    /// When a missing entry last did not prove the end of its target.
    unsettled_at: Instant,
    /// The starts of targets that this daemon has regarded as ended, as target numbers and times. Two
    /// starts of a target may have the same cookie.
    ended: HashSet<(TargetNumber, u64)>,
}

impl Daemon {
    fn new(now: Instant) -> Daemon {
        Daemon {
            directory: Directory::new(Tuning::default()),
            deliveries: Vec::new(),
            next_read: now,
            is_following: false,
            position: None,
            revisions: [Revision::default(); 2],
            version: 0,
            unsettled_at: now,
            ended: HashSet::new(),
        }
    }

    /// Calls the store for the targets, unless this daemon follows, and for the operators' items.
    fn call(&mut self, now: Instant, world: &World, random: &mut Pcg64Mcg) {
        let mut responses = Vec::new();
        if !world.is_available(now) {
            responses.push(Response::Failure);
        } else {
            if !self.is_following {
                let update = self
                    .directory
                    .age(now)
                    .and_then(|_| world.store.update(self.directory.revision()));
                responses.push(match update {
                    Some(update) if random.random_bool(0.9) => Response::Update(update),
                    _ => Response::Targets(world.store.listing()),
                });
            }
            let known = self.directory.operator_revision();
            let changes = world.store.operator_changes(known);
            responses.push(match changes {
                Some(changes) if random.random_bool(0.9) => {
                    Response::OperatorChanges(world.store.revision(), changes)
                }
                _ => Response::OperatorState(world.store.operator_state()),
            });
        }
        for response in responses {
            let is_late = random.random_bool(0.2);
            let delay =
                if is_late { random.random_range(0..6000) } else { random.random_range(0..300) };
            self.deliveries.push(Delivery { sent_at: now, due_at: now + ms(delay), response });
        }
    }

    fn deliver(&mut self, now: Instant) {
        let (due, rest) =
            std::mem::take(&mut self.deliveries).into_iter().partition(|d| d.due_at <= now);
        self.deliveries = rest;
        let due: Vec<Delivery> = due;
        for Delivery { sent_at, response, .. } in due {
            // A call that has timed out has no response, so a later one is of an older state.
            let is_late = now.saturating_duration_since(sent_at) > CALL_TIMEOUT;
            let directory = &mut self.directory;
            match response {
                Response::Targets(listing) => {
                    if !is_late || listing.revision < directory.revision() {
                        directory.apply_listing(now, listing);
                    }
                }
                Response::Update(update) => {
                    if !is_late || update.revision < directory.revision() {
                        directory.apply_update(now, update);
                    }
                }
                Response::OperatorState(operator) => {
                    if !is_late || operator.revision < directory.operator_revision() {
                        if operator.revision.era >= directory.operator_revision().era {
                            directory.confirm_config(now);
                        }
                        directory.apply_operator_state(now, &operator);
                    }
                }
                Response::OperatorChanges(revision, changes) => {
                    let is_older = revision < directory.operator_revision();
                    let is_same_era = revision.era == directory.operator_revision().era;
                    if !is_late && is_same_era {
                        directory.confirm_config(now);
                    }
                    if !is_late || is_older {
                        for (revision, change) in changes {
                            directory.apply_change(now, revision, change);
                        }
                        directory.advance_operator_revision(revision);
                    }
                }
                Response::Failure => directory.record_failure(now),
            }
        }
    }

    fn check(&mut self, now: Instant, world: &World, what: &str) {
        let view = self.directory.view(now);
        let revisions = [self.directory.revision(), self.directory.operator_revision()];
        assert!(
            revisions[0] >= self.revisions[0] && revisions[1] >= self.revisions[1],
            "{what}: {revisions:?} after {:?}",
            self.revisions
        );
        self.revisions = revisions;
        let version = view.version().unwrap_or(0);
        assert!(version >= self.version, "{what}: version {version} after {}", self.version);
        self.version = version;
        if !view.is_absence_conclusive {
            self.unsettled_at = now;
        }
        let settling = world.available_at.max(self.unsettled_at);
        for entry in view.entries() {
            let (target, runs) = (&entry.target, world.runs(&entry.target));
            let describe = || format!("{what}: {} born {}", target.name, target.born);
            if entry.presence == Presence::Gone {
                assert!(!runs, "{} runs and counts as ended", describe());
                self.ended.insert((target.number, target.born));
            }
            if !entry.is_usable {
                continue;
            }
            let has_ended = self.ended.contains(&(target.number, target.born));
            assert!(runs || !has_ended, "{} is used again", describe());
            let since = world.unusable_since(target).map(|since| since.max(settling));
            let lasted = since.map(|since| now.saturating_duration_since(since));
            assert!(lasted.is_none_or(|l| l <= LONGEST_GRACE), "{} used {lasted:?}", describe());
        }
    }
}

/// The daemons of a zone and their store. The second daemon often follows the first.
pub(crate) struct Fleet {
    seed: u64,
    steps: u64,
    now: Instant,
    world: World,
    daemons: Vec<Daemon>,
}

impl Fleet {
    pub(crate) fn new(seed: u64) -> Fleet {
        // The store has been available for long.
        let now = Instant::now() + Duration::from_secs(100);
        let daemons = (0..4).map(|_| Daemon::new(now)).collect();
        Fleet { seed, steps: 0, now, world: World::new(now), daemons }
    }

    /// Advances the time, with random changes and drills.
    pub(crate) fn step(&mut self, random: &mut Pcg64Mcg) {
        match random.random_range(0..100) {
            0..2 => self.world.return_from_copy(self.now, random),
            2..25 => self.world.change(self.now, random),
            25..28 => self.fetch_peer_state(random),
            28 => self.daemons[3] = Daemon::new(self.now),
            29 => {
                let follower = &mut self.daemons[1];
                follower.is_following = !follower.is_following;
                follower.position = None;
                follower.directory.record_failure(self.now);
            }
            _ => {}
        }
        self.advance(random);
    }

    fn fetch_peer_state(&mut self, random: &mut Pcg64Mcg) {
        let (from, to) = (random.random_range(0..4), random.random_range(0..4));
        let peer = &self.daemons[from].directory;
        let Some(age) = peer.age(self.now) else {
            return;
        };
        let (operator, listing) = (peer.operator_state(self.now), peer.listing());
        let lapsed = peer.lapsed();
        self.daemons[to].directory.apply_peer(self.now, age, &operator, listing, &lapsed);
    }

    fn advance(&mut self, random: &mut Pcg64Mcg) {
        self.steps += 1;
        self.now += ms(random.random_range(20..300));
        let now = self.now;
        self.world.advance(now);
        for daemon in &mut self.daemons {
            daemon.deliver(now);
            if now >= daemon.next_read {
                daemon.next_read = now + ms(random.random_range(300..700));
                daemon.call(now, &self.world, random);
            }
        }
        if self.daemons[1].is_following {
            self.follow();
        }
        let what = format!("seed {}, step {}", self.seed, self.steps);
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.check(now, &self.world, &format!("{what}, daemon {index}"));
        }
    }

    /// Sends the changes of the first daemon to the second, encoded as between daemons.
    fn follow(&mut self) {
        let [reader, follower, ..] = &mut self.daemons[..] else {
            return;
        };
        let position = follower.position.unwrap_or(Position::Read(follower.directory.revision()));
        let delta = reader.directory.delta(self.now, position);
        let is_fresh = delta.age.is_some_and(|age| age <= ms(1500));
        let text = serde_json::to_string(&delta).expect("a delta can be encoded");
        let delta: Delta = serde_json::from_str(&text).expect("a delta can be decoded");
        let sequence = delta.sequence;
        let is_applied =
            is_fresh && follower.directory.apply_delta(self.now, delta) != ApplyOutcome::Ignored;
        if is_applied {
            follower.position = Some(Position::Followed(sequence));
        } else {
            // A daemon that cannot follow reads the store.
            follower.is_following = false;
            follower.position = None;
            follower.directory.record_failure(self.now);
        }
    }

    /// Lets the time pass without changes, and checks that every directory equals the store.
    pub(crate) fn settle(&mut self, random: &mut Pcg64Mcg) {
        let until = self.now + Duration::from_secs(12);
        while self.now < until {
            self.advance(random);
        }
        let store = &self.world.store;
        let stored: Vec<_> = store.entries().map(|t| (t.number, t.born, t.availability)).collect();
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            let what = format!("seed {}, daemon {index}", self.seed);
            let view = daemon.directory.view(self.now);
            let left = view.entries().iter().filter(|entry| entry.presence != Presence::Gone);
            let mut left: Vec<_> = left
                .map(|entry| &entry.target)
                .map(|t| (t.number, t.born, t.availability))
                .collect();
            left.sort_unstable_by_key(|(number, ..)| *number);
            assert_eq!(left, stored, "{what}: targets");
            assert_eq!(view.version(), Some(store.version()), "{what}: version");
            let zones = daemon.directory.operator_state(self.now).zones_out;
            assert_eq!(zones, store.zones_out().iter().cloned().collect::<Vec<_>>(), "{what}");
            assert_eq!(daemon.directory.revision().era, store.revision().era, "{what}: era");
        }
    }
}
