//! Daemons in memory that exchange tickets over a seeded network in virtual time.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::{
    member::{self, Info, Member, Status, View},
    spread::{Action, Config, Disseminator, MAX_MESSAGE_BYTES, Message},
    ticket::{Number, ObjectId, State, Ticket},
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

/// The time between two ticks of a daemon.
const TICK: Duration = Duration::from_millis(100);

/// How long a read of the platform waits for new tickets.
const WAIT: Duration = Duration::from_secs(30);

/// What the network does to messages.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Network {
    /// The share of messages that is lost.
    pub(crate) loss: f64,
    /// The share of messages that arrives twice.
    pub(crate) duplicates: f64,
    /// The longest delay; messages with different delays overtake each other.
    pub(crate) delay: Duration,
}

/// One daemon.
pub(crate) struct Node {
    pub(crate) id: member::Id,
    pub(crate) zone: Arc<str>,
    /// The side of a partition that the daemon is on.
    pub(crate) side: usize,
    pub(crate) disseminator: Disseminator,
    pub(crate) state: State,
    /// When each ticket came into force; the highest number of a batch.
    pub(crate) in_force: BTreeMap<Number, Instant>,
    /// The wall-clock time spent in the disseminator.
    pub(crate) busy: Duration,
    info: Info,
    is_reader: bool,
    index: usize,
    next_read: Instant,
    numbers: HashMap<ObjectId, Number>,
    started_at: Instant,
}

enum Event {
    Tick(usize),
    Deliver { to: usize, from: member::Id, message: Message },
}

/// All daemons, the network and the platform.
pub(crate) struct Fleet {
    pub(crate) now: Instant,
    pub(crate) started_at: Instant,
    pub(crate) nodes: Vec<Node>,
    pub(crate) network: Network,
    pub(crate) platform: Vec<Ticket>,
    /// Whether daemons can read the platform.
    pub(crate) platform_up: bool,
    /// The number of tickets that daemons of the first zone see, if their replica is stale.
    pub(crate) stale: Option<usize>,
    pub(crate) calls: u64,
    rng: Pcg64Mcg,
    views: Vec<View>,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    indices: HashMap<member::Id, usize>,
}

impl Fleet {
    pub(crate) fn new(seed: u64, daemons: usize, zones: usize, network: Network) -> Fleet {
        let now = Instant::now();
        let mut fleet = Fleet {
            now,
            started_at: now,
            nodes: Vec::new(),
            network,
            platform: Vec::new(),
            platform_up: true,
            stale: None,
            calls: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            views: Vec::new(),
            events: BTreeMap::new(),
            sequence: 0,
            indices: HashMap::new(),
        };
        for index in 0..daemons {
            let zone: Arc<str> = format!("zone-{}", index % zones).into();
            let info = Info {
                name: format!("entry-{index}").into(),
                region: "region".into(),
                zone: zone.clone(),
                peer: ([127, 0, 0, 1], 1).into(),
                admin: ([127, 0, 0, 1], 2).into(),
            };
            let id = info.id();
            let seed = fleet.rng.random_range(0..u64::MAX);
            fleet.indices.insert(id, index);
            fleet.nodes.push(Node {
                id,
                disseminator: Disseminator::new(Config::new(zone.clone()), id, seed, now),
                zone,
                side: 0,
                state: State::default(),
                in_force: BTreeMap::new(),
                busy: Duration::ZERO,
                info,
                is_reader: false,
                index: 0,
                next_read: now,
                numbers: HashMap::new(),
                started_at: now,
            });
            let phase = TICK.mul_f64(fleet.rng.random_range(0.0..1.0));
            fleet.push(now + phase, Event::Tick(index));
        }
        fleet.divide(|_| 0);
        fleet
    }

