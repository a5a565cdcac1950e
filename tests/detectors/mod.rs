//! Failure detectors in memory on virtual time, with a network that loses, delays, duplicates
//! and partitions.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::{
    member::{Config, Detector, Id, Info, Message, Output, Status},
    wire::{Body, Frame, Keyring},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub(crate) const TICK: Duration = Duration::from_millis(100);

/// One daemon of the fleet, running or not.
pub(crate) struct Daemon {
    pub(crate) info: Info,
    pub(crate) detector: Option<Detector>,
    pub(crate) paused_until: Option<Instant>,
    pub(crate) tick: Duration,
    /// Messages that arrived during a pause.
    inbox: Vec<(Id, SocketAddr, Message)>,
    /// Daemons in different sides of a partition do not hear each other.
    pub(crate) side: u8,
    pub(crate) starts: u64,
    /// The statuses as published by the last change of the view.
    pub(crate) published: Vec<(Id, Status)>,
    /// Whether each confirmation was complete, and the members then held as alive.
    pub(crate) confirmed: Vec<(bool, Vec<Id>)>,
    pub(crate) sent_bytes: u64,
    pub(crate) received_bytes: u64,
    pub(crate) sent_messages: u64,
    pub(crate) largest: usize,
}

impl Daemon {
    /// Loses the messages that arrived during a pause.
    pub(crate) fn drop_inbox(&mut self) {
        self.inbox.clear();
    }
}

enum Event {
    Tick(usize, u64),
    Message(usize, Id, SocketAddr, Message),
}

pub(crate) struct Fleet {
    pub(crate) now: Instant,
    pub(crate) begun: Instant,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) config: Config,
    pub(crate) loss: f64,
    pub(crate) duplication: f64,
    pub(crate) max_delay: Duration,
    /// Two daemons that do not hear each other.
    pub(crate) cut: Option<(usize, usize)>,
    /// Time spent in the decision code, if it is measured.
    pub(crate) cpu: Duration,
    pub(crate) measure: bool,
    events: BTreeMap<(Instant, u64), Event>,
    order: u64,
    rng: Pcg64Mcg,
    keyring: Keyring,
    buffer: Vec<u8>,
}

pub(crate) fn info(index: usize, zone: usize) -> Info {
    Info {
        name: format!("entry-mvd-{index:04}").into(),
        region: "montevideo".into(),
        zone: format!("mvd-zone-{zone}").into(),
        peer: SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7000)),
        admin: SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7001)),
    }
}

impl Fleet {
    pub(crate) fn new(size: usize, zones: usize, seed: u64) -> Fleet {
        let now = Instant::now();
        let mut fleet = Fleet {
            now,
            begun: now,
            daemons: Vec::new(),
            config: Config::default(),
            loss: 0.0,
            duplication: 0.0,
            max_delay: Duration::from_millis(5),
            cut: None,
            cpu: Duration::ZERO,
            measure: false,
            events: BTreeMap::new(),
            order: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            keyring: Keyring::new([(1, [7; 32])]).expect("a key is given"),
            buffer: Vec::new(),
        };
        for index in 0..size {
            fleet.daemons.push(Daemon {
                info: info(index, index % zones),
                detector: None,
                paused_until: None,
                tick: TICK,
                inbox: Vec::new(),
                side: 0,
                starts: 0,
                published: Vec::new(),
                confirmed: Vec::new(),
                sent_bytes: 0,
                received_bytes: 0,
                sent_messages: 0,
                largest: 0,
            });
        }
        fleet
    }

    pub(crate) fn id(&self, index: usize) -> Id {
        self.daemons[index].info.id()
    }

    pub(crate) fn detector(&self, index: usize) -> &Detector {
        self.daemons[index].detector.as_ref().expect("the daemon runs")
    }

    pub(crate) fn running(&self) -> Vec<usize> {
        (0..self.daemons.len()).filter(|index| self.daemons[*index].detector.is_some()).collect()
    }

    /// Starts a daemon at a new port. It knows the platform's list of all daemons.
    pub(crate) fn start(&mut self, index: usize) {
        let incarnation = 1_790_000_000_000 + (self.now - self.begun).as_millis() as u64;
        let seed = self.rng.random();
        let config = self.config.clone();
        let daemon = &mut self.daemons[index];
        daemon.starts += 1;
        daemon.info.peer.set_port(7000 + daemon.starts as u16);
        let infos: Vec<Info> = self.daemons.iter().map(|d| d.info.clone()).collect();
        let daemon = &mut self.daemons[index];
        daemon.paused_until = None;
        daemon.inbox.clear();
        let mut detector = Detector::new(config, daemon.info.clone(), incarnation, seed, self.now);
        detector.set_contacts(self.now, infos);
        daemon.detector = Some(detector);
        let starts = daemon.starts;
        let phase = TICK.mul_f64(self.rng.random());
        self.push(self.now + phase, Event::Tick(index, starts));
    }

    /// Gives all daemons the present list of the platform.
    pub(crate) fn list(&mut self) {
        let infos: Vec<Info> = self.daemons.iter().map(|d| d.info.clone()).collect();
        let now = self.now;
        for index in 0..self.daemons.len() {
            self.with(index, |detector| detector.set_contacts(now, infos.clone()));
        }
    }

