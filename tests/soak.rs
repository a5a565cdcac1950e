//! Injects random faults into a fleet in gateway mode and checks that its promises hold.
//!
//! The promises are the guarantees whose violations callers and targets can observe, for example
//! that a draining target gets no new flow after 3 s.
//!
//! Daemons, their connections, the store and targets fail one after the other and at the same time.
//! A seed determines the plan of a run. Two runs of the same plan differ slightly, because the
//! timing of the processes differs. `SOAK_AT_ONCE` sets the number of runs at the same time. To run
//! many seeds:
//! `SOAK_SEED=1000 SOAK_RUNS=50 cargo test --release --test soak -- --ignored --nocapture`.

#![allow(dead_code, clippy::print_stdout)]

mod gateways;
mod soaks;

use std::{
    env,
    net::{Ipv4Addr, UdpSocket},
    sync::{
        LazyLock,
        atomic::{AtomicU16, Ordering},
    },
    time::Duration,
};

use soaks::{
    fleet::{Fleet, Habits, STANDARD, Setup},
    plan::{Action, plan},
    testbed,
};
use tempfile::TempDir;
use tokio::{runtime::Runtime, task::JoinSet};

/// The first port of all runs.
const FIRST_PORT: u16 = 14_000;
/// The number of ports of a run.
const PORTS_PER_RUN: u16 = 10;
/// The number of ports of a test process. Several test processes may run at the same time.
const PORTS_PER_PROCESS: u16 = 800;

/// The number of blocks of ports.
const PORT_BLOCKS: u16 = 8;
/// The address at which a test process holds the first port of its block. No run uses the address.
const PORT_BLOCK_HOLDER: Ipv4Addr = Ipv4Addr::new(127, 0, 10, 1);

/// The offset of the next run's ports. The tests of one process run at the same time.
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// The socket that holds the block of ports of this process, and the first port of the block.
static PORT_BLOCK: LazyLock<(UdpSocket, u16)> = LazyLock::new(|| {
    let mut first_ports = (0..PORT_BLOCKS).map(|block| FIRST_PORT + block * PORTS_PER_PROCESS);
    let hold = |port| UdpSocket::bind((PORT_BLOCK_HOLDER, port)).ok().map(|socket| (socket, port));
    first_ports.find_map(hold).expect("a block of ports is free")
});

fn allocate_ports() -> u16 {
    PORT_BLOCK.1 + NEXT_PORT_OFFSET.fetch_add(PORTS_PER_RUN, Ordering::Relaxed) % PORTS_PER_PROCESS
}

/// The default limit of concurrent runs; each run has five daemons.
const DEFAULT_CONCURRENT_RUNS: u64 = 3;

/// Plans that once broke a promise, with the cause. Each is reduced to the actions that reproduce
/// the failure. Each entry is the time of an action in milliseconds after the start of the run, and
/// the action; the number in an action is the daemon's. The actions are stored instead of the
/// seeds, since a seed gives another plan when the generation of plans changes.
const FAILED: [(&str, &[(u64, Action)]); 3] = [
    (
        "a second SIGTERM ended a daemon that was stopping",
        &[
            (2000, Action::Stop(2)),
            (2400, Action::Stop(2)),
            (2500, Action::Stop(5)),
            (2600, Action::Stop(5)),
        ],
    ),
    (
        "a daemon that started while the store was down took the targets of a returned zone for warm",
        &[
            (1000, Action::EvacuateZone("zone-c", Duration::from_millis(7200))),
            (6400, Action::Stop(5)),
            (
                8300,
                Action::StoreDown {
                    duration: Duration::from_millis(2700),
                    is_silent: false,
                    entries_lapse: true,
                },
            ),
        ],
    ),
    (
        "a follower took entries that lapsed in an outage of the store for ended targets",
        &[(
            4000,
            Action::StoreDown {
                duration: Duration::from_millis(1761),
                is_silent: true,
                entries_lapse: true,
            },
        )],
    ),
];

/// Name for reports, seed, setup and plan of a run. The seed determines the random choices that the
/// plan leaves open.
type Run = (String, u64, Setup, Vec<(Duration, Action)>);

/// Executes `runs`, at most `max_concurrent_runs` at a time.
///
/// # Panics
///
/// Panics if a run broke a promise.
async fn run_concurrently(runs: Vec<Run>, max_concurrent_runs: u64) {
    let mut running = JoinSet::new();
    let mut failed = Vec::new();
    let mut waiting = runs.into_iter();
    loop {
        while (running.len() as u64) < max_concurrent_runs
            && let Some((name, seed, setup, plan)) = waiting.next()
        {
            running.spawn(async move {
                let folder = TempDir::new().expect("the temporary folder is created");
                (
                    name,
                    testbed::run(seed, setup, plan, folder.path(), allocate_ports()).await,
                    folder,
                )
            });
        }
        let Some(result) = running.join_next().await else { break };
        let (name, report, mut folder) = result.expect("no run panics");
        println!("{name}: {} broken, {}", report.violations.len(), report.summary);
        report.delays.iter().for_each(|delay| println!("{name}: {delay}"));
        if !report.violations.is_empty() || !report.delays.is_empty() {
            folder.disable_cleanup(true);
            println!("{}\nlogs are in {}", report.history, folder.path().display());
        }
        if !report.violations.is_empty() {
            failed.push(name);
        }
    }
    assert!(failed.is_empty(), "promises were broken in {failed:?}");
}

fn run_all(runs: Vec<Run>, max_concurrent_runs: u64) {
    let runtime = Runtime::new().expect("the runtime starts");
    runtime.block_on(run_concurrently(runs, max_concurrent_runs));
}

fn random_run(seed: u64, setup: Setup) -> Run {
    let plan = plan(seed, &setup);
    (format!("seed {seed}"), seed, setup, plan)
}

fn standard_setup() -> Setup {
    Setup { fleet: STANDARD, habits: Habits::default() }
}

/// Guards against broken promises while several faults overlap.
#[test]
fn promises_hold_under_faults() {
    run_all(vec![random_run(1, standard_setup())], 1);
}

/// Guards against the return of failures that earlier runs have found.
#[test]
fn plans_that_failed_hold() {
    let runs = FAILED.iter().map(|(cause, actions)| {
        let actions =
            actions.iter().map(|(at, action)| (Duration::from_millis(*at), action.clone()));
        ((*cause).to_owned(), 0, standard_setup(), actions.collect())
    });
    run_all(runs.collect(), DEFAULT_CONCURRENT_RUNS);
}

/// Executes `SOAK_RUNS` runs (10 by default) with the seeds from `SOAK_SEED` on, or from a random
/// seed. At most `SOAK_AT_ONCE` runs execute at the same time. `SOAK_FLEET` selects the fleet,
/// `SOAK_DAEMON` the daemon program; see [`Habits::from_env`] for the other variables.
#[test]
#[ignore = "takes minutes"]
fn soak() {
    let parse_variable = |name| env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = parse_variable("SOAK_SEED").unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let runs = parse_variable("SOAK_RUNS").unwrap_or(10);
    let max_concurrent_runs = parse_variable("SOAK_AT_ONCE").unwrap_or(DEFAULT_CONCURRENT_RUNS);
    let setup = Setup { fleet: Fleet::from_env(), habits: Habits::from_env() };
    let runs = (first..first + runs).map(|seed| random_run(seed, setup.clone()));
    run_all(runs.collect(), max_concurrent_runs);
}
