//! One small deployment: store, daemons, backends, clients, the router, and the judge.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
    path::Path,
    time::{Duration, Instant},
};

use crate::{
    backend::{self, Backend},
    client::{self, Client},
    daemon::Daemon,
    packet::{Flow, Packet},
    record::Record,
    store::Store,
};

/// `stabilityMs`: how long after a disruption a machine, a backend or the store is not judged.
pub const STABILITY: Duration = Duration::from_millis(4000);

/// `reorderMs`: how long packets of a flow may reach other backends.
const REORDER: Duration = Duration::from_millis(2000);

pub const ZONES: [&str; 3] = ["caerdydd", "abertawe", "aberystwyth"];

/// The services, each with its route.
pub const BOARD: &str = "stondin";
pub const SHEETS: &str = "taflen";

#[derive(Debug, Default)]
pub struct Counts {
    pub opened: u64,
    pub not_opened: u64,
    pub answered: u64,
    pub given_up: u64,
    pub changed: u64,
    pub wrong: u64,
    pub resets_of_unheld_flows: u64,
}

/// The host of the routes, which only stands in packets and in the configuration.
const ROUTE_HOST: Ipv4Addr = Ipv4Addr::new(127, 99, 0, 1);

/// `warmupPerS` of the services, and `coldOver` and `coldSlack`: a cold backend may get
/// `COLD_PER_S * COLD_OVER + COLD_SLACK` requests in one second.
const COLD_PER_S: f64 = 4.0;
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// The flow of one client from its opening on, told from later ones by the sequence number.
type FlowId = (Flow, u32);

#[derive(Debug)]
struct OpenFlow {
    backend: usize,
    /// Since when packets reach other backends and none its own, and how many.
    astray: Option<(Instant, u32)>,
}

pub struct World {
    pub record: Record,
    pub store: Store,
    pub daemons: Vec<Daemon>,
    pub backends: Vec<Backend>,
    pub clients: Vec<Client>,
    pub counts: Counts,
    /// The rules that were broken, each with what was seen.
    pub broken: Vec<String>,
    /// The end of the last disruption of the store.
    pub store_disturbed_at: Option<Instant>,
    /// The daemons that a disruption hits, which are not judged.
    pub disturbed_daemons: HashSet<usize>,
    /// Writes of backends that the store makes later.
    pub late_writes: Vec<(Instant, String, String)>,
    /// Whether the heartbeat of a backend that is due now is made late.
    pub late_backend: Option<usize>,
    port: u16,
    net: [u8; 2],
    router: UdpSocket,
    open_flows: HashMap<FlowId, OpenFlow>,
    ids: HashMap<Flow, u32>,
    runs: HashMap<String, u32>,
    taken_by: HashMap<Flow, usize>,
    /// When each cold backend took its last flows.
    taken_cold: HashMap<usize, VecDeque<Instant>>,
}

impl World {
    /// Starts the store, the backends and the daemons: two daemons in the first zone and one in each
    /// other zone.
    pub fn start(record: Record, folder: &Path) -> World {
        let process = std::process::id();
        // Each run has four networks of its own: daemons, backends, clients and a spare one.
        let net = [100 + (process % 100) as u8, (process / 100 % 62 * 4) as u8];
        let ip = |kind: u8, number: u8| {
            let [a, b] = [net[0], net[1].wrapping_add(kind)];
            Ipv4Addr::new(127, a, b, number)
        };
        let port = free_port(|number| ip(0, number));
        let listener = TcpListener::bind((ip(0, 100), 0)).expect("the store's port can be bound");
        let store = Store::serve(listener);
        let router = UdpSocket::bind((ip(0, 101), 0)).expect("the router's port can be bound");
        let mut world = World {
            record,
            store,
            daemons: Vec::new(),
            backends: Vec::new(),
            clients: Vec::new(),
            counts: Counts::default(),
            broken: Vec::new(),
            store_disturbed_at: None,
            disturbed_daemons: HashSet::new(),
            late_writes: Vec::new(),
            late_backend: None,
            port,
            net,
            router,
            open_flows: HashMap::new(),
            ids: HashMap::new(),
            runs: HashMap::new(),
            taken_by: HashMap::new(),
            taken_cold: HashMap::new(),
        };
        world.write_config(7);
        for (zone, count) in ZONES.into_iter().zip([2, 2, 2]) {
            for _ in 0..count {
                world.add_backend(BOARD, zone);
            }
        }
        for zone in ZONES.into_iter().take(2) {
            world.add_backend(SHEETS, zone);
        }
        let now = Instant::now();
        for backend in &mut world.backends {
            backend.beat(now, &world.store, false);
        }
        for (name, zone) in [
            ("front-caerdydd-1", ZONES[0]),
            ("front-caerdydd-2", ZONES[0]),
            ("front-abertawe-1", ZONES[1]),
            ("front-aberystwyth-1", ZONES[2]),
        ] {
            let number = world.daemons.len() as u8 + 1;
            let data = SocketAddrV4::new(ip(0, number), port);
            let contacts = [ip(0, 1), ip(0, 3), ip(0, 4)];
            let address: SocketAddr = world.store.address;
            let daemon = Daemon::start(folder, name, zone, &ZONES, data, address, &contacts);
            world.daemons.push(daemon);
        }
        for (index, zone) in ZONES.into_iter().chain(ZONES).enumerate() {
            world.clients.push(Client::new(zone, ip(2, index as u8 + 1), port));
        }
        world
    }

