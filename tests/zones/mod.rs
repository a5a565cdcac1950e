//! The daemons of one zone that exchange reports about targets, in virtual time and with the frames
//! of the wire.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use banyanwharf::{
    cookie::{
        Cookie,
        work::{FRAME_BYTES, Publisher, REPORT_BYTES, Report, ReportTable},
    },
    wire::{Body, Frame, Keyring, TargetReport},
};
use rand::{RngExt as _, SeedableRng as _, seq::IteratorRandom as _};
use rand_pcg::Pcg64;

/// The length of the headers of IPv4 and UDP in bytes.
const HEADER_BYTES: usize = 28;

/// The interval at which the packet loop publishes reports.
const TICK: Duration = Duration::from_millis(100);

/// The age up to which an estimator reports an observation.
const OBSERVATION_LIFETIME: Duration = Duration::from_secs(2);

/// Returns a report of age 0 about a target that takes `delay_factor` times as long as usual.
pub(crate) fn slow(cookie: Cookie, delay_factor: f32) -> Report {
    Report { cookie, delay_factor, is_rejecting: false, age: Duration::ZERO }
}

/// One daemon of the zone.
pub(crate) struct Daemon {
    publisher: Publisher,
    pub(crate) table: ReportTable,
    /// The last observation of each target, which stands in for the estimator.
    observations: HashMap<Cookie, (Instant, Report)>,
    /// The bytes of the frames sent, with the headers of IP and UDP.
    pub(crate) bytes_sent: usize,
}

impl Daemon {
    fn own_reports(&mut self, now: Instant) -> Vec<Report> {
        self.observations.retain(|_, (at, _)| now.duration_since(*at) < OBSERVATION_LIFETIME);
        let observations = self.observations.values();
        observations.map(|(at, report)| Report { age: now - *at, ..*report }).collect()
    }
}

/// The daemons of a zone.
pub(crate) struct Zone {
    now: Instant,
    pub(crate) daemons: Vec<Daemon>,
    keyring: Keyring,
    random: Pcg64,
    /// The share of the frames that are lost, in percent.
    pub(crate) loss_percent: u32,
    /// Whether daemons with even and odd numbers do not reach each other.
    pub(crate) is_partitioned: bool,
}

impl Zone {
    pub(crate) fn new(daemons: usize, targets: Cookie) -> Zone {
        let now = Instant::now();
        let daemon = |_| {
            let mut table = ReportTable::new();
            table.set_targets(now, 0..targets);
            let publisher = Publisher::new(now);
            Daemon { publisher, table, observations: HashMap::new(), bytes_sent: 0 }
        };
        Zone {
            now,
            daemons: (0..daemons).map(daemon).collect(),
            keyring: Keyring::new([(1, [7; 32])]).expect("the keyring has a key"),
            random: Pcg64::seed_from_u64(1),
            loss_percent: 0,
            is_partitioned: false,
        }
    }

    pub(crate) fn random(&mut self, below: u32) -> u32 {
        self.random.random_range(0..below)
    }

    pub(crate) fn random_daemon(&mut self) -> usize {
        self.random.random_range(0..self.daemons.len())
    }

    /// Records an observation of a daemon that is made now.
    pub(crate) fn observe(&mut self, daemon: usize, report: Report) {
        self.daemons[daemon].observations.insert(report.cookie, (self.now, report));
    }

    /// Lets 100 ms pass and every daemon publish its reports.
    pub(crate) fn tick(&mut self) {
        self.now += TICK;
        let count = self.daemons.len();
        for sender in 0..count {
            let daemon = &mut self.daemons[sender];
            let reports = daemon.own_reports(self.now);
            let Some(batch) = daemon.publisher.publish(self.now, &reports, count - 1) else {
                continue;
            };
            let others = (0..count).filter(|other| *other != sender);
            for receiver in others.sample(&mut self.random, batch.peers) {
                self.send(sender, receiver, &batch.reports_at(self.now));
            }
        }
    }

    fn send(&mut self, sender: usize, receiver: usize, reports: &[Report]) {
        let encoded = reports.iter().copied().map(TargetReport::from).collect();
        let body = Body::TargetReports(encoded);
        let mut buffer = Vec::new();
        Frame { sender: sender as u64, body, packet: &[] }
            .encode(&self.keyring, &mut buffer)
            .expect("the frame is short");
        let bytes = buffer.len() + HEADER_BYTES;
        assert_eq!(bytes, FRAME_BYTES + REPORT_BYTES * reports.len());
        self.daemons[sender].bytes_sent += bytes;
        let is_cut = self.is_partitioned && sender % 2 != receiver % 2;
        if is_cut || self.random(100) < self.loss_percent {
            return;
        }
        let frame = Frame::decode(&buffer, &self.keyring).expect("the frame is complete");
        let Body::TargetReports(received) = frame.body else { panic!("the body has changed") };
        let received: Vec<Report> = received.into_iter().map(Report::from).collect();
        let table = &mut self.daemons[receiver].table;
        table.record(self.now, frame.sender, &received);
        table.refresh(self.now);
    }

    /// Returns the factor of a target at a daemon without own observations.
    pub(crate) fn factor(&self, daemon: usize, cookie: Cookie) -> f64 {
        self.daemons[daemon].table.factor(self.now, cookie, 0.0)
    }

    /// Returns the number of daemons whose reports demote a target.
    pub(crate) fn informed(&self, cookie: Cookie) -> usize {
        (0..self.daemons.len()).filter(|daemon| self.factor(*daemon, cookie) > 1.2).count()
    }

    /// Returns the number of daemons that have seen a target themselves, according to `seen`, or
    /// whose reports demote it.
    pub(crate) fn knowing(&self, cookie: Cookie, seen: &[bool]) -> usize {
        let knows = |daemon: &usize| seen[*daemon] || self.factor(*daemon, cookie) > 1.2;
        (0..self.daemons.len()).filter(knows).count()
    }
}
