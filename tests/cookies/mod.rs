//! Fixture, targets, configurations and packets for the tests of the cookie forwarder.

#![allow(dead_code)]

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::{Duration, Instant},
};

use banyanwharf::cookie::{
    Availability, CheckOutcome, Config, Cookie, Destination, Directory, Flow, Forwarder, Kind,
    Listing, OperatorState, Packet, Route, Service, Share, Target, Tuning, Verdict,
};

/// The zone of the daemon under test.
pub(crate) const OWN_ZONE: &str = "zone-a";
pub(crate) const OTHER_ZONE: &str = "zone-b";

/// The directory and the forwarder of one daemon on virtual time.
pub(crate) struct DaemonFixture {
    pub(crate) now: Instant,
    pub(crate) tuning: Tuning,
    pub(crate) directory: Directory,
    pub(crate) forwarder: Forwarder,
    pub(crate) revision: u64,
    /// The outcome of all connection checks. Most tests use targets that are down with their host.
    pub(crate) check_outcome: CheckOutcome,
}

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn service_address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

pub(crate) fn flow(number: u32, port: u16) -> Flow {
    let ip = Ipv4Addr::from_bits(0x6440_0000 + (number >> 14));
    let caller = SocketAddrV4::new(ip, 1024 + (number & 0x3fff) as u16);
    Flow { caller, service: service_address(port) }
}

pub(crate) fn target(number: u64, service: &str, zone: &str) -> Target {
    Target {
        name: format!("i-{number:08x}").into(),
        number,
        born: 1_000 + number,
        service: service.into(),
        address: SocketAddrV4::new(Ipv4Addr::from_bits(0x0a80_0000 + number as u32), 8080),
        zone: zone.into(),
        slots: 4,
        availability: Availability::Ready,
        cold_for: Duration::ZERO,
        revision: 1.into(),
    }
}

/// Returns `own` targets of `service` in the daemon's zone and `other` targets in another zone.
pub(crate) fn targets(service: &str, own: u64, other: u64) -> Vec<Target> {
    let zone = |number| if number < own { OWN_ZONE } else { OTHER_ZONE };
    (0..own + other).map(|number| target(number + 1, service, zone(number))).collect()
}

/// Returns a configuration that routes port 1 to the service "web" and port 2 to "files".
pub(crate) fn config(version: u64, cold_rate: f64) -> Config {
    let route = |service: &str| {
        let shares = vec![Share { service: service.into(), weight: 1 }];
        Route { shares, ..Route::default() }
    };
    let service = Service { cold_rate, cold_for: Duration::from_secs(2) };
    Config {
        version,
        revision: version.into(),
        routes: [(service_address(1), route("web")), (service_address(2), route("files"))].into(),
        services: [("web".into(), service.clone()), ("files".into(), service)].into(),
        idle_timeout: Duration::from_secs(15),
    }
}

pub(crate) fn packet(flow: Flow, kind: Kind, cookie: Cookie) -> Packet {
    Packet { flow, kind, sequence: 0, acknowledged: 0, cookie, length: 0 }
}

pub(crate) fn opening_packet(number: u32) -> Packet {
    packet(flow(number, 1), Kind::Open { attempt: 0 }, 0)
}

/// Returns a data packet of a flow with the given sequence number.
pub(crate) fn data_packet(number: u32, cookie: Cookie, sequence: u32) -> Packet {
    Packet {
        sequence,
        acknowledged: 100,
        length: 50,
        ..packet(flow(number, 1), Kind::Data, cookie)
    }
}

pub(crate) fn destination(verdict: Verdict) -> Destination {
    match verdict {
        Verdict::Forward(destination) => destination,
        other => panic!("the packet is not forwarded: {other:?}"),
    }
}

impl DaemonFixture {
    pub(crate) fn new(targets: Vec<Target>) -> DaemonFixture {
        DaemonFixture::with_cold_rate(targets, 0.0)
    }

    pub(crate) fn with_cold_rate(targets: Vec<Target>, cold_rate: f64) -> DaemonFixture {
        DaemonFixture::with_tuning(targets, cold_rate, Tuning::default())
    }

