//! A model of callers and targets with bounded queues on virtual time, around cookie forwarders.

#![allow(dead_code)]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::cookie::{
    Config, Cookie, Directory, Flow, Forwarder, Kind, Listing, OperatorState, Packet, Reason,
    Route, Service, Share, Target, Tuning, Verdict, cookie,
};

use crate::cookies::{OWN_ZONE, ms, service_address};

/// The round-trip time between callers and targets.
pub(crate) const ROUND_TRIP: Duration = Duration::from_micros(6_500);

/// The requests that a target queues in addition to those in its slots.
const QUEUE: usize = 8;

/// The size of a rejection, and of the first packet of a successful answer.
const REJECTION_BYTES: u32 = 120;
const ANSWER_BYTES: u32 = 600;

/// How often a caller tries again on a new flow.
const RETRIES: u32 = 2;

/// The interval at which the forwarders are swept.
const SWEEP: Duration = Duration::from_secs(1);

/// The requests of one route within a period.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    /// The port of the service address, which identifies the route.
    pub(crate) port: u16,
    pub(crate) per_second: f64,
    pub(crate) work: Duration,
    pub(crate) from: Duration,
    pub(crate) until: Duration,
}

/// What became of the requests of one route.
#[derive(Debug, Clone, Default)]
pub(crate) struct Record {
    pub(crate) requests: u32,
    pub(crate) served: u32,
    /// Requests that were given up after the last retry.
    pub(crate) failed: u32,
    /// Requests that reached a target.
    pub(crate) arrivals: u32,
    /// Arrivals that a full target rejected.
    pub(crate) rejected: u32,
    /// When a daemon refused a flow with [`Reason::NoRoom`].
    pub(crate) refusals: Vec<Duration>,
    /// Refusals while a slot of any target was free.
    pub(crate) wrong_refusals: u32,
}

#[derive(Debug, Default)]
struct Server {
    slots: usize,
    busy: usize,
    queue: VecDeque<usize>,
}

#[derive(Debug, Clone)]
struct Request {
    demand: usize,
    tries: u32,
    flow: Flow,
    cookie: Cookie,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Create(usize),
    Open(usize),
    Send(usize),
    Arrive(usize),
    Complete(usize),
    Answer(usize, bool),
    Sweep,
}

/// Callers, daemons of one zone and the targets of all zones.
pub(crate) struct Overload {
    pub(crate) start: Instant,
    pub(crate) now: Duration,
    pub(crate) forwarders: Vec<Forwarder>,
    pub(crate) records: BTreeMap<u16, Record>,
    servers: HashMap<Cookie, Server>,
    demands: Vec<Demand>,
    requests: Vec<Request>,
    next_flow: u32,
    agenda: BinaryHeap<Reverse<(Duration, usize)>>,
    steps: Vec<Step>,
}

/// Returns a configuration that routes each port to the service "web" with the given priority.
pub(crate) fn config(priorities: &[(u16, u32)]) -> Config {
    let route = |priority| {
        let shares = vec![Share { service: "web".into(), weight: 1 }];
        Route { shares, priority, ..Route::default() }
    };
    let routes =
        priorities.iter().map(|(port, priority)| (service_address(*port), route(*priority)));
    Config {
        version: 1,
        revision: 1.into(),
        routes: routes.collect(),
        services: [("web".into(), Service::default())].into(),
        idle_timeout: Duration::from_secs(15),
    }
}

pub(crate) fn shedding() -> Tuning {
    Tuning { sheds_load: true, ..Tuning::default() }
}