    /// Starts a daemon that fetches the member list from the daemon `peer`.
    pub(crate) fn join(&mut self, index: usize, peer: usize) {
        let snapshot = self.detector(peer).snapshot(self.now);
        self.start(index);
        let now = self.now;
        self.with(index, |detector| detector.merge_snapshot(now, snapshot));
    }

    pub(crate) fn crash(&mut self, index: usize) {
        self.daemons[index].detector = None;
    }

    pub(crate) fn with(&mut self, index: usize, action: impl FnOnce(&mut Detector)) {
        if let Some(detector) = &mut self.daemons[index].detector {
            action(detector);
        }
    }

    pub(crate) fn pause(&mut self, index: usize, time: Duration) {
        self.daemons[index].paused_until = Some(self.now + time);
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= until) {
            self.now = entry.key().0;
            match entry.remove() {
                Event::Tick(index, starts) => self.tick(index, starts),
                Event::Message(index, from, address, message) => {
                    let daemon = &mut self.daemons[index];
                    if daemon.paused_until.is_some() {
                        daemon.inbox.push((from, address, message));
                    } else {
                        self.deliver(index, from, address, message);
                    }
                }
            }
        }
        self.now = until;
    }

    fn tick(&mut self, index: usize, starts: u64) {
        let daemon = &mut self.daemons[index];
        if daemon.starts != starts || daemon.detector.is_none() {
            return;
        }
        if let Some(until) = daemon.paused_until {
            if until > self.now {
                self.push(until, Event::Tick(index, starts));
                return;
            }
            // What waited in the socket is read before the first tick or after it.
            daemon.paused_until = None;
            let inbox = std::mem::take(&mut daemon.inbox);
            self.with_now(index, |detector, now, _| detector.confirm(now));
            for (from, address, message) in inbox {
                self.deliver(index, from, address, message);
            }
        }
        self.with_now(index, |detector, now, out| detector.on_tick(now, out));
        if self.detector(index).is_departed() {
            self.daemons[index].detector = None;
            return;
        }
        self.push(self.now + self.daemons[index].tick, Event::Tick(index, starts));
    }

    fn deliver(&mut self, index: usize, from: Id, address: SocketAddr, message: Message) {
        if self.daemons[index].detector.is_some() {
            self.with_now(index, |detector, now, out| {
                detector.on_message(now, from, address, message, out);
            });
        }
    }

    fn with_now(
        &mut self,
        index: usize,
        action: impl FnOnce(&mut Detector, Instant, &mut Vec<Output>),
    ) {
        let mut out = Vec::new();
        let begun = self.measure.then(Instant::now);
        if let Some(detector) = &mut self.daemons[index].detector {
            action(detector, self.now, &mut out);
        }
        if let Some(begun) = begun {
            self.cpu += begun.elapsed();
        }
        for output in out {
            match output {
                Output::Send { to, address, message } => self.transmit(index, to, address, message),
                Output::ViewChanged => {
                    let view = self.detector(index).view();
                    let published = view.iter().map(|(id, m)| (id, m.status)).collect();
                    self.daemons[index].published = published;
                }
                Output::Confirmed { complete } => {
                    let view = self.detector(index).view();
                    let alive = view.iter().filter(|(_, m)| m.status == Status::Alive);
                    let alive = alive.map(|(id, _)| id).collect();
                    self.daemons[index].confirmed.push((complete, alive));
                }
            }
        }
    }

    fn transmit(&mut self, from: usize, to: Id, address: SocketAddr, message: Message) {
        let sender = self.id(from);
        let frame = Frame { sender, body: Body::Member(message), packet: &[] };
        self.buffer.clear();
        frame.encode(&self.keyring, &mut self.buffer).expect("the frame is short");
        let length = self.buffer.len();
        let Body::Member(message) = frame.body else {
            return;
        };
        let destination = address;
        let SocketAddr::V4(v4) = destination else {
            return;
        };
        let octets = v4.ip().octets();
        let target = usize::from(octets[2]) << 8 | usize::from(octets[3]);
        assert_eq!(self.id(target), to);
        let source = &mut self.daemons[from];
        source.sent_bytes += length as u64;
        source.sent_messages += 1;
        source.largest = source.largest.max(length);
        let (address, side) = (source.info.peer, source.side);
        let receiver = &self.daemons[target];
        let is_cut = self.cut == Some((from, target)) || self.cut == Some((target, from));
        if is_cut || receiver.side != side || receiver.info.peer != destination {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = self.max_delay.mul_f64(self.rng.random());
            self.daemons[target].received_bytes += length as u64;
            let event = Event::Message(target, sender, address, message.clone());
            self.push(self.now + delay, event);
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    /// Returns the daemons that hold `id` in one of `statuses`, of those that run.
    pub(crate) fn holders(&self, id: Id, statuses: &[Status]) -> usize {
        self.running()
            .into_iter()
            .filter(|index| {
                let member = self.detector(*index).view().get(id);
                member.is_some_and(|member| statuses.contains(&member.status))
            })
            .count()
    }

    pub(crate) fn zone(&self, index: usize) -> Arc<str> {
        self.daemons[index].info.zone.clone()
    }
}
