//! A small queueing model: daemons with equal views place the flows of callers on targets.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::cookie::{
    Directory, Flow, Forwarder, Kind, Listing, OperatorState, Packet, Placement, Target, Tuning,
    cookie,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::cookies;

/// The slots of a target, and the requests that it holds at most, including those in its slots.
const SLOTS: u32 = 2;
const CAPACITY: usize = 10;

/// The round-trip time between callers and targets, and its growth for another zone, in ms.
const ROUND_TRIP: f64 = 6.0;
const OTHER_ZONE: f64 = 3.0;

/// A kind of request.
#[derive(Clone, Copy)]
pub(crate) struct Traffic {
    pub(crate) zone: usize,
    /// Flows per ms.
    pub(crate) rate: f64,
    /// The work of a request on a target of speed 1, in ms.
    pub(crate) work: f64,
    /// The requests of a flow, and the mean pause between them in ms.
    pub(crate) requests: u32,
    pub(crate) pause: f64,
}

/// A target that serves requests in the order of their arrival.
pub(crate) struct Server {
    pub(crate) zone: usize,
    /// How many times as long as usual it takes.
    pub(crate) slowness: f64,
    pub(crate) served: usize,
    pub(crate) rejected: usize,
    /// The ends of its requests, in ms, in ascending order.
    ends: Vec<f64>,
}

impl Server {
    /// Returns when a request ends, or `None` if it is rejected.
    fn serve(&mut self, now: f64, work: f64) -> Option<f64> {
        self.ends.retain(|end| *end > now);
        if self.ends.len() >= CAPACITY {
            self.rejected += 1;
            return None;
        }
        let slots = SLOTS as usize;
        let start = match self.ends.len().checked_sub(slots) {
            Some(index) => self.ends[index],
            None => now,
        };
        self.served += 1;
        let end = start + work * self.slowness;
        self.ends.insert(self.ends.partition_point(|other| *other < end), end);
        Some(end)
    }
}

#[derive(Clone, Copy)]
struct Step {
    flow: Flow,
    daemon: usize,
    traffic: Traffic,
    left: u32,
    /// When the caller began the request.
    began: f64,
    /// The caller's acknowledgement and sequence numbers.
    acknowledged: u32,
    sequence: u32,
    cookie: u32,
    action: Action,
}

#[derive(Clone, Copy)]
enum Action {
    Open,
    Request,
    Acknowledge,
}

/// The answer to a request.
pub(crate) struct Outcome {
    pub(crate) zone: usize,
    pub(crate) latency: f64,
    pub(crate) is_rejected: bool,
}

pub(crate) struct Fleet {
    start: Instant,
    pub(crate) now: f64,
    random: Pcg64,
    pub(crate) servers: Vec<Server>,
    daemons: Vec<(usize, Forwarder)>,
    /// Whether each packet of a flow goes to a random daemon of the zone.
    pub(crate) is_spraying: bool,
    steps: Vec<Step>,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    flows: u32,
    pub(crate) outcomes: Vec<Outcome>,
}

fn zone_name(zone: usize) -> Arc<str> {
    format!("zone-{zone}").into()
}