    /// Puts each daemon on a side; messages between sides are lost.
    pub(crate) fn divide(&mut self, side: impl Fn(usize) -> usize) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.side = side(index);
        }
        let sides = self.nodes.iter().map(|node| node.side).max().unwrap_or(0);
        self.views = (0..=sides).map(|side| self.view(side)).collect();
        for node in &mut self.nodes {
            node.is_reader = node.disseminator.is_reader(&self.views[node.side]);
        }
    }

    /// Starts a daemon again without its memory.
    pub(crate) fn restart(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let seed = self.rng.random_range(0..u64::MAX);
        let config = Config::new(node.zone.clone());
        node.disseminator = Disseminator::new(config, node.id, seed, self.now);
        node.state = State::default();
        node.in_force.clear();
        node.numbers.clear();
        node.index = 0;
        node.next_read = self.now;
        node.started_at = self.now;
    }

    /// Returns what a daemon on `side` knows of the members.
    pub(crate) fn view(&self, side: usize) -> View {
        let mut view = View::new();
        for node in &self.nodes {
            let status = if node.side == side { Status::Alive } else { Status::Failed };
            view.insert(Member {
                info: node.info.clone(),
                incarnation: 1,
                status,
                since: self.now,
            });
        }
        view
    }

    /// Runs for `time`, or until `done` after a tick.
    pub(crate) fn run(&mut self, time: Duration, done: impl Fn(&Fleet) -> bool) -> bool {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            match entry.remove() {
                Event::Tick(index) => {
                    self.tick(index);
                    if index == 0 && done(self) {
                        return true;
                    }
                }
                Event::Deliver { to, from, message } => self.deliver(to, from, message),
            }
        }
        self.now = end;
        done(self)
    }

    /// Calls the disseminator of a daemon and carries out its actions.
    pub(crate) fn with(
        &mut self,
        index: usize,
        call: impl FnOnce(&mut Disseminator, Instant, &View, &mut State, &mut Vec<Action>),
    ) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let mut out = Vec::new();
        let start = Instant::now();
        call(&mut node.disseminator, now, &self.views[node.side], &mut node.state, &mut out);
        node.busy += start.elapsed();
        for action in out {
            match action {
                Action::Send { to, message } => self.send(index, to, message),
                Action::InForce(number) => {
                    self.nodes[index].in_force.entry(number).or_insert(now);
                    self.check_history(index);
                }
                Action::Changed { objects } => self.check(index, objects.iter().map(|o| o.id())),
                Action::Refused(_) | Action::Invalid(_) => {}
            }
        }
    }

    fn tick(&mut self, index: usize) {
        self.push(self.now + TICK, Event::Tick(index));
        self.with(index, |disseminator, now, view, state, out| {
            disseminator.on_tick(now, view, state, out);
        });
        let node = &mut self.nodes[index];
        if !self.platform_up || !node.is_reader {
            return;
        }
        let stale = self.stale.filter(|_| &*node.zone == "zone-0");
        let end = stale.unwrap_or(self.platform.len()).max(node.index);
        if node.index == end && self.now < node.next_read {
            return;
        }
        self.calls += 1;
        let tickets = self.platform[node.index..end].to_vec();
        node.index = end;
        node.next_read = self.now + WAIT;
        if !tickets.is_empty() {
            self.with(index, |disseminator, now, _, state, out| {
                disseminator.on_published(now, tickets, state, out);
            });
        }
    }

    fn deliver(&mut self, to: usize, from: member::Id, message: Message) {
        self.with(to, |disseminator, now, _, state, out| {
            disseminator.on_message(now, from, message, state, out);
        });
        let node = &self.nodes[to];
        let seconds = self.now.duration_since(node.started_at).as_secs_f64();
        // Confirmations after a pause may exceed the budget by a few messages.
        let limit = 64_000.0 + 2_000.0 * (seconds + 1.0) + 10_000.0;
        assert!(node.disseminator.counters().sent_bytes as f64 <= limit, "the budget is exceeded");
    }

    fn send(&mut self, index: usize, to: member::Id, message: Message) {
        let length = postcard::to_stdvec(&message).expect("messages can be encoded").len();
        assert!(length <= MAX_MESSAGE_BYTES, "{length} bytes: {message:?}");
        let receiver = self.indices[&to];
        if self.nodes[receiver].side != self.nodes[index].side {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_range(0.0..1.0) < self.network.duplicates);
        for _ in 0..copies {
            if self.rng.random_range(0.0..1.0) < self.network.loss {
                continue;
            }
            let delay = self.network.delay.mul_f64(self.rng.random_range(0.1..1.0));
            let from = self.nodes[index].id;
            let message = message.clone();
            self.push(self.now + delay, Event::Deliver { to: receiver, from, message });
        }
    }

    /// Asserts that no object goes back to a lower number.
    fn check(&mut self, index: usize, objects: impl Iterator<Item = ObjectId>) {
        let node = &mut self.nodes[index];
        for id in objects {
            let number = node.state.get(id).map_or(0, |item| item.number);
            let before = node.numbers.insert(id, number);
            assert!(before.is_none_or(|before| before <= number), "an object was reverted");
        }
    }

    /// Asserts that a ticket in force is not missing at any of its objects.
    fn check_history(&self, index: usize) {
        let state = &self.nodes[index].state;
        for ticket in &self.platform {
            if state.history().is_applied(ticket.number) {
                let mut numbers = ticket
                    .objects()
                    .map(|object| state.get(object.id()).map_or(0, |item| item.number));
                let in_force = numbers.all(|number| number >= ticket.number);
                assert!(in_force, "ticket {} is not in force", ticket.number);
            }
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }
}
