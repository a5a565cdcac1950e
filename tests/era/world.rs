use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::cookie::{Availability, Target};
use rand::RngExt as _;
use rand_pcg::Pcg64Mcg;

use super::store::Store;
use crate::cookies::{OTHER_ZONE, OWN_ZONE, ms, target};

const TARGETS: u64 = 6;

/// The time between two heartbeats of a target, at which it repeats a lost entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// The time without a heartbeat after which an entry expires.
const LEASE: Duration = Duration::from_millis(3600);

/// A start of a target that runs.
#[derive(Debug)]
struct Start {
    entry: Target,
    next_heartbeat: Instant,
}

/// The store and what writes it: targets and operators.
pub(crate) struct World {
    pub(crate) store: Store,
    running: BTreeMap<u64, Start>,
    /// The last heartbeat of the targets that ended without removing their entries.
    crashed: BTreeMap<u64, Instant>,
    /// Since when starts must not get new flows, by target number and start.
    left_at: BTreeMap<(u64, u64), Instant>,
    zone_out_at: BTreeMap<Arc<str>, Instant>,
    version: u64,
    zones_out: BTreeSet<Arc<str>>,
    /// When operators next compare the store with what they have published.
    operators_check_at: Instant,
    /// Until when the store is unavailable.
    pub(crate) available_at: Instant,
    starts: u64,
}

impl World {
    pub(crate) fn new(now: Instant) -> World {
        World {
            store: Store::new(now),
            running: BTreeMap::new(),
            crashed: BTreeMap::new(),
            left_at: BTreeMap::new(),
            zone_out_at: BTreeMap::new(),
            version: 1,
            zones_out: BTreeSet::new(),
            operators_check_at: now,
            available_at: now,
            starts: 0,
        }
    }

    pub(crate) fn is_available(&self, now: Instant) -> bool {
        now >= self.available_at
    }

    /// Returns whether the start runs.
    pub(crate) fn runs(&self, target: &Target) -> bool {
        self.running.get(&target.number).is_some_and(|start| start.entry.born == target.born)
    }

    /// Returns since when the start must not get new flows, if it must not.
    pub(crate) fn unusable_since(&self, target: &Target) -> Option<Instant> {
        let left = self.left_at.get(&(target.number, target.born));
        left.or_else(|| self.zone_out_at.get(&target.zone)).copied()
    }

    /// Makes a random change.
    pub(crate) fn change(&mut self, now: Instant, random: &mut Pcg64Mcg) {
        if !self.is_available(now) {
            return;
        }
        let number = random.random_range(1..=TARGETS);
        match random.random_range(0..12) {
            0..=4 => self.start(now, number, random),
            5 | 6 => self.drain(now, number),
            7 | 8 => self.end(now, number, random.random_bool(0.5)),
            9 => {
                self.version += 1;
                self.store.publish(now, self.version);
            }
            _ => {
                let zone: Arc<str> =
                    if random.random_bool(0.5) { OWN_ZONE } else { OTHER_ZONE }.into();
                if self.zones_out.remove(&zone) {
                    self.zone_out_at.remove(&zone);
                } else {
                    self.zone_out_at.insert(zone.clone(), now);
                    self.zones_out.insert(zone);
                }
                self.store.set_zones_out(now, &self.zones_out);
            }
        }
    }

    fn start(&mut self, now: Instant, number: u64, random: &mut Pcg64Mcg) {
        self.starts += 1;
        if let Some(former) = self.running.remove(&number) {
            self.left_at.insert((number, former.entry.born), now);
        }
        let zone = if number.is_multiple_of(2) { OWN_ZONE } else { OTHER_ZONE };
        let entry = Target { born: self.starts, ..target(number, "web", zone) };
        self.crashed.remove(&number);
        self.store.write(now, entry.clone());
        let next_heartbeat = now + ms(random.random_range(0..1200));
        self.running.insert(number, Start { entry, next_heartbeat });
    }

    fn drain(&mut self, now: Instant, number: u64) {
        let Some(start) = self.running.get_mut(&number) else {
            return;
        };
        start.entry.availability = Availability::Draining;
        self.left_at.entry((number, start.entry.born)).or_insert(now);
        self.store.write(now, start.entry.clone());
    }

    fn end(&mut self, now: Instant, number: u64, is_orderly: bool) {
        let Some(start) = self.running.remove(&number) else {
            return;
        };
        self.left_at.entry((number, start.entry.born)).or_insert(now);
        if is_orderly && self.store.entry(number).is_some() {
            self.store.remove(now, number);
        }
        // A copy may show the entry again, and nobody removes it then.
        self.crashed.insert(number, now);
    }

    /// Lets the store return from a copy after an outage.
    pub(crate) fn return_from_copy(&mut self, now: Instant, random: &mut Pcg64Mcg) {
        if !self.is_available(now) {
            return;
        }
        self.store.return_from_copy(now, ms(random.random_range(0..6000)));
        self.available_at = now + ms(random.random_range(0..1000));
        self.operators_check_at = self.available_at + ms(random.random_range(0..2000));
        // The store counts the leases of the copy from its return.
        self.crashed.values_mut().for_each(|at| *at = self.available_at);
    }

    /// Lets targets and operators write what is not in the store, and entries expire.
    pub(crate) fn advance(&mut self, now: Instant) {
        if !self.is_available(now) {
            return;
        }
        for (number, start) in &mut self.running {
            if now < start.next_heartbeat {
                continue;
            }
            start.next_heartbeat = now + HEARTBEAT;
            let is_own = |stored: &Target| {
                stored.born == start.entry.born && stored.availability == start.entry.availability
            };
            if !self.store.entry(*number).is_some_and(is_own) {
                self.store.write(now, start.entry.clone());
            }
        }
        for (number, at) in &self.crashed {
            let is_expired = now.saturating_duration_since(*at) >= LEASE;
            if is_expired && self.store.entry(*number).is_some() {
                self.store.remove(now, *number);
            }
        }
        if now >= self.operators_check_at {
            self.operators_check_at = now + Duration::from_secs(2);
            if self.store.version() != self.version {
                self.store.publish(now, self.version);
            }
            self.store.set_zones_out(now, &self.zones_out);
        }
    }
}
