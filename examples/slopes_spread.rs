//! Measures how the cost of the dissemination of tickets grows with the number of daemons.
//!
//! The daemons run in memory in virtual time. Only the CPU time is measured as wall-clock time.
//! Control bytes are the bytes of encoded frames with IP and UDP headers.

use std::{
    fmt::Write as _,
    fs,
    ops::Range,
    path::PathBuf,
    time::{Duration, Instant},
};

use banyanwharf::{
    flow::Fingerprint,
    route::{Compiler, Generation},
    ticket::{self, Number, State, Ticket},
};
use bpaf::Bpaf;
use comfy_table::Table;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use serde_json::value::to_raw_value;
use spreaders::{Fleet, Network};

#[path = "support/plot.rs"]
mod plot;
#[path = "../tests/spreaders/mod.rs"]
mod spreaders;

/// The number of zones at the design size.
const ZONES: usize = 13;

const SERVICES: usize = 3_300;
const TARGETS: usize = 9_400;

/// The number of tickets for which a run measures the time until they are in force.
const TICKET_COUNT: u64 = 20;

/// The number of copies of the state and of the route table over which memory is averaged.
const COPIES: u32 = 5;

/// The time between two tickets at 1,300 tickets per day.
const TICKET_INTERVAL: Duration = Duration::from_millis(66_462);

/// Measures how the dissemination of tickets grows with the number of daemons.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Seed of all random choices
    #[bpaf(fallback(1), display_fallback)]
    seed: u64,
    /// Share of messages that the network loses
    #[bpaf(fallback(0.01), display_fallback)]
    loss: f64,
    /// Numbers of daemons, separated by commas
    #[bpaf(fallback(String::from("4,16,64,256,1100")), display_fallback)]
    daemons: String,
    /// File for the figures as CSV
    csv: Option<PathBuf>,
    /// Where to draw the figures as SVG
    #[bpaf(argument("PATH"))]
    svg: Option<PathBuf>,
}

/// The figures for one number of daemons.
#[derive(Debug, Default)]
struct Row {
    daemons: usize,
    in_force_median_s: f64,
    in_force_max_s: f64,
    bytes_per_daemon_s: f64,
    bytes_busiest_daemon_s: f64,
    bytes_idle_per_daemon_s: f64,
    platform_calls_s: f64,
    cpu_share: f64,
}

/// Returns a ticket that sets a service with its share of the targets at the design size.
fn ticket(number: Number, service: usize) -> Ticket {
    let first = service * TARGETS / SERVICES;
    let last = (service + 1) * TARGETS / SERVICES;
    ticket_with(number, service, first..last)
}

fn ticket_with(number: Number, service: usize, targets: Range<usize>) -> Ticket {
    let targets: Vec<_> = targets
        .map(|index| {
            let [_, high, middle, low] = (index as u32).to_be_bytes();
            let address = format!("10.{high}.{middle}.{low}");
            serde_json::json!({
                "name": format!("target-{index}"), "zone": format!("zone-{}", index % ZONES),
                "address": format!("{address}:6080"), "weight": 1 + number % 100,
                "health": format!("http://{address}:8080/health"),
                "load": format!("http://{address}:8080/load"),
            })
        })
        .collect();
    let [high, low] = (service as u16).to_be_bytes();
    let text = serde_json::json!({ "number": number, "services": [{
        "name": format!("service-{service}"), "targets": targets,
        "addresses": [{ "protocol": "tcp", "address": format!("172.16.{high}.{low}:443") }],
    }] });
    ticket::parse("ticket", &text.to_string()).expect("the ticket is valid")
}

fn sent_bytes(fleet: &Fleet) -> Vec<u64> {
    fleet.nodes.iter().map(|node| node.disseminator.counters().sent_bytes).collect()
}

fn total_busy_seconds(fleet: &Fleet) -> f64 {
    fleet.nodes.iter().map(|node| node.spread_time.as_secs_f64()).sum()
}