impl Fleet {
    /// Creates zones with `targets` targets and `daemons` daemons each.
    pub(crate) fn new(placement: Placement, zones: usize, targets: usize, daemons: usize) -> Fleet {
        let start = Instant::now();
        let mut directory = Directory::new(Tuning::default());
        let config = Some(Arc::new(cookies::config(1, 0.0)));
        let operator = OperatorState { revision: 1.into(), config, ..OperatorState::default() };
        directory.confirm_config(start);
        directory.apply_operator_state(start, &operator);
        let target = |number: usize| Target {
            slots: SLOTS,
            ..cookies::target(number as u64, "web", &zone_name(number / targets))
        };
        let all = (0..zones * targets).map(target).collect();
        directory.apply_listing(
            start,
            Listing { revision: 2.into(), targets: all, ..Listing::default() },
        );
        let view = Arc::new(directory.view(start));
        let daemon = |number: usize| {
            let zone = number / daemons;
            let tuning = Tuning { placement, ..Tuning::default() };
            let mut forwarder = Forwarder::new(zone_name(zone), tuning);
            forwarder.set_view(view.clone());
            forwarder.set_zone_daemons(daemons);
            (zone, forwarder)
        };
        let server = |number| Server {
            zone: number / targets,
            slowness: 1.0,
            served: 0,
            rejected: 0,
            ends: Vec::new(),
        };
        Fleet {
            start,
            now: 0.0,
            random: Pcg64::seed_from_u64(1),
            servers: (0..zones * targets).map(server).collect(),
            daemons: (0..zones * daemons).map(daemon).collect(),
            is_spraying: false,
            steps: Vec::new(),
            queue: BinaryHeap::new(),
            flows: 0,
            outcomes: Vec::new(),
        }
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_micros((self.now * 1000.0) as u64)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.random.random::<f64>()).ln()
    }

    fn schedule(&mut self, at: f64, step: Step) {
        self.queue.push(Reverse(((at * 1000.0) as u64, self.steps.len())));
        self.steps.push(step);
    }

    fn random_daemon(&mut self, zone: usize) -> usize {
        let count = self.daemons.iter().filter(|(other, _)| *other == zone).count();
        zone * count + self.random.random_range(0..count)
    }

    /// Runs for `duration` ms with new flows of the given kinds.
    pub(crate) fn run(&mut self, duration: f64, kinds: &[Traffic]) {
        let end = self.now + duration;
        for traffic in kinds {
            let mut at = self.now + self.exponential(1.0 / traffic.rate);
            while at < end {
                self.flows += 1;
                let step = Step {
                    flow: cookies::flow(self.flows, 1),
                    daemon: self.random_daemon(traffic.zone),
                    traffic: *traffic,
                    left: traffic.requests,
                    began: at,
                    acknowledged: 0,
                    sequence: 1,
                    cookie: 0,
                    action: Action::Open,
                };
                self.schedule(at, step);
                at += self.exponential(1.0 / traffic.rate);
            }
        }
        let mut sweep_at = self.now;
        while let Some(Reverse((micros, index))) = self.queue.peek().copied() {
            let at = micros as f64 / 1000.0;
            if at >= end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if at >= sweep_at {
                sweep_at += 1000.0;
                let now = self.instant();
                self.daemons.iter_mut().for_each(|(_, forwarder)| forwarder.sweep(now));
            }
            let step = self.steps[index];
            self.advance(step);
        }
        self.now = end;
    }

    fn send(&mut self, step: &Step, kind: Kind, length: u16) -> u32 {
        let daemon = match self.is_spraying {
            true => self.random_daemon(step.traffic.zone),
            false => step.daemon,
        };
        let packet = Packet {
            sequence: step.sequence,
            acknowledged: step.acknowledged,
            length,
            ..cookies::packet(step.flow, kind, step.cookie)
        };
        let at = self.instant();
        let forwarder = &mut self.daemons[daemon].1;
        let cookie = cookies::destination(forwarder.decide(at, &packet)).cookie;
        forwarder.take_events();
        cookie
    }

    fn advance(&mut self, step: Step) {
        let server = |cookie: u32, fleet: &Fleet| {
            (0..fleet.servers.len())
                .find(|number| fleet.cookie(*number) == cookie)
                .expect("the cookie belongs to a target")
        };
        match step.action {
            Action::Open => {
                let cookie = self.send(&step, Kind::Open { attempt: 0 }, 0);
                let round_trip = self.round_trip(step.traffic.zone, server(cookie, self));
                let next = Step { cookie, acknowledged: 1, action: Action::Request, ..step };
                self.schedule(self.now + round_trip, next);
            }
            Action::Request => {
                self.send(&step, Kind::Data, 100);
                let number = server(step.cookie, self);
                let ended = self.servers[number].serve(self.now, step.traffic.work);
                let is_rejected = ended.is_none();
                let round_trip = self.round_trip(step.traffic.zone, number);
                let ended = ended.unwrap_or(self.now) + round_trip;
                let (zone, latency) = (step.traffic.zone, ended - step.began);
                self.outcomes.push(Outcome { zone, latency, is_rejected });
                let next = Step {
                    acknowledged: step.acknowledged + if is_rejected { 40 } else { 1000 },
                    sequence: step.sequence + 100,
                    left: step.left - 1,
                    action: Action::Acknowledge,
                    ..step
                };
                self.schedule(ended, next);
            }
            Action::Acknowledge if step.left == 0 => {
                self.send(&step, Kind::Data, 0);
                self.send(&step, Kind::Finish, 0);
            }
            Action::Acknowledge => {
                self.send(&step, Kind::Data, 0);
                let at = self.now + self.exponential(step.traffic.pause);
                self.schedule(at, Step { began: at, action: Action::Request, ..step });
            }
        }
    }

    fn round_trip(&self, zone: usize, server: usize) -> f64 {
        ROUND_TRIP + if self.servers[server].zone == zone { 0.0 } else { OTHER_ZONE }
    }

    fn cookie(&self, server: usize) -> u32 {
        let view = self.daemons[0].1.view();
        cookie(&view.entries()[server].target)
    }

    /// Forgets the outcomes and counts so far.
    pub(crate) fn reset(&mut self) {
        self.outcomes.clear();
        for server in &mut self.servers {
            (server.served, server.rejected) = (0, 0);
        }
    }

    /// Returns the share of the requests of a zone that were rejected or took longer than `limit`.
    pub(crate) fn late_share(&self, zone: usize, limit: f64) -> f64 {
        let all: Vec<_> = self.outcomes.iter().filter(|outcome| outcome.zone == zone).collect();
        let late = all.iter().filter(|outcome| outcome.is_rejected || outcome.latency > limit);
        late.count() as f64 / all.len() as f64
    }

    /// Returns the highest number of served requests of a target over the mean.
    pub(crate) fn busiest_over_mean(&self) -> f64 {
        let served = self.servers.iter().map(|server| server.served);
        let (sum, highest) = (served.clone().sum::<usize>(), served.max().unwrap_or(0));
        highest as f64 * self.servers.len() as f64 / sum as f64
    }
}
