//! Measures how the costs of the failure detector and of the ranking grow with the number of
//! daemons.
//!
//! All daemons run in this process on virtual time. Bytes are the encoded frames without IP and
//! UDP headers. CPU time covers the decision code only, not sockets and encoding.

#[path = "../tests/detectors/mod.rs"]
mod detectors;
#[path = "support/plot.rs"]
mod plot;

use std::{
    collections::HashSet,
    fs,
    hint::black_box,
    io::{self, Write as _},
    path::PathBuf,
    time::{Duration, Instant},
};

use banyanwharf::member::{Ranking, Snapshot, SnapshotMember, Status, View};
use bpaf::Bpaf;
use comfy_table::Table;
use detectors::Fleet;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The status changes per day at the design size of 1,100 daemons.
const STATUS_CHANGES_PER_DAY: f64 = 4200.0;

/// The status changes of a planned restart: leaving, left, alive.
const STATUS_CHANGES_PER_RESTART: f64 = 3.0;

/// The time that the fleet runs before the first measurement.
const WARM_UP: Duration = Duration::from_secs(60);

/// The maximum time to wait until all daemons know a change.
const MAX_WAIT: Duration = Duration::from_secs(300);

/// Measures the cost of the failure detector and of the ranking.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Seed of all random choices
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Numbers of daemons, separated by commas
    #[bpaf(argument("LIST"), fallback("16,64,256,1100".to_owned()), display_fallback)]
    sizes: String,
    /// Virtual seconds under the design rate of changes
    #[bpaf(argument("SECONDS"), fallback(250), display_fallback)]
    seconds: u64,
    /// Trials of each kind of change
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    trials: usize,
    /// Where to write the figures as CSV
    #[bpaf(argument("PATH"))]
    csv: Option<PathBuf>,
    /// Where to draw the figures as SVG
    #[bpaf(argument("PATH"))]
    svg: Option<PathBuf>,
}

const COLUMNS: [&str; 19] = [
    "members",
    "idle_sent_bytes_per_s",
    "sent_bytes_per_s",
    "received_bytes_per_s",
    "worst_sent_bytes_per_s",
    "largest_frame_bytes",
    "cpu_us_per_daemon_s",
    "bytes_per_member",
    "crash_unranked_mean_s",
    "crash_unranked_max_s",
    "crash_failed_max_s",
    "leave_mean_s",
    "leave_max_s",
    "merge_s",
    "zone_loss_most_s",
    "zone_loss_s",
    "rank_full_us",
    "rank_lost_us",
    "rank_gained_us",
];

fn main() -> io::Result<()> {
    let options = options().run();
    let mut table = Table::new();
    table.set_header(COLUMNS.map(|column| column.replace('_', " ")));
    let mut csv = COLUMNS.join(",") + "\n";
    // All fleets are kept: memory that one fleet frees would hide the memory use of the next.
    let mut fleets = Vec::new();
    for size in options.sizes.split(',') {
        let size = size.trim().parse().map_err(io::Error::other)?;
        let (fleet, row) = measure(size, &options);
        fleets.push(fleet);
        table.add_row(&row);
        csv += &(row.join(",") + "\n");
    }
    writeln!(io::stdout(), "seed {}\n{table}", options.seed)?;
    if let Some(path) = &options.csv {
        fs::write(path, &csv)?;
    }
    if let Some(path) = &options.svg {
        let names = ["sent_bytes_per_s", "cpu_us_per_daemon_s", "crash_failed_max_s"];
        let lines = plot::read_lines(&csv, &names);
        let budgets = [
            ("2,048 bytes/s", 2048.0),
            ("3.2% of a core, in us/s", 32_000.0),
            ("19 s until a change is in force", 19.0),
        ];
        plot::write(path, "failure detector", "daemons", &lines, &budgets)
            .map_err(|error| io::Error::other(error.to_string()))?;
    }
    Ok(())
}