/// Measures the dissemination while tickets are published at the design rate, and the traffic
/// without tickets afterwards.
fn measure(seed: u64, loss: f64, daemons: usize) -> Row {
    let network = Network { loss, duplicates: 0.0, max_delay: Duration::from_millis(40) };
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = Fleet::new(seed, daemons, ZONES.min(daemons.div_ceil(2)), network);
    fleet.run(Duration::from_secs(10), |_| false);
    let mut times: Vec<f64> = Vec::new();
    let (before, calls, cpu, start) =
        (sent_bytes(&fleet), fleet.platform_reads, total_busy_seconds(&fleet), fleet.now);
    for number in 1..=TICKET_COUNT {
        let published = fleet.now;
        fleet.platform.push(ticket(number, rng.random_range(0..SERVICES)));
        fleet.run(TICKET_INTERVAL, |_| false);
        let in_force = fleet.nodes.iter().map(|node| {
            let at = node.in_force_at.get(&number).expect("the ticket is in force everywhere");
            at.duration_since(published).as_secs_f64()
        });
        times.push(in_force.fold(0.0, f64::max));
    }
    times.sort_by(f64::total_cmp);
    let seconds = fleet.now.duration_since(start).as_secs_f64();
    let bytes: Vec<f64> = sent_bytes(&fleet)
        .iter()
        .zip(&before)
        .map(|(after, before)| (after - before) as f64)
        .collect();
    let mut row = Row {
        daemons,
        in_force_median_s: times[times.len() / 2],
        in_force_max_s: times[times.len() - 1],
        bytes_per_daemon_s: bytes.iter().sum::<f64>() / seconds / daemons as f64,
        bytes_busiest_daemon_s: bytes.iter().copied().fold(0.0, f64::max) / seconds,
        platform_calls_s: (fleet.platform_reads - calls) as f64 / seconds,
        cpu_share: (total_busy_seconds(&fleet) - cpu) / seconds / daemons as f64,
        bytes_idle_per_daemon_s: 0.0,
    };
    let idle = Duration::from_secs(120);
    let before: u64 = sent_bytes(&fleet).iter().sum();
    fleet.run(idle, |_| false);
    let after: u64 = sent_bytes(&fleet).iter().sum();
    row.bytes_idle_per_daemon_s = (after - before) as f64 / idle.as_secs_f64() / daemons as f64;
    row
}

/// Returns the seconds until a ticket with one large service is in force at all daemons, or
/// infinity if this takes more than 600 s.
fn measure_large_service(seed: u64, loss: f64, daemons: usize, targets: usize) -> f64 {
    let network = Network { loss, duplicates: 0.0, max_delay: Duration::from_millis(40) };
    let mut fleet = Fleet::new(seed, daemons, ZONES, network);
    fleet.run(Duration::from_secs(10), |_| false);
    let published = fleet.now;
    fleet.platform.push(ticket_with(1, 0, 0..targets));
    let everywhere = |fleet: &Fleet| {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|node| node.state.history().is_applied(1))
    };
    if !fleet.run(Duration::from_secs(600), everywhere) {
        return f64::INFINITY;
    }
    fleet.now.duration_since(published).as_secs_f64()
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) * 1024.0
}

/// Measures the state and the route table at the design size.
fn measure_state() -> Vec<(&'static str, f64)> {
    let now = Instant::now();
    let mut state = State::default();
    let mut number = 0;
    let mut apply = Duration::ZERO;
    for _ in 0..ticket::MAX_GENERATIONS {
        for service in 0..SERVICES {
            number += 1;
            let ticket = ticket(number, service);
            let start = Instant::now();
            state.apply(now, ticket).expect("the ticket does not conflict with the state");
            apply += start.elapsed();
        }
    }
    let encoded = postcard::to_stdvec(&state.snapshot()).expect("a snapshot can be encoded");
    // Memory is averaged over several copies, because the first copies reuse memory that was freed
    // after the tickets were built.
    let before = resident_bytes();
    let copies: Vec<State> = (0..COPIES)
        .map(|_| {
            let mut copy = State::default();
            let snapshot = postcard::from_bytes(&encoded).expect("the snapshot was just encoded");
            copy.merge_snapshot(now, snapshot);
            copy
        })
        .collect();
    let memory = (resident_bytes() - before) / COPIES as f64;
    assert!(copies.iter().all(|copy| copy.summary() == state.summary()));
    let mut compiler = Compiler::new();
    let compilation = compiler.compile(now, &state);
    let before = resident_bytes();
    let start = Instant::now();
    let tables: Vec<_> = (0..COPIES).map(|_| compiler.compile(now, &state)).collect();
    let compile = start.elapsed() / COPIES;
    let table = (resident_bytes() - before) / tables.len() as f64;
    let targets = compilation.table.targets().count();
    assert_eq!(targets, TARGETS);
    let before = resident_bytes();
    let json = to_raw_value(&state.snapshot()).expect("a snapshot can be encoded as JSON");
    let json_memory = resident_bytes() - before;
    let mut figures = vec![
        ("apply one ticket, us", apply.as_secs_f64() * 1e6 / number as f64),
        ("state with 4 generations, MB", memory / 1e6),
        ("encoded snapshot, MB", encoded.len() as f64 / 1e6),
        ("snapshot as sent to a joiner, MB", json.get().len() as f64 / 1e6),
        ("memory of the sent snapshot, MB", json_memory / 1e6),
        ("compile the route table, ms", compile.as_secs_f64() * 1e3),
        ("route table, MB", table / 1e6),
    ];
    let names = ["base target of 3, ns", "base target of 14, ns", "base target of 1000, ns"];
    for (name, count) in names.into_iter().zip([3, 14, 1_000]) {
        let targets = (0..count).map(|id: u64| (id * 0x9e37_79b9 + 1, 100)).collect();
        let generation = Generation { number: 1, targets };
        let rounds = 3_000_000 / count;
        let start = Instant::now();
        let mut sum = 0;
        for index in 0..rounds {
            let fingerprint = Fingerprint(u128::from(index) * 0x9e37_79b9_7f4a_7c15);
            sum ^= generation.base_target(fingerprint).unwrap_or(0);
        }
        std::hint::black_box(sum);
        figures.push((name, start.elapsed().as_secs_f64() * 1e9 / rounds as f64));
    }
    figures
}

