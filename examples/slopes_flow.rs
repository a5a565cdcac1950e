//! Measures how the memory and the CPU time of the flow tables grow with the number of flows.
//!
//! CPU times cover the decision code only, not sockets. Successive packets belong to different
//! flows, in the order in which the flows were opened.

#[path = "support/flows.rs"]
mod flows;
#[path = "support/plot.rs"]
mod plot;

use std::{
    error::Error,
    fs,
    io::{self, Write as _},
    path::PathBuf,
    time::Instant,
};

use banyanwharf::wire::{Body, Stage};
use bpaf::Bpaf;
use comfy_table::Table;
use flows::{Fixture, Role, packets};

/// The number of new flows that are timed for each size.
const TIMED_NEW_FLOWS: usize = 5_000;

/// The number of packets that are timed for each size and kind of packet.
const TIMED_PACKETS: usize = 200_000;

/// Measures memory and CPU time of the flow tables.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Seed of all random choices
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Numbers of flows, separated by commas
    #[bpaf(argument("LIST"), fallback("10000,30000,100000,300000,1000000".to_owned()))]
    flows: String,
    /// Where to write the figures as CSV
    #[bpaf(argument("PATH"))]
    csv: Option<PathBuf>,
    /// Where to draw the figures as SVG
    #[bpaf(argument("PATH"))]
    svg: Option<PathBuf>,
}

const COLUMNS: [&str; 9] = [
    "flows",
    "bytes_per_owned_flow",
    "bytes_per_cached_flow",
    "resident_bytes_per_flow",
    "cached_packet_ns",
    "owned_packet_ns",
    "return_packet_ns",
    "syn_primary_ns",
    "syn_secondary_ns",
];

fn main() -> Result<(), Box<dyn Error>> {
    let options = options().run();
    let mut table = Table::new();
    table.set_header(COLUMNS.map(|column| column.replace('_', " ")));
    let mut csv = COLUMNS.join(",") + "\n";
    // All tables are kept: memory that one table frees would hide the memory use of the next.
    let mut fixtures = Vec::new();
    for size in options.flows.split(',') {
        let size = size.trim().parse()?;
        let (fixture, row) = measure(size, options.seed);
        fixtures.push(fixture);
        csv += &(row.join(",") + "\n");
        table.add_row(row);
    }
    writeln!(io::stdout(), "seed {}\n{table}", options.seed)?;
    writeln!(io::stdout(), "copy bytes per record: {:.1}", copy_bytes_per_record()?)?;
    if let Some(path) = &options.csv {
        fs::write(path, &csv)?;
    }
    if let Some(path) = &options.svg {
        let lines = plot::read_lines(&csv, &COLUMNS[1..]);
        plot::write(path, "flow tables", "flows", &lines, &[("64 bytes per flow", 64.0)])?;
    }
    Ok(())
}

fn measure(size: usize, seed: u64) -> (Fixture, Vec<String>) {
    let mut fixture = Fixture::new(seed);
    // The memory of the kept packets is subtracted, since they are not a part of the tables.
    let before = resident_bytes();
    fixture.fill(size);
    let packets = [&fixture.owned_packets, &fixture.syns, &fixture.cached_packets]
        .map(|list| list.len() * 72);
    let returns = fixture.return_packets.len() * 104;
    let packet_bytes = packets.iter().sum::<usize>() + returns;
    let resident = resident_bytes().saturating_sub(before).saturating_sub(packet_bytes) as f64;
    let forwarder = &fixture.forwarder;
    let mut row = vec![size.to_string()];
    let per = |bytes: usize| format!("{:.1}", bytes as f64 / size as f64);
    row.extend([
        per(forwarder.table().allocated_bytes()),
        per(forwarder.cache().allocated_bytes()),
    ]);
    row.push(format!("{:.1}", resident / (2 * size) as f64));

    let from = ([192, 0, 2, 1], 6080).into();
    let (cached, owned) = (fixture.cached_packets.clone(), fixture.owned_packets.clone());
    let returns = fixture.return_packets.clone();
    let cached = cached.iter().map(|packet| (from, packet)).cycle().take(TIMED_PACKETS);
    row.push(time_steps(&mut fixture, cached, |fixture, (from, packet)| {
        fixture.on_datagram(from, packet)
    }));
    let owned = owned.iter().map(|packet| (from, packet)).cycle().take(TIMED_PACKETS);
    row.push(time_steps(&mut fixture, owned, |fixture, (from, packet)| {
        fixture.on_datagram(from, packet)
    }));
    let returns = returns.iter().cycle().take(TIMED_PACKETS);
    row.push(time_steps(&mut fixture, returns, |fixture, (from, packet)| {
        fixture.on_datagram(*from, packet)
    }));

    let syn = |fixture: &mut Fixture, role| {
        let packet = |_| flows::request_packet(fixture.random_key_with_role(role), packets::SYN);
        (0..TIMED_NEW_FLOWS).map(packet).collect::<Vec<_>>()
    };
    let primary = syn(&mut fixture, Role::Primary);
    row.push(time_steps(&mut fixture, primary.iter(), |fixture, packet| {
        fixture.on_datagram(from, packet)
    }));
    let secondary = syn(&mut fixture, Role::Secondary);
    let stage = Stage::Store { target: 1, replaces: None };
    row.push(time_steps(&mut fixture, secondary.iter(), |fixture, packet| {
        fixture.on_hop(stage, packet)
    }));
    (fixture, row)
}

/// Runs `run` for each step and returns the mean time of a step in ns.
fn time_steps<T>(
    fixture: &mut Fixture,
    steps: impl Iterator<Item = T>,
    mut run: impl FnMut(&mut Fixture, T),
) -> String {
    let mut count = 0;
    let start = Instant::now();
    for step in steps {
        run(fixture, step);
        count += 1;
    }
    format!("{:.0}", start.elapsed().as_secs_f64() * 1e9 / f64::from(count))
}

/// Returns the bytes per record of a frame that copies a full batch of records to a new owner.
fn copy_bytes_per_record() -> Result<f64, Box<dyn Error>> {
    use banyanwharf::wire::{Frame, Keyring, Record, RecordState};
    const RECORDS: usize = 24;
    let record = |at: usize| Record {
        fingerprint: banyanwharf::flow::Fingerprint(at as u128 * (u128::MAX / RECORDS as u128)),
        target: u64::MAX - at as u64,
        state: RecordState::Open,
    };
    let body = Body::Copy { sequence: 1, records: (0..RECORDS).map(record).collect() };
    let mut bytes = Vec::new();
    let keyring = Keyring::new([(1, [1; 32])])?;
    Frame { sender: u64::MAX, body, packet: &[] }.encode(&keyring, &mut bytes)?;
    Ok(bytes.len() as f64 / RECORDS as f64)
}

fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * 4096
}