    pub fn route(service: &str) -> SocketAddrV4 {
        let port = if service == BOARD { 443 } else { 8443 };
        SocketAddrV4::new(ROUTE_HOST, port)
    }

    /// Writes a configuration, as the operator does.
    pub fn write_config(&self, version: u64) {
        let route = |name: &str, service: &str, kind: &str, priority: u32| {
            let port = World::route(service).port();
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{ROUTE_HOST}\",\"prefix\":\"/{port}/\",\
                 \"routeType\":\"{kind}\",\"timeoutMs\":2500,\"targetLatencyMs\":150,\
                 \"priority\":{priority},\"service\":\"{service}\",\"attempts\":2}}"
            )
        };
        let service = |name: &str| {
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":2000,\
                 \"protocol\":\"h1\",\"tls\":false,\"warmupS\":5.0,\"warmupPerS\":{COLD_PER_S:.1}}}"
            )
        };
        let routes = [route("board", BOARD, "unsafe", 1), route("sheets", SHEETS, "safe", 2)];
        let services = [service(BOARD), service(SHEETS)];
        self.store.write(
            "op/config",
            &format!(
                "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
                 \"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
                 \"idleTimeoutMs\":15000}}}}",
                routes.join(","),
                services.join(",")
            ),
        );
    }

    fn add_backend(&mut self, service: &'static str, zone: &'static str) {
        let index = self.backends.len();
        let number = 0x7f3a_9100 + 0x1_0101 * index as u64;
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1].wrapping_add(1), index as u8 + 1);
        let address = SocketAddrV4::new(ip, self.port);
        let work = Duration::from_millis(25);
        self.backends.push(Backend::start(index, number, service, zone, address, work));
    }

    /// Waits until all daemons are in rotation. Returns whether they are.
    pub fn wait_until_ready(&mut self) -> bool {
        let begun_at = Instant::now();
        while begun_at.elapsed() < Duration::from_secs(20) {
            if self.daemons.iter().all(Daemon::is_in_rotation) {
                return true;
            }
            self.step();
        }
        false
    }

    /// Runs the deployment for some time.
    pub fn run_for(&mut self, duration: Duration) {
        self.run_while(duration, |_, _| {});
    }

    /// Runs the deployment for some time, and calls `act` in each step.
    pub fn run_while(&mut self, duration: Duration, mut act: impl FnMut(&mut World, Instant)) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            let now = Instant::now();
            act(self, now);
            self.step();
        }
    }

    /// Opens a flow of the client `index`.
    pub fn open(
        &mut self,
        index: usize,
        service: &'static str,
        interval: Duration,
        lifetime: Duration,
    ) {
        let mut out = Vec::new();
        let route = World::route(service);
        let now = Instant::now();
        self.clients[index].open(now, route, service, interval, lifetime, &mut out);
        let zone = self.clients[index].zone;
        out.iter().for_each(|packet| self.forward(zone, packet));
    }

    fn step(&mut self) {
        let now = Instant::now();
        for index in 0..self.backends.len() {
            let is_late = self.late_backend == Some(index);
            if let Some((key, value)) = self.backends[index].beat(now, &self.store, is_late) {
                self.late_backend = None;
                self.record.write(format!("the store makes a write of {key} late"));
                self.late_writes.push((now, key, value));
            }
        }
        let mut events = Vec::new();
        for backend in &mut self.backends {
            backend.poll(now, &self.record, &mut events);
        }
        events.into_iter().for_each(|event| self.judge_backend(now, event));
        for index in 0..self.clients.len() {
            let (mut out, mut events) = (Vec::new(), Vec::new());
            let client = &mut self.clients[index];
            client.poll(now, &self.record, &mut out, &mut events);
            let zone = client.zone;
            out.iter().for_each(|packet| self.forward(zone, packet));
            events.into_iter().for_each(|event| self.judge_client(now, event));
        }
        std::thread::sleep(Duration::from_micros(300));
    }

    /// Sends a client's packet to the daemon that the router selects in the client's zone.
    fn forward(&mut self, zone: &str, packet: &Packet) {
        let in_zone: Vec<usize> =
            (0..self.daemons.len()).filter(|index| self.daemons[*index].zone == zone).collect();
        let mut chosen: Vec<usize> =
            in_zone.iter().copied().filter(|index| self.daemons[*index].is_in_rotation()).collect();
        if chosen.is_empty() {
            chosen = (0..self.daemons.len())
                .filter(|index| self.daemons[*index].is_in_rotation())
                .collect();
        } else if 2 * chosen.len() < in_zone.len() {
            chosen = in_zone;
        }
        let flow = Flow { client: packet.from, route: packet.to };
        let Some(index) = chosen.into_iter().max_by_key(|index| weight(&flow, *index)) else {
            return;
        };
        self.taken_by.insert(flow, index);
        let _ = self.router.send_to(&packet.encode(), self.daemons[index].data);
    }

    fn judge_backend(&mut self, now: Instant, event: backend::Event) {
        match event {
            backend::Event::Opened { backend, flow, client_seq } => {
                self.ids.insert(flow, client_seq);
                self.open_flows.insert((flow, client_seq), OpenFlow { backend, astray: None });
            }
            backend::Event::TakenCold { backend } => self.judge_cold(now, backend),
            backend::Event::Reached { backend, flow } => self.judge_reached(now, backend, flow),
            backend::Event::Run { backend, flow, request } => {
                let runs = self.runs.entry(request.clone()).or_default();
                *runs += 1;
                if *runs > 1 {
                    self.report(format!(
                        "a request may run once: {request} has run {runs} times",
                        runs = self.runs[&request]
                    ));
                }
                let service = self.backends[backend].service;
                if World::route(service) != flow.route {
                    let name = self.backends[backend].name.clone();
                    self.report(format!("ROUTE: {request} was run by {name} of {service}"));
                }
            }
            backend::Event::Reset => self.counts.resets_of_unheld_flows += 1,
            backend::Event::Changed { backend } => {
                let name = self.backends[backend].name.clone();
                self.report(format!("UNASKED: {name} got a changed packet"));
            }
        }
    }

    /// FAILBACK: a cold backend gets more requests in one second than it bears.
    fn judge_cold(&mut self, now: Instant, backend: usize) {
        let taken = self.taken_cold.entry(backend).or_default();
        taken.push_back(now);
        while taken.front().is_some_and(|at| now - *at >= Duration::from_secs(1)) {
            taken.pop_front();
        }
        let (count, limit) = (taken.len(), COLD_PER_S * COLD_OVER + COLD_SLACK);
        let name = self.backends[backend].name.clone();
        self.record.write(format!("{name} is cold and takes a flow, {count} in one second"));
        if count as f64 > limit {
            taken.clear();
            self.report(format!(
                "FAILBACK: {name} is cold and got {count} requests in one second, more than {limit}"
            ));
        }
    }

    /// FLOW (b): for `reorderMs` three or more of the flow's packets reach other backends and none
    /// its own.
    fn judge_reached(&mut self, now: Instant, backend: usize, flow: Flow) {
        let Some(id) = self.ids.get(&flow).map(|client_seq| (flow, *client_seq)) else {
            return;
        };
        let Some(open) = self.open_flows.get_mut(&id) else {
            return;
        };
        if open.backend == backend {
            open.astray = None;
            return;
        }
        let (since, count) = open.astray.unwrap_or((now, 0));
        open.astray = Some((since, count + 1));
        let owner = open.backend;
        if count + 1 >= 3 && now - since >= REORDER && self.is_judged(now, &id, owner) {
            self.open_flows.remove(&id);
            let [owner, other] = [owner, backend].map(|index| self.backends[index].name.clone());
            self.report(format!(
                "FLOW (b): packets of {} {}, open at {owner}, reach {other} and not {owner}",
                flow.client, flow.route
            ));
        }
    }

    fn judge_client(&mut self, now: Instant, event: client::Event) {
        match event {
            client::Event::ResetBySystem { flow, client_seq, sender } => {
                let daemon = self.daemons.iter().position(|daemon| sender == daemon.data.into());
                let name = daemon.map_or("an unknown sender", |index| &self.daemons[index].name);
                let (name, is_calm) = (
                    name.to_owned(),
                    !daemon.is_some_and(|index| self.disturbed_daemons.contains(&index)),
                );
                self.judge_reset(now, (flow, client_seq), &name, is_calm);
            }
            client::Event::ResetByBackend { flow, client_seq } => {
                let id = (flow, client_seq);
                // Its own backend resets a flow only if it no longer holds it.
                let is_held = self
                    .open_flows
                    .get(&id)
                    .is_some_and(|open| self.backends[open.backend].flows.contains_key(&flow));
                if is_held {
                    self.judge_reset(now, id, "another backend", true);
                }
            }
            client::Event::Changed { flow } => {
                self.counts.changed += 1;
                self.record.write(format!("{} got a changed packet", flow.client));
            }
            client::Event::Wrong { flow, text } => {
                self.counts.wrong += 1;
                self.report(format!("MIXED: {} {text}", flow.client));
            }
            client::Event::Answered => self.counts.answered += 1,
            client::Event::GivenUp => self.counts.given_up += 1,
            client::Event::Opened => self.counts.opened += 1,
            client::Event::NotOpened => self.counts.not_opened += 1,
        }
    }

    /// FLOW (a): the client gets a reset that the flow's backend did not send.
    fn judge_reset(&mut self, now: Instant, id: FlowId, sender: &str, is_sender_calm: bool) {
        let Some(owner) = self.open_flows.get(&id).map(|open| open.backend) else {
            return;
        };
        let name = self.backends[owner].name.clone();
        let text = format!(
            "{} {}, open at {name}, which holds it, was reset by {sender}",
            id.0.client, id.0.route
        );
        if is_sender_calm && self.is_judged(now, &id, owner) {
            self.report(format!("FLOW (a): {text}"));
        } else {
            self.record.write(format!("not judged: {text}"));
        }
    }

    /// Returns whether the flow's backend lives and holds it, and whether backend, store and the
    /// daemon that took the packets were undisturbed for `stabilityMs`.
    fn is_judged(&self, now: Instant, id: &FlowId, owner: usize) -> bool {
        let backend = &self.backends[owner];
        let holds = backend.is_up && backend.flows.contains_key(&id.0);
        let is_calm = now - backend.changed_at >= STABILITY;
        let is_store_calm = self.store_disturbed_at.is_none_or(|at| now - at >= STABILITY);
        let taken_by = self.taken_by.get(&id.0);
        let is_daemon_calm = taken_by.is_some_and(|index| !self.disturbed_daemons.contains(index));
        holds && is_calm && is_store_calm && is_daemon_calm
    }

    fn report(&mut self, text: String) {
        self.record.write(format!("BROKEN {text}"));
        self.broken.push(text);
    }

    /// Returns the flows that are open at a backend.
    pub fn flows_at(&self, backend: usize) -> usize {
        self.backends[backend].flows.values().filter(|held| held.is_open).count()
    }

    pub fn open_flow_count(&self) -> usize {
        self.clients.iter().map(Client::open_flows).sum()
    }
}

/// Returns the weight of a daemon for a flow; the highest one gets the flow.
fn weight(flow: &Flow, daemon: usize) -> u64 {
    let mut hash =
        0xcbf2_9ce4_8422_2325_u64 ^ (daemon as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for end in [flow.client, flow.route] {
        let value = u64::from(u32::from(*end.ip())) << 16 | u64::from(end.port());
        hash = (hash ^ value).wrapping_mul(0xff51_afd7_ed55_8ccd);
        hash ^= hash >> 32;
    }
    hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53)
}

/// Returns a port that is free, with the following ones, at the addresses of the daemons.
fn free_port(ip: impl Fn(u8) -> Ipv4Addr) -> u16 {
    let is_free = |port: u16| {
        (1..=4).all(|number| {
            UdpSocket::bind((ip(number), port)).is_ok()
                && (1..=4).all(|offset| TcpListener::bind((ip(number), port + offset)).is_ok())
        })
    };
    (0..500).map(|step| 21_000 + 16 * step).find(|port| is_free(*port)).expect("a port is free")
}