impl Overload {
    /// Creates `daemons` daemons in [`OWN_ZONE`], and targets that are not cold.
    pub(crate) fn new(
        tuning: &Tuning,
        daemons: usize,
        targets: Vec<Target>,
        config: Config,
    ) -> Overload {
        let start = Instant::now();
        let mut directory = Directory::new(tuning.clone());
        directory.confirm_config(start);
        let operator = OperatorState {
            revision: 1.into(),
            config: Some(Arc::new(config)),
            ..OperatorState::default()
        };
        directory.apply_operator_state(start, &operator);
        let server = |target: &Target| {
            let server = Server { slots: target.slots as usize, ..Server::default() };
            (cookie(target), server)
        };
        let servers = targets.iter().map(server).collect();
        directory
            .apply_listing(start, Listing { revision: 2.into(), targets, ..Listing::default() });
        let view = Arc::new(directory.view(start));
        let forwarder = |_| {
            let mut forwarder = Forwarder::new(OWN_ZONE.into(), tuning.clone());
            forwarder.set_view(view.clone());
            forwarder.set_zone_daemons(daemons);
            forwarder
        };
        let mut overload = Overload {
            start,
            now: Duration::ZERO,
            forwarders: (0..daemons).map(forwarder).collect(),
            records: BTreeMap::new(),
            servers,
            demands: Vec::new(),
            requests: Vec::new(),
            next_flow: 0,
            agenda: BinaryHeap::new(),
            steps: Vec::new(),
        };
        overload.schedule(SWEEP, Step::Sweep);
        overload
    }

    /// Makes a target reject all further requests.
    pub(crate) fn fill(&mut self, cookie: Cookie) {
        if let Some(server) = self.servers.get_mut(&cookie) {
            server.slots = 0;
        }
    }

    /// Adds requests at a constant rate.
    pub(crate) fn demand(
        &mut self,
        port: u16,
        per_second: f64,
        work: Duration,
        from: Duration,
        until: Duration,
    ) -> &mut Overload {
        self.demands.push(Demand { port, per_second, work, from, until });
        self.records.entry(port).or_default();
        self.schedule(from, Step::Create(self.demands.len() - 1));
        self
    }

    /// Processes all events up to `until`.
    pub(crate) fn run(&mut self, until: Duration) -> &mut Overload {
        while let Some(Reverse((at, step))) = self.agenda.peek().copied()
            && at <= until
        {
            self.agenda.pop();
            self.now = at;
            self.process(self.steps[step]);
        }
        self.now = until;
        self
    }

    pub(crate) fn record(&self, port: u16) -> &Record {
        &self.records[&port]
    }

    /// Returns the sum of the records of all routes, without the times of refusals.
    pub(crate) fn total(&self) -> Record {
        self.records.values().fold(Record::default(), |sum, record| Record {
            requests: sum.requests + record.requests,
            served: sum.served + record.served,
            failed: sum.failed + record.failed,
            arrivals: sum.arrivals + record.arrivals,
            rejected: sum.rejected + record.rejected,
            refusals: [sum.refusals, record.refusals.clone()].concat(),
            wrong_refusals: sum.wrong_refusals + record.wrong_refusals,
        })
    }

    fn schedule(&mut self, at: Duration, step: Step) {
        self.steps.push(step);
        self.agenda.push(Reverse((at, self.steps.len() - 1)));
    }

    fn process(&mut self, step: Step) {
        match step {
            Step::Create(demand) => self.create(demand),
            Step::Open(request) => self.open(request),
            Step::Send(request) => {
                let Request { flow, cookie, .. } = self.requests[request];
                let packet = Packet { acknowledged: 100, length: 50, ..packet(flow, cookie) };
                self.decide(&packet);
                self.schedule(self.now + ROUND_TRIP / 2, Step::Arrive(request));
            }
            Step::Arrive(request) => self.arrive(request),
            Step::Complete(request) => self.complete(request),
            Step::Answer(request, is_rejected) => self.answer(request, is_rejected),
            Step::Sweep => {
                let now = self.start + self.now;
                self.forwarders.iter_mut().for_each(|forwarder| forwarder.sweep(now));
                self.forwarders.iter_mut().for_each(|forwarder| drop(forwarder.take_events()));
                self.schedule(self.now + SWEEP, Step::Sweep);
            }
        }
    }

    fn create(&mut self, demand: usize) {
        let Demand { port, per_second, until, .. } = self.demands[demand];
        let flow = self.new_flow(port, self.requests.len());
        self.requests.push(Request { demand, tries: 0, flow, cookie: 0 });
        self.counts(demand).requests += 1;
        self.open(self.requests.len() - 1);
        let next = self.now + Duration::from_secs_f64(1.0 / per_second);
        if next < until {
            self.schedule(next, Step::Create(demand));
        }
    }

