use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use hashbrown::{HashMap, HashSet};

use crate::cookie::{
    Cookie, Entry, View,
    work::{
        Answer, Pending, Report, Stage, average::Average, profile::Profile, route_cost::RouteCost,
        zone_load::ZoneLoad,
    },
};

/// The maximum number of routes whose cost is remembered.
const MAXIMUM_ROUTES: usize = 4096;

/// The cost of a route without answers, in seconds: in the order of the known request kinds.
const DEFAULT_COST: f64 = 0.02;

/// The round-trip time between zones until it is known, in seconds.
const DEFAULT_ZONE_DISTANCE: f64 = 0.002;

/// The weight of one answer in a target's delay factor. A daemon sees about one answer per second
/// of a target, so that two answers show most of a change.
const DELAY_WEIGHT: f64 = 0.4;

/// How long a target's delay factor is used unchanged, and how fast it decays then. A target that
/// was 5 times slower has a factor of 1.8 after 5 s without answers and is tried again.
const DELAY_HOLD: Duration = Duration::from_secs(1);
const DELAY_DECAY: Duration = Duration::from_secs(4);

/// The weight of one answer in the delay factor of targets without observations.
const BASE_WEIGHT: f64 = 0.005;

/// The weight of one opening in the round-trip time to a zone.
const ROUND_TRIP_WEIGHT: f64 = 0.1;

/// The limits of the delay factor of one answer, so that a single answer has a limited effect.
const MINIMUM_FACTOR: f64 = 0.1;
const MAXIMUM_FACTOR: f64 = 20.0;

/// The delay factor up to which a pending request is not conspicuous, relative to its target's.
const OVERDUE_FACTOR: f64 = 2.0;

/// The age up to which a pending request may be overdue. Its later packets may pass through another
/// daemon.
const MAXIMUM_OVERDUE_AGE: Duration = Duration::from_secs(3);

/// The age from which a pending request is not part of the backlog: longer than the queue of a slow
/// target takes.
const MAXIMUM_BACKLOG_AGE: Duration = Duration::from_secs(1);

/// How long a flow that is being opened counts as a pending request. Callers that fill a pool send
/// no request then.
const OPENING_LIFETIME: Duration = Duration::from_millis(100);

/// The weight of one second in the share of requests whose answers are seen.
const VISIBILITY_WEIGHT: f64 = 0.5;

/// The factor by which a target must differ from the others of its zone to be reported.
const REPORTED_FACTOR: f64 = 1.5;

/// How many times the usual time an answer may take if the next request acknowledges it. A full
/// queue takes about five times the work of a request; longer times are mostly pauses of callers.
const MAXIMUM_QUEUE_FACTOR: f64 = 5.0;

/// The maximum age of an observation that is reported.
const MAXIMUM_REPORT_AGE: Duration = Duration::from_secs(1);

/// What a daemon knows of one target.
#[derive(Debug, Clone)]
struct TargetDelay {
    factor: Average,
    zone: Arc<str>,
    service: Arc<str>,
}

/// Estimates what requests cost and how long targets take for them.
///
/// Its results only rank targets.
#[derive(Debug, Clone)]
pub struct Estimator {
    routes: HashMap<SocketAddrV4, RouteCost>,
    targets: HashMap<Cookie, TargetDelay>,
    /// The loads of zones by service and zone.
    zones: HashMap<Arc<str>, HashMap<Arc<str>, ZoneLoad>>,
    /// The round-trip times between callers and the targets of a zone, in seconds.
    round_trips: HashMap<Arc<str>, f64>,
    /// The usual delay factor of all targets over a longer time.
    base: Option<Average>,
    /// The share of the requests whose answers pass through this daemon.
    visibility: f64,
    /// The requests until the last sweep, and the answers since then.
    requests: u64,
    answers: u64,
}

impl Default for Estimator {
    fn default() -> Estimator {
        Estimator {
            routes: HashMap::new(),
            targets: HashMap::new(),
            zones: HashMap::new(),
            round_trips: HashMap::new(),
            base: None,
            visibility: 1.0,
            requests: 0,
            answers: 0,
        }
    }
}

