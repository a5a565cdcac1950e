//! Injects faults into a fleet of forwarders in memory and prints the broken flows, the memory and
//! the control traffic for each fault.
//!
//! `cargo run --release --example long_run -- --seed 1 --flows 10000 --mode owners`
#![allow(clippy::print_stdout)]

#[path = "../tests/forwarders/mod.rs"]
mod forwarders;

use std::time::Duration;

use banyanwharf::{
    forward::{Config, Mode},
    member,
};
use bpaf::Bpaf;
use forwarders::{Fleet, ZONES};
use rand::RngExt;

/// The arguments.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Seed of all random choices
    #[bpaf(fallback(1), display_fallback)]
    seed: u64,
    /// Number of repetitions of each fault
    #[bpaf(fallback(1), display_fallback)]
    steps: u32,
    /// Number of flows that are open at the time of the fault
    #[bpaf(fallback(2000), display_fallback)]
    flows: usize,
    /// Number of daemons
    #[bpaf(fallback(8), display_fallback)]
    daemons: usize,
    /// Mode: owners, local, single-owner, or all
    #[bpaf(fallback("all".into()), display_fallback)]
    mode: String,
    /// Probability that a frame between daemons is lost
    #[bpaf(fallback(0.0), display_fallback)]
    loss: f64,
    /// Only run the fault whose name contains this text
    #[bpaf(fallback(String::new()))]
    fault: String,
    /// Print what happened to each broken flow
    verbose: bool,
}

/// The name of a fault and the function that injects it.
type Fault = (&'static str, fn(&mut Fleet));

const FAULTS: [Fault; 9] = [
    ("no fault", |fleet| fleet.run(Duration::from_secs(30))),
    ("target set change", |fleet| fleet.change_targets(4)),
    ("target and daemon change", |fleet| {
        fleet.change_targets(4);
        stop_one(fleet);
        fleet.join(ZONES[0]);
    }),
    ("one daemon loss", crash_one),
    ("two daemon losses, 60 s apart", |fleet| {
        crash_one(fleet);
        fleet.run(Duration::from_secs(60));
        crash_one(fleet);
    }),
    ("two daemon losses, 5 s apart", |fleet| {
        crash_one(fleet);
        fleet.run(Duration::from_secs(5));
        crash_one(fleet);
    }),
    ("rolling replacement", |fleet| {
        for id in ids(fleet) {
            let zone = fleet.daemons[&id].zone.clone();
            fleet.stop(id);
            fleet.join(&zone);
            fleet.open_many(50, Duration::from_secs(15), 12);
        }
    }),
    ("partition and merge", |fleet| {
        fleet.partition(&ZONES[..1]);
        fleet.open_many(200, Duration::from_secs(40), 12);
        fleet.partition(&[]);
    }),
    ("loss of a zone's daemons", |fleet| {
        for id in ids(fleet) {
            if *fleet.daemons[&id].zone == *ZONES[0] {
                fleet.crash(id);
            }
        }
    }),
];

fn main() {
    let options = options().run();
    let modes = match options.mode.as_str() {
        "owners" => vec![Mode::Owners],
        "local" => vec![Mode::Local],
        "single-owner" => vec![Mode::SingleOwner],
        _ => vec![Mode::Owners, Mode::Local, Mode::SingleOwner],
    };
    println!("seed {}, {} flows, {} daemons", options.seed, options.flows, options.daemons);
    println!(
        "{:30} {:12} {:>7} {:>7} {:>7} {:>8} {:>9} {:>9} {:>11}",
        "fault",
        "mode",
        "flows",
        "broken",
        "unopen",
        "hops/pkt",
        "B/record",
        "B/cached",
        "control B/s"
    );
    let selected = FAULTS.iter().filter(|(name, _)| name.contains(&options.fault));
    for (name, fault) in selected {
        for mode in &modes {
            for step in 0..options.steps {
                run(&options, options.seed + u64::from(step), *mode, name, *fault);
            }
        }
    }
}

fn run(options: &Options, seed: u64, mode: Mode, name: &str, fault: fn(&mut Fleet)) {
    let config = Config { mode, ..Config::default() };
    let mut fleet = Fleet::new(seed, options.daemons, config);
    fleet.loss = options.loss;
    fleet.open_many(options.flows, Duration::from_secs(20), 12);
    fleet.run(Duration::from_secs(10));
    let open = fleet.count_open();
    fault(&mut fleet);
    let records: usize = fleet.daemons.values().map(|daemon| daemon.forwarder.table().len()).sum();
    let cached: usize = fleet.daemons.values().map(|daemon| daemon.forwarder.cache().len()).sum();
    let memory: usize =
        fleet.daemons.values().map(|daemon| daemon.forwarder.table().allocated_bytes()).sum();
    let cache: usize =
        fleet.daemons.values().map(|daemon| daemon.forwarder.cache().allocated_bytes()).sum();
    fleet.run(Duration::from_secs(400));
    let packets = fleet.total(|counters| counters.datagrams).max(1) as f64;
    let time = (fleet.now - fleet.start).as_secs_f64() * options.daemons as f64;
    println!(
        "{name:30} {:12} {open:7} {:7} {:7} {:8.3} {:9.1} {:9.1} {:11.1}",
        format!("{mode:?}"),
        fleet.findings.broken,
        fleet.findings.unopened,
        fleet.total(|counters| counters.hops) as f64 / packets,
        memory as f64 / records.max(1) as f64,
        cache as f64 / cached.max(1) as f64,
        fleet.total(|counters| counters.control_bytes) as f64 / time,
    );
    if options.verbose {
        println!("{:?} open at the end, {:?}", fleet.count_open(), fleet.findings);
        for daemon in fleet.daemons.values() {
            println!("{:?}", daemon.forwarder.counters());
        }
    }
}

fn ids(fleet: &Fleet) -> Vec<member::Id> {
    fleet.daemons.keys().copied().collect()
}

fn crash_one(fleet: &mut Fleet) {
    let ids = ids(fleet);
    let index = fleet.rng.random_range(0..ids.len());
    fleet.crash(ids[index]);
}

fn stop_one(fleet: &mut Fleet) {
    let ids = ids(fleet);
    let index = fleet.rng.random_range(0..ids.len());
    fleet.stop(ids[index]);
}