#[allow(clippy::print_stdout)]
fn main() {
    let arguments = arguments().run();
    // Memory is measured before the fleets run, because it would reuse memory that they have freed.
    let figures = measure_state();
    println!("seed {}, loss {}", arguments.seed, arguments.loss);
    let columns = [
        "daemons",
        "in_force_median_s",
        "in_force_max_s",
        "bytes_per_daemon_s",
        "bytes_busiest_daemon_s",
        "bytes_idle_per_daemon_s",
        "platform_calls_s",
        "cpu_share",
    ];
    let mut table = Table::new();
    table.set_header(columns);
    let mut csv = columns.join(",") + "\n";
    for daemons in arguments.daemons.split(',') {
        let daemons = daemons.trim().parse().expect("--daemons is a list of numbers");
        let row = measure(arguments.seed, arguments.loss, daemons);
        let cells = [
            row.daemons.to_string(),
            format!("{:.2}", row.in_force_median_s),
            format!("{:.2}", row.in_force_max_s),
            format!("{:.1}", row.bytes_per_daemon_s),
            format!("{:.1}", row.bytes_busiest_daemon_s),
            format!("{:.1}", row.bytes_idle_per_daemon_s),
            format!("{:.2}", row.platform_calls_s),
            format!("{:.6}", row.cpu_share),
        ];
        csv += &(cells.join(",") + "\n");
        table.add_row(cells);
    }
    println!("{table}");
    let mut table = Table::new();
    table.set_header(["targets of the service", "in force at 256 daemons, s"]);
    csv += "\ntargets,in_force_256_daemons_s\n";
    for targets in [14, 64, 256, 1_000] {
        let seconds = measure_large_service(arguments.seed, arguments.loss, 256, targets);
        table.add_row([targets.to_string(), format!("{seconds:.2}")]);
        writeln!(csv, "{targets},{seconds:.2}").expect("writing to a string succeeds");
    }
    println!("{table}");
    let mut table = Table::new();
    table.set_header(["3,300 services, 9,400 targets", "value"]);
    csv += "\nfigure,value\n";
    for (name, value) in figures {
        table.add_row([name.to_owned(), format!("{value:.2}")]);
        writeln!(csv, "\"{name}\",{value:.3}").expect("writing to a string succeeds");
    }
    println!("{table}");
    if let Some(path) = arguments.svg {
        let lines =
            plot::read_lines(&csv, &["in_force_max_s", "bytes_busiest_daemon_s", "cpu_share"]);
        let budgets =
            [("2,048 bytes/s", 2048.0), ("3.2% of a core", 0.032), ("19 s until in force", 19.0)];
        plot::write(&path, "dissemination of tickets", "daemons", &lines, &budgets)
            .expect("the SVG file can be written");
    }
    if let Some(path) = arguments.csv {
        fs::write(&path, csv).expect("the CSV file can be written");
    }
}