impl Estimator {
    /// Records an answer of the target `entry`.
    pub fn record_answer(&mut self, now: Instant, entry: &Entry, answer: &Answer) {
        self.answers += 1;
        // A small answer may be a rejection, whose time does not show what a request takes.
        if answer.is_retransmitted || Profile::is_small(answer) {
            return;
        }
        let zone = &entry.target.zone;
        let round_trip = answer.round_trip.map(|time| time.as_secs_f64());
        let Some(round_trip) = round_trip.or_else(|| self.round_trips.get(zone).copied()) else {
            return;
        };
        // The acknowledgement may come a little sooner than the opening's.
        let seconds = (answer.elapsed.as_secs_f64() - round_trip).max(0.0005);
        if self.routes.len() >= MAXIMUM_ROUTES && !self.routes.contains_key(&answer.service) {
            return;
        }
        let route = self.routes.entry(answer.service).or_default();
        route.record(seconds);
        let Some(cost) = route.seconds() else {
            return;
        };
        let factor = (seconds / cost).clamp(MINIMUM_FACTOR, MAXIMUM_FACTOR);
        match &mut self.base {
            Some(base) => base.record(now, factor, BASE_WEIGHT),
            None => self.base = Some(Average::new(now, factor)),
        }
        let zones = self.zones.entry(entry.target.service.clone()).or_default();
        zones.entry(zone.clone()).or_default().record(now, seconds, factor);
        let usual = self.zone_delay(now, &entry.target.service, zone);
        let target = self.targets.entry(entry.cookie).or_insert_with(|| TargetDelay {
            factor: Average::new(now, usual),
            zone: zone.clone(),
            service: entry.target.service.clone(),
        });
        target.factor = Average::new(now, target.factor.value(now, usual, DELAY_HOLD, DELAY_DECAY));
        target.factor.record(now, factor, DELAY_WEIGHT);
    }

    /// Records the round-trip time of the opening of a flow on a target of `zone`.
    pub fn record_opening(&mut self, zone: &Arc<str>, round_trip: Duration) {
        let seconds = round_trip.as_secs_f64();
        let known = self.round_trips.entry(zone.clone()).or_insert(seconds);
        *known += ROUND_TRIP_WEIGHT * (seconds - *known);
    }

    /// Removes the observations of targets, routes and zones that are no longer in the view, and
    /// compares the number of requests that this daemon has seen since its start with that of their
    /// answers. Is to be called about once a second.
    pub fn sweep(&mut self, view: &View, requests: u64) {
        let begun = requests.saturating_sub(self.requests);
        if begun > 0 {
            let share = (self.answers as f64 / begun as f64).min(1.0);
            self.visibility += VISIBILITY_WEIGHT * (share - self.visibility);
        }
        (self.requests, self.answers) = (requests, 0);
        self.targets.retain(|cookie, _| view.target(*cookie).is_some());
        self.routes.retain(|address, _| view.route(*address).is_some());
        let targets = || view.entries().iter().map(|entry| &entry.target);
        let zones: HashSet<&Arc<str>> = targets().map(|target| &target.zone).collect();
        let services: HashSet<&Arc<str>> = targets().map(|target| &target.service).collect();
        self.round_trips.retain(|zone, _| zones.contains(zone));
        self.zones.retain(|service, _| services.contains(service));
        for loads in self.zones.values_mut() {
            loads.retain(|zone, _| zones.contains(zone));
        }
    }

    /// Returns the expected cost of a request in seconds, on a usual target without a queue.
    pub fn cost(&self, service: SocketAddrV4) -> f64 {
        self.routes.get(&service).and_then(RouteCost::seconds).unwrap_or(DEFAULT_COST)
    }

    /// Returns how long an answer usually takes at most on targets of the zone of `entry`, with a
    /// queue and without the round trip.
    pub fn usual_time(&self, now: Instant, service: SocketAddrV4, entry: &Entry) -> Duration {
        let usual = self.zone_delay(now, &entry.target.service, &entry.target.zone);
        Duration::from_secs_f64(MAXIMUM_QUEUE_FACTOR * usual * self.cost(service))
    }

    /// Returns how much longer than targets of `own` those of `other` take to be reached, in seconds.
    pub fn zone_distance(&self, own: &str, other: &str) -> f64 {
        if own == other {
            return 0.0;
        }
        match (self.round_trips.get(own), self.round_trips.get(other)) {
            (Some(own), Some(other)) => (other - own).max(0.0),
            _ => DEFAULT_ZONE_DISTANCE,
        }
    }

    /// Returns the mean number of requests that this daemon has at the targets of a zone.
    pub fn mean_requests(&self, now: Instant, service: &str, zone: &str) -> f64 {
        self.zone(service, zone).map_or(0.0, |load| load.mean_requests(now))
    }