fn measure(size: usize, options: &Options) -> (Fleet, Vec<String>) {
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let zones = if size < 512 { 4 } else { 13 };
    let before = resident_bytes();
    let mut fleet = start_converged(size, zones, options.seed);
    let memory = resident_bytes().saturating_sub(before) as f64 / (size * size) as f64;

    fleet.run(WARM_UP);
    let (idle, ..) = traffic(&mut fleet, 60, |_| {});
    fleet.detector_time = Duration::ZERO;
    let interval = (86_400.0 * STATUS_CHANGES_PER_RESTART / STATUS_CHANGES_PER_DAY) as u64;
    let mut restarting = 0;
    let mut elapsed = 0;
    let (sent, received, worst) = traffic(&mut fleet, options.seconds, |fleet| {
        let now = fleet.now;
        match elapsed % interval {
            // No restart begins in the last 20 s, so that the last one ends within the time.
            0 if elapsed + 20 <= options.seconds => {
                restarting = rng.random_range(0..size);
                fleet.with_detector(restarting, |detector| detector.announce_leaving(now));
            }
            5 => fleet.with_detector(restarting, |detector| detector.announce_left(now)),
            10 if fleet.daemons[restarting].detector.is_none() => {
                rejoin(fleet, restarting, &mut rng);
            }
            _ => {}
        }
        elapsed += 1;
    });
    let cpu = fleet.detector_time.as_secs_f64() * 1e6 / (size as f64 * options.seconds as f64);
    fleet.measures_time = false;
    // A daemon may still be down because of the last restart.
    for index in 0..size {
        if fleet.daemons[index].detector.is_none() {
            rejoin(&mut fleet, index, &mut rng);
        }
    }
    fleet.run(Duration::from_secs(20));

    let mut unranked = Vec::new();
    let mut failed = Vec::new();
    let mut left = Vec::new();
    for _ in 0..options.trials {
        let index = rng.random_range(0..size);
        let id = fleet.id(index);
        fleet.crash(index);
        let live = [Status::Alive, Status::Leaving];
        unranked.push(seconds_until(&mut fleet, |f| f.count_with_status(id, &live) == 0));
        let all = size - 1;
        let rest = seconds_until(&mut fleet, |f| f.count_with_status(id, &[Status::Failed]) == all);
        failed.push(unranked.last().copied().unwrap_or_default() + rest);
        rejoin(&mut fleet, index, &mut rng);
        fleet.run(Duration::from_secs(20));

        let index = rng.random_range(0..size);
        let id = fleet.id(index);
        let now = fleet.now;
        fleet.with_detector(index, |detector| detector.announce_leaving(now));
        left.push(seconds_until(&mut fleet, |f| f.count_with_status(id, &[Status::Alive]) == 0));
        fleet.crash(index);
        rejoin(&mut fleet, index, &mut rng);
        fleet.run(Duration::from_secs(20));
    }
    let merge = heal_partition(&mut fleet);
    let view = fleet.detector(0).view().clone();
    let (most, all) = zone_loss(&mut fleet);
    let (full, lost, gained) = time_ranking(&view);
    let largest = fleet.daemons.iter().map(|d| d.largest_frame_bytes).max().unwrap_or(0);
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
    let max = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    let mut row = vec![size.to_string()];
    row.extend([idle, sent, received, worst].map(|bytes| format!("{bytes:.0}")));
    row.push(largest.to_string());
    row.extend([cpu, memory].map(|value| format!("{value:.1}")));
    row.extend([mean(&unranked), max(&unranked), max(&failed)].map(|s| format!("{s:.1}")));
    row.extend([mean(&left), max(&left), merge, most, all].map(|s| format!("{s:.1}")));
    row.extend([full, lost, gained].map(|time| format!("{:.0}", time.as_secs_f64() * 1e6)));
    (fleet, row)
}

/// Starts a fleet in which each daemon has a complete view of the others.
fn start_converged(size: usize, zones: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, zones, seed);
    fleet.measures_time = true;
    for index in 0..size {
        fleet.start(index);
    }
    let members = (0..size).map(|index| SnapshotMember {
        info: fleet.daemons[index].info.clone(),
        incarnation: 1_790_000_000_000,
        status: Status::Alive,
        age_ms: 0,
    });
    let members = members.collect();
    let encoded = postcard::to_stdvec(&Snapshot { members }).expect("a snapshot can be encoded");
    let now = fleet.now;
    for index in 0..size {
        // Each daemon decodes the snapshot, so that names are not shared, as in separate processes.
        let snapshot = postcard::from_bytes(&encoded).expect("the snapshot was just encoded");
        fleet.with_detector(index, |detector| {
            detector.set_contacts(now, []);
            detector.merge_snapshot(now, snapshot);
        });
    }
    fleet
}