    /// Returns a flow from a new port; a request keeps its caller's address.
    fn new_flow(&mut self, port: u16, request: usize) -> Flow {
        self.next_flow += 1;
        let ip = Ipv4Addr::from_bits(0x6440_0000 + (request % 251) as u32);
        let caller = SocketAddrV4::new(ip, 1024 + (self.next_flow % 60_000) as u16);
        Flow { caller, service: service_address(port) }
    }

    fn open(&mut self, request: usize) {
        let Request { flow, demand, .. } = self.requests[request];
        let opening = Packet { kind: Kind::Open { attempt: 0 }, ..packet(flow, 0) };
        match self.decide(&opening) {
            Verdict::Forward(destination) => {
                self.requests[request].cookie = destination.cookie;
                self.schedule(self.now + ROUND_TRIP, Step::Send(request));
            }
            Verdict::Reset(Reason::NoRoom) => {
                let has_free_slot = self.servers.values().any(|server| server.busy < server.slots);
                let now = self.now;
                let record = self.counts(demand);
                record.refusals.push(now);
                record.wrong_refusals += u32::from(has_free_slot);
                self.retry(request);
            }
            other => panic!("unexpected verdict for an opening packet: {other:?}"),
        }
    }

    fn arrive(&mut self, request: usize) {
        let Request { demand, cookie, .. } = self.requests[request];
        self.counts(demand).arrivals += 1;
        let Some(server) = self.servers.get_mut(&cookie) else {
            return;
        };
        if server.busy < server.slots {
            server.busy += 1;
            self.serve(request);
        } else if server.slots > 0 && server.queue.len() < QUEUE {
            server.queue.push_back(request);
        } else {
            self.counts(demand).rejected += 1;
            self.schedule(self.now + ROUND_TRIP / 2, Step::Answer(request, true));
        }
    }

    fn serve(&mut self, request: usize) {
        let work = self.demands[self.requests[request].demand].work;
        self.schedule(self.now + work, Step::Complete(request));
    }

    fn complete(&mut self, request: usize) {
        self.schedule(self.now + ROUND_TRIP / 2, Step::Answer(request, false));
        let Some(server) = self.servers.get_mut(&self.requests[request].cookie) else {
            return;
        };
        match server.queue.pop_front() {
            Some(next) => self.serve(next),
            None => server.busy = server.busy.saturating_sub(1),
        }
    }

    fn answer(&mut self, request: usize, is_rejected: bool) {
        let Request { flow, cookie, demand, .. } = self.requests[request];
        let bytes = if is_rejected { REJECTION_BYTES } else { ANSWER_BYTES };
        let answered = Packet { sequence: 50, acknowledged: 100 + bytes, ..packet(flow, cookie) };
        self.decide(&answered);
        self.decide(&Packet { kind: Kind::Finish, ..answered });
        if is_rejected {
            self.retry(request);
        } else {
            self.counts(demand).served += 1;
        }
    }

    fn retry(&mut self, request: usize) {
        let Request { demand, tries, .. } = self.requests[request];
        if tries >= RETRIES {
            self.counts(demand).failed += 1;
            return;
        }
        let flow = self.new_flow(self.demands[demand].port, request);
        self.requests[request].tries += 1;
        self.requests[request].flow = flow;
        self.schedule(self.now + ms(5), Step::Open(request));
    }

    fn decide(&mut self, packet: &Packet) -> Verdict {
        let daemon = usize::from(packet.flow.caller.port()) % self.forwarders.len();
        self.forwarders[daemon].decide(self.start + self.now, packet)
    }

    fn counts(&mut self, demand: usize) -> &mut Record {
        self.records.entry(self.demands[demand].port).or_default()
    }
}

fn packet(flow: Flow, cookie: Cookie) -> Packet {
    Packet { flow, kind: Kind::Data, sequence: 0, acknowledged: 0, cookie, length: 0 }
}