    /// Returns how many times the cost of its route a request takes at a target.
    ///
    /// `usual` is the delay factor of its zone, which applies without observations.
    pub fn delay_factor(
        &self,
        now: Instant,
        cookie: Cookie,
        usual: f64,
        pending: &[Pending],
    ) -> f64 {
        let observed = self
            .targets
            .get(&cookie)
            .map_or(usual, |target| target.factor.value(now, usual, DELAY_HOLD, DELAY_DECAY));
        let overdue =
            pending.iter().filter_map(|request| self.age_factor(now, request)).fold(0.0, f64::max);
        if self.is_complete() && overdue > OVERDUE_FACTOR * observed {
            overdue.min(MAXIMUM_FACTOR)
        } else {
            observed
        }
    }

    /// Returns the weight of this daemon's own answers of a target within the last seconds: 1 if the
    /// last one has just arrived, and less the older it is.
    pub fn recent_answers(&self, now: Instant, cookie: Cookie) -> f64 {
        let age = self.targets.get(&cookie).map(|target| target.factor.age(now));
        age.map_or(0.0, |age| (-age.as_secs_f64() / DELAY_DECAY.as_secs_f64()).exp())
    }

    /// Returns the work of the pending requests of a target, in seconds at usual speed.
    pub fn backlog(&self, now: Instant, pending: &[Pending]) -> f64 {
        let is_counted = |request: &&Pending| {
            let lifetime = match request.stage {
                Stage::Opening => OPENING_LIFETIME,
                Stage::Sent(_) | Stage::Retransmitted => MAXIMUM_BACKLOG_AGE,
            };
            now.saturating_duration_since(request.since) < lifetime
        };
        pending.iter().filter(is_counted).map(|request| self.cost(request.service)).sum::<f64>()
            * self.visibility
    }

    /// Returns the highest delay factor among the targets of each service, by service.
    pub fn highest_delays(&self, now: Instant) -> BTreeMap<Arc<str>, f64> {
        let mut highest = BTreeMap::new();
        for target in self.targets.values() {
            let usual = self.zone_delay(now, &target.service, &target.zone);
            let factor = target.factor.value(now, usual, DELAY_HOLD, DELAY_DECAY);
            let known: &mut f64 = highest.entry(target.service.clone()).or_default();
            *known = known.max(factor);
        }
        highest
    }

    /// Returns what this daemon itself observed within the last second of targets that differ from
    /// the others of their zones.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let report = |(cookie, target): (&Cookie, &TargetDelay)| {
            let age = target.factor.age(now);
            let usual = self.zone_delay(now, &target.service, &target.zone);
            let factor = target.factor.value(now, usual, DELAY_HOLD, DELAY_DECAY) / usual;
            let differs = !(1.0 / REPORTED_FACTOR..=REPORTED_FACTOR).contains(&factor);
            (differs && age < MAXIMUM_REPORT_AGE).then_some(Report {
                cookie: *cookie,
                delay_factor: factor as f32,
                is_rejecting: false,
                age,
            })
        };
        self.targets.iter().filter_map(report).collect()
    }

    /// Returns the delay factor of a target without observations.
    pub fn zone_delay(&self, now: Instant, service: &str, zone: &str) -> f64 {
        let base = self.base.map_or(1.0, |base| base.value(now, 1.0, Duration::MAX, DELAY_DECAY));
        self.zone(service, zone).map_or(base, |load| load.delay(now, base))
    }

    fn zone(&self, service: &str, zone: &str) -> Option<&ZoneLoad> {
        self.zones.get(service)?.get(zone)
    }

    /// Returns whether this daemon sees the answers to most requests, so that an old request is late.
    fn is_complete(&self) -> bool {
        self.visibility > 0.5
    }

    /// Returns the least delay factor that the age of a pending request shows.
    fn age_factor(&self, now: Instant, request: &Pending) -> Option<f64> {
        // Without the opening, the packets of the flow may pass through several daemons.
        let Stage::Sent(Some(round_trip)) = request.stage else {
            return None;
        };
        let cost = self.routes.get(&request.service)?.seconds()?;
        let age = now.saturating_duration_since(request.since);
        (age < MAXIMUM_OVERDUE_AGE).then(|| age.saturating_sub(round_trip).as_secs_f64() / cost)
    }
}