    pub(crate) fn with_tuning(
        targets: Vec<Target>,
        cold_rate: f64,
        tuning: Tuning,
    ) -> DaemonFixture {
        let mut fixture = DaemonFixture {
            now: Instant::now(),
            directory: Directory::new(tuning.clone()),
            forwarder: Forwarder::new(OWN_ZONE.into(), tuning.clone()),
            tuning,
            revision: 1,
            check_outcome: CheckOutcome::Unanswered,
        };
        let config = Some(Arc::new(config(1, cold_rate)));
        fixture.read_operator_state(OperatorState {
            revision: 1.into(),
            config,
            ..OperatorState::default()
        });
        // The daemon has run for longer than the time until missing entries prove anything.
        let empty = Listing { revision: 1.into(), targets: Vec::new(), ..Listing::default() };
        fixture.directory.apply_listing(fixture.now, empty);
        fixture.now += Duration::from_secs(10);
        fixture.directory.confirm_config(fixture.now);
        fixture.read_targets(targets);
        fixture
    }

    /// Starts the daemon again, which then knows nothing but the configuration.
    pub(crate) fn restart(&mut self) {
        let operator = self.directory.operator_state(self.now);
        self.directory = Directory::new(self.tuning.clone());
        self.forwarder = Forwarder::new(OWN_ZONE.into(), self.tuning.clone());
        self.read_operator_state(operator);
    }

    /// Applies a read of the operator state and publishes the view.
    pub(crate) fn read_operator_state(&mut self, operator: OperatorState) {
        self.directory.confirm_config(self.now);
        self.directory.apply_operator_state(self.now, &operator);
        self.publish_view();
    }

    /// Applies a read of the targets at a new store revision and publishes the view.
    pub(crate) fn read_targets(&mut self, targets: Vec<Target>) {
        self.read_entries(targets, Vec::new());
    }

    /// Applies a read of the targets, of which the entries of `unreadable` cannot be decoded.
    pub(crate) fn read_entries(&mut self, targets: Vec<Target>, unreadable: Vec<Arc<str>>) {
        self.revision += 1;
        let listing = Listing { revision: self.revision.into(), targets, unreadable };
        self.directory.apply_listing(self.now, listing);
        self.publish_view();
    }

    /// Reads the present targets once more and publishes the view.
    pub(crate) fn read_again(&mut self) {
        let targets = self.directory.listing().targets;
        self.read_targets(targets);
    }

    /// Records a failed read of the store and publishes the view.
    pub(crate) fn fail_read(&mut self) {
        self.directory.record_failure(self.now);
        self.publish_view();
    }

    pub(crate) fn publish_view(&mut self) {
        self.forwarder.set_view(Arc::new(self.directory.view(self.now)));
    }

    pub(crate) fn advance(&mut self, duration: Duration) -> &mut DaemonFixture {
        self.now += duration;
        self
    }

    pub(crate) fn decide(&mut self, packet: &Packet) -> Verdict {
        let verdict = self.forwarder.decide(self.now, packet);
        self.make_checks();
        verdict
    }

    pub(crate) fn check_unanswered_opens(&mut self) {
        self.forwarder.check_unanswered_opens(self.now);
        self.make_checks();
    }

    fn make_checks(&mut self) {
        for check in self.forwarder.take_checks() {
            self.forwarder.record_check(self.now, &check, self.check_outcome);
        }
    }

    /// Sends the opening packet of a flow and returns its destination.
    pub(crate) fn open(&mut self, number: u32) -> Destination {
        destination(self.decide(&opening_packet(number)))
    }

    /// Opens a flow and sends the acknowledgement that shows that its target has answered.
    pub(crate) fn establish(&mut self, number: u32) -> Destination {
        let destination = self.open(number);
        self.acknowledge(number, destination.cookie, 100);
        destination
    }

    /// Sends an acknowledgement of a flow, which shows that its target has answered.
    pub(crate) fn acknowledge(
        &mut self,
        number: u32,
        cookie: Cookie,
        acknowledged: u32,
    ) -> Verdict {
        let packet = Packet { acknowledged, ..packet(flow(number, 1), Kind::Data, cookie) };
        self.decide(&packet)
    }

    /// Sends a data packet of a flow with the given sequence number.
    pub(crate) fn send_data(&mut self, number: u32, cookie: Cookie, sequence: u32) -> Verdict {
        self.decide(&data_packet(number, cookie, sequence))
    }
}
