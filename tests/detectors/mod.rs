//! Failure detectors in memory on virtual time, with a network that loses, delays, duplicates and
//! partitions messages.

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

/// A daemon of the fleet, running or stopped.
pub(crate) struct Daemon {
    pub(crate) info: Info,
    pub(crate) detector: Option<Detector>,
    pub(crate) paused_until: Option<Instant>,
    pub(crate) tick: Duration,
    /// The messages that arrived during a pause.
    inbox: Vec<(Id, SocketAddr, Message)>,
    /// The side of a partition that the daemon is on. Messages between sides are lost.
    pub(crate) side: u8,
    pub(crate) start_count: u64,
    /// The statuses of the members as of the last published view.
    pub(crate) published: Vec<(Id, Status)>,
    /// For each confirmation, whether it was complete and which members were alive in the view.
    pub(crate) confirmations: Vec<(bool, Vec<Id>)>,
    pub(crate) sent_bytes: u64,
    pub(crate) received_bytes: u64,
    pub(crate) sent_messages: u64,
    pub(crate) largest_frame_bytes: usize,
}

impl Daemon {
    /// Drops the messages that arrived during a pause.
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
    pub(crate) started_at: Instant,
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) config: Config,
    pub(crate) loss: f64,
    pub(crate) duplication: f64,
    pub(crate) max_delay: Duration,
    /// Two daemons that lose all messages between them.
    pub(crate) blocked_link: Option<(usize, usize)>,
    /// The wall-clock time spent in the detectors, if `measures_time` is set.
    pub(crate) detector_time: Duration,
    pub(crate) measures_time: bool,
    events: BTreeMap<(Instant, u64), Event>,
    event_count: u64,
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
            started_at: now,
            daemons: Vec::new(),
            config: Config::default(),
            loss: 0.0,
            duplication: 0.0,
            max_delay: Duration::from_millis(5),
            blocked_link: None,
            detector_time: Duration::ZERO,
            measures_time: false,
            events: BTreeMap::new(),
            event_count: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            keyring: Keyring::new([(1, [7; 32])]).expect("the keyring has a key"),
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
                start_count: 0,
                published: Vec::new(),
                confirmations: Vec::new(),
                sent_bytes: 0,
                received_bytes: 0,
                sent_messages: 0,
                largest_frame_bytes: 0,
            });
        }
        fleet
    }

    pub(crate) fn id(&self, index: usize) -> Id {
        self.daemons[index].info.id()
    }

    pub(crate) fn detector(&self, index: usize) -> &Detector {
        self.daemons[index].detector.as_ref().expect("the daemon is running")
    }

    pub(crate) fn running(&self) -> Vec<usize> {
        (0..self.daemons.len()).filter(|index| self.daemons[*index].detector.is_some()).collect()
    }

    /// Starts a daemon at a new port, with the platform's list of all daemons as its contacts.
    pub(crate) fn start(&mut self, index: usize) {
        self.start_alone(index);
        let infos: Vec<Info> = self.daemons.iter().map(|d| d.info.clone()).collect();
        let now = self.now;
        self.with_detector(index, |detector| detector.set_contacts(now, infos));
    }

    /// Starts a daemon at a new port that knows no other daemon.
    pub(crate) fn start_alone(&mut self, index: usize) {
        let incarnation = 1_790_000_000_000 + (self.now - self.started_at).as_millis() as u64;
        let seed = self.rng.random();
        let config = self.config.clone();
        let daemon = &mut self.daemons[index];
        daemon.start_count += 1;
        daemon.info.peer.set_port(7000 + daemon.start_count as u16);
        daemon.paused_until = None;
        daemon.inbox.clear();
        let detector = Detector::new(config, daemon.info.clone(), incarnation, seed, self.now);
        daemon.detector = Some(detector);
        let start_count = daemon.start_count;
        let phase = TICK.mul_f64(self.rng.random());
        self.push(self.now + phase, Event::Tick(index, start_count));
    }

    /// Gives all daemons the current list of the platform as their contacts.
    pub(crate) fn update_contacts(&mut self) {
        let infos: Vec<Info> = self.daemons.iter().map(|d| d.info.clone()).collect();
        let now = self.now;
        for index in 0..self.daemons.len() {
            self.with_detector(index, |detector| detector.set_contacts(now, infos.clone()));
        }
    }

    /// Starts a daemon that fetches the member list from the daemon `peer`.
    pub(crate) fn join(&mut self, index: usize, peer: usize) {
        let snapshot = self.detector(peer).snapshot(self.now);
        self.start(index);
        let now = self.now;
        self.with_detector(index, |detector| detector.merge_snapshot(now, snapshot));
    }

    pub(crate) fn crash(&mut self, index: usize) {
        self.daemons[index].detector = None;
    }

    pub(crate) fn with_detector(&mut self, index: usize, action: impl FnOnce(&mut Detector)) {
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
                Event::Tick(index, start_count) => self.tick(index, start_count),
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

    fn tick(&mut self, index: usize, start_count: u64) {
        let daemon = &mut self.daemons[index];
        if daemon.start_count != start_count || daemon.detector.is_none() {
            return;
        }
        if let Some(until) = daemon.paused_until {
            if until > self.now {
                self.push(until, Event::Tick(index, start_count));
                return;
            }
            // The messages that waited in the socket are read before the first tick.
            daemon.paused_until = None;
            let inbox = std::mem::take(&mut daemon.inbox);
            self.call_detector(index, |detector, now, _| detector.confirm(now));
            for (from, address, message) in inbox {
                self.deliver(index, from, address, message);
            }
        }
        self.call_detector(index, |detector, now, out| detector.on_tick(now, out));
        if self.detector(index).is_departed() {
            self.daemons[index].detector = None;
            return;
        }
        self.push(self.now + self.daemons[index].tick, Event::Tick(index, start_count));
    }

    fn deliver(&mut self, index: usize, from: Id, address: SocketAddr, message: Message) {
        if self.daemons[index].detector.is_some() {
            self.call_detector(index, |detector, now, out| {
                detector.on_message(now, from, address, message, out);
            });
        }
    }

    fn call_detector(
        &mut self,
        index: usize,
        action: impl FnOnce(&mut Detector, Instant, &mut Vec<Output>),
    ) {
        let mut out = Vec::new();
        let started_at = self.measures_time.then(Instant::now);
        if let Some(detector) = &mut self.daemons[index].detector {
            action(detector, self.now, &mut out);
        }
        if let Some(started_at) = started_at {
            self.detector_time += started_at.elapsed();
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
                    self.daemons[index].confirmations.push((complete, alive));
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
        source.largest_frame_bytes = source.largest_frame_bytes.max(length);
        let (address, side) = (source.info.peer, source.side);
        let receiver = &self.daemons[target];
        let is_blocked =
            self.blocked_link == Some((from, target)) || self.blocked_link == Some((target, from));
        if is_blocked || receiver.side != side || receiver.info.peer != destination {
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
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    /// Returns the number of running daemons that have `id` in their view with one of `statuses`.
    pub(crate) fn count_with_status(&self, id: Id, statuses: &[Status]) -> usize {
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