/// Runs the fleet for `seconds`. Returns the mean bytes that a daemon sends and receives per
/// second, and the most bytes that a daemon sent in one second.
fn traffic(
    fleet: &mut Fleet,
    seconds: u64,
    mut each_second: impl FnMut(&mut Fleet),
) -> (f64, f64, f64) {
    let sum = |fleet: &Fleet| {
        let sent: u64 = fleet.daemons.iter().map(|d| d.sent_bytes).sum();
        let received: u64 = fleet.daemons.iter().map(|d| d.received_bytes).sum();
        (sent, received)
    };
    let before = sum(fleet);
    let mut worst = 0;
    for _ in 0..seconds {
        let old: Vec<u64> = fleet.daemons.iter().map(|d| d.sent_bytes).collect();
        each_second(fleet);
        fleet.run(Duration::from_secs(1));
        let most = old.iter().zip(&fleet.daemons).map(|(old, d)| d.sent_bytes - old).max();
        worst = worst.max(most.unwrap_or(0));
    }
    let after = sum(fleet);
    let daemon_seconds = (fleet.daemons.len() as u64 * seconds) as f64;
    (
        (after.0 - before.0) as f64 / daemon_seconds,
        (after.1 - before.1) as f64 / daemon_seconds,
        worst as f64,
    )
}

fn rejoin(fleet: &mut Fleet, index: usize, rng: &mut Pcg64Mcg) {
    let running = fleet.running();
    let peer = running[rng.random_range(0..running.len())];
    fleet.join(index, peer);
}

/// Runs the fleet until `done` returns `true`, at most for [`MAX_WAIT`], and returns the virtual
/// seconds that this took.
fn seconds_until(fleet: &mut Fleet, done: impl Fn(&Fleet) -> bool) -> f64 {
    let started = fleet.now;
    while !done(fleet) && fleet.now - started < MAX_WAIT {
        fleet.run(Duration::from_millis(100));
    }
    (fleet.now - started).as_secs_f64()
}

/// Partitions one zone from the others for 60 s. Returns the seconds from the end of the partition
/// until each daemon considers all others alive.
fn heal_partition(fleet: &mut Fleet) -> f64 {
    let zone = fleet.zone(0);
    for daemon in &mut fleet.daemons {
        daemon.side = u8::from(daemon.info.zone == zone);
    }
    fleet.run(Duration::from_secs(60));
    fleet.daemons.iter_mut().for_each(|daemon| daemon.side = 0);
    seconds_until(fleet, |fleet| {
        (0..fleet.daemons.len()).all(|index| {
            let mut members = fleet.detector(index).view().iter();
            members.all(|(_, member)| member.status == Status::Alive)
        })
    })
}

/// Crashes all daemons of a zone. A failure is detected once for each pair of a running and a
/// crashed daemon. Returns the seconds until 99% of the pairs are detected, and until all are.
fn zone_loss(fleet: &mut Fleet) -> (f64, f64) {
    let zone = fleet.zone(0);
    let (lost, kept): (Vec<usize>, Vec<usize>) =
        (0..fleet.daemons.len()).partition(|index| fleet.zone(*index) == zone);
    lost.iter().for_each(|index| fleet.crash(*index));
    let unknown = |fleet: &Fleet| {
        let of = |index: &usize| {
            let members = fleet.detector(*index).view().iter();
            members.filter(|(_, m)| m.status == Status::Alive && m.info.zone == zone).count()
        };
        kept.iter().map(of).sum::<usize>()
    };
    let most = seconds_until(fleet, |fleet| 100 * unknown(fleet) <= lost.len() * kept.len());
    (most, most + seconds_until(fleet, |fleet| unknown(fleet) == 0))
}

/// Returns the CPU times of a full ranking, and of an update after the loss and the join of a
/// member.
fn time_ranking(view: &View) -> (Duration, Duration, Duration) {
    let none = HashSet::new();
    let now = Instant::now();
    let started = Instant::now();
    let mut ranking = Ranking::new(view, "montevideo", &none);
    let full = started.elapsed();
    let mut view = view.clone();
    let members: Vec<_> = view.iter().map(|(id, _)| id).take(16).collect();
    let (mut lost, mut gained) = (Duration::ZERO, Duration::ZERO);
    for id in &members {
        let Some(member) = view.remove(*id) else {
            continue;
        };
        let started = Instant::now();
        black_box(ranking.update(now, &view, "montevideo", &none));
        lost += started.elapsed();
        view.insert(member);
        let started = Instant::now();
        black_box(ranking.update(now, &view, "montevideo", &none));
        gained += started.elapsed();
    }
    let count = members.len().max(1) as u32;
    (full, lost / count, gained / count)
}

/// Returns the resident memory of this process.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}
