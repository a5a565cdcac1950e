//! Measures the packet rate of a complete daemon over loopback UDP, by the number of open flows.
//!
//! The daemon's packet loop runs on one thread. Two threads send mid-flow packets of all flows in
//! turn, faster than the daemon can receive them, and one thread for each target counts the packets
//! that arrive. The baseline forwards the same packets with the same socket calls, but makes no
//! decision for a packet.
#![allow(clippy::print_stdout)]

#[path = "support/plot.rs"]
mod plot;

use std::{
    error::Error,
    fs,
    io::IoSlice,
    net::{SocketAddr, UdpSocket},
    os::fd::AsRawFd,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
    thread,
    time::Duration,
};

use banyanwharf::{
    node::{Node, forward_all},
    settings::{Key, Limits, Mode, Secret, Settings},
};
use banyanwharf_testkit::{Platform, free_address};
use bpaf::Bpaf;
use etherparse::PacketBuilder;
use nix::sys::socket::{MsgFlags, MultiHeaders, SockaddrStorage, sendmmsg};

const TARGETS: usize = 4;
const SENDERS: usize = 2;
const BATCH_PACKETS: usize = 32;
const PACKET_BYTES: usize = 44;

/// The offset of the TCP flags in an IPv4 packet without options.
const TCP_FLAGS_OFFSET: usize = 33;
const SYN: u8 = 0x02;
const ACK: u8 = 0x10;

/// Measures packets a second of a daemon against plain forwarding.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Numbers of held flows in rising order, separated by commas
    #[bpaf(argument("LIST"), fallback("1000,30000,300000,1000000".to_owned()))]
    flows: String,
    /// Seconds of each measurement
    #[bpaf(argument("SECONDS"), fallback(3), display_fallback)]
    seconds: u64,
    /// Where to write the figures as CSV
    #[bpaf(argument("PATH"))]
    csv: Option<PathBuf>,
    /// Where to draw the figures as SVG
    #[bpaf(argument("PATH"))]
    svg: Option<PathBuf>,
}

type Result<T> = std::result::Result<T, Box<dyn Error>>;

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<()> {
    let options = options().run();
    let arrived = Arc::new(AtomicU64::new(0));
    let accepted = Arc::new(AtomicU64::new(0));
    let mut targets = Vec::new();
    for _ in 0..TARGETS {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket2::SockRef::from(&socket).set_recv_buffer_size(4 << 20)?;
        targets.push(socket.local_addr()?);
        let (arrived, accepted) = (arrived.clone(), accepted.clone());
        thread::spawn(move || run_target(&socket, &arrived, &accepted));
    }
    let platform = Platform::start()?;
    platform.publish(&ticket(&targets));
    let data = free_address()?;
    let node = Node::start(settings(&platform, data)?).await?;
    node.ready().await;
    tokio::time::sleep(Duration::from_secs(2)).await;

    let baseline_socket = UdpSocket::bind("127.0.0.1:0")?;
    socket2::SockRef::from(&baseline_socket).set_recv_buffer_size(4 << 20)?;
    baseline_socket.set_nonblocking(true)?;
    let baseline_address = baseline_socket.local_addr()?;
    thread::spawn(move || -> std::io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(forward_all(baseline_socket, &targets))
    });

    let mut csv =
        "flows,daemon_packets_s,baseline_packets_s,ratio,resident_bytes_per_flow\n".to_owned();
    let (mut open, before) = (0, resident_bytes());
    let mut packet_bytes = 0;
    for size in options.flows.split(',') {
        let size: usize = size.trim().parse()?;
        let syns: Vec<u8> = (open..size).flat_map(|at| packet(at, SYN)).collect();
        open_flows(data, &syns, &accepted, size as u64).await?;
        drop(syns);
        open = size;
        println!("{size} flows, {} accepted", accepted.load(Relaxed));
        let resident = resident_bytes().saturating_sub(before + packet_bytes);
        let packets: Arc<Vec<u8>> = Arc::new((0..size).flat_map(|at| packet(at, ACK)).collect());
        packet_bytes += packets.capacity();
        // Baseline and daemon are measured in turn, so that a change of the machine's load affects
        // both.
        let (mut daemon, mut baseline) = (0.0, 0.0);
        for _ in 0..2 {
            baseline +=
                measure_rate(&packets, baseline_address, &arrived, options.seconds).await? / 2.0;
            daemon += measure_rate(&packets, data, &arrived, options.seconds).await? / 2.0;
        }
        let ratio = daemon / baseline;
        let bytes = resident as f64 / size as f64;
        csv += &format!("{size},{daemon:.0},{baseline:.0},{ratio:.3},{bytes:.1}\n");
    }
    print!("{csv}");
    if let Some(path) = &options.csv {
        fs::write(path, &csv)?;
    }
    if let Some(path) = &options.svg {
        let lines = plot::read_lines(&csv, &["daemon_packets_s", "baseline_packets_s"]);
        plot::write(path, "packets a second", "held flows", &lines, &[])?;
    }
    node.kill().await;
    Ok(())
}

/// Counts the packets that arrive at a target and accepts new flows.
fn run_target(socket: &UdpSocket, arrived: &AtomicU64, accepted: &AtomicU64) {
    let mut buffer = [0; 2048];
    while let Ok((length, daemon)) = socket.recv_from(&mut buffer) {
        arrived.fetch_add(1, Relaxed);
        let packet = &mut buffer[..length];
        if length == PACKET_BYTES && packet[TCP_FLAGS_OFFSET] & SYN != 0 {
            packet[TCP_FLAGS_OFFSET] = SYN | ACK;
            let (sources, destinations) = packet[12..20].split_at_mut(4);
            sources.swap_with_slice(destinations);
            let (source, destination) = packet[20..24].split_at_mut(2);
            source.swap_with_slice(destination);
            accepted.fetch_add(u64::from(socket.send_to(packet, daemon).is_ok()), Relaxed);
        }
    }
}

/// Sends one SYN for each flow, at a rate that the daemon can process.
async fn open_flows(to: SocketAddr, syns: &[u8], accepted: &AtomicU64, all: u64) -> Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    for batch in syns.chunks(64 * PACKET_BYTES) {
        for packet in batch.chunks(PACKET_BYTES) {
            socket.send_to(packet, to)?;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    if accepted.load(Relaxed) * 100 < all * 99 {
        return Err("less than 99% of the flows were accepted by the targets".into());
    }
    Ok(())
}

/// Returns the number of packets per second that arrive at the targets.
async fn measure_rate(
    packets: &Arc<Vec<u8>>,
    to: SocketAddr,
    arrived: &AtomicU64,
    seconds: u64,
) -> Result<f64> {
    let stop = Arc::new(AtomicBool::new(false));
    let senders: Vec<_> = (0..SENDERS)
        .map(|at| {
            let (packets, stop) = (packets.clone(), stop.clone());
            thread::spawn(move || send(&packets, at, to, &stop))
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (before, start) = (arrived.load(Relaxed), std::time::Instant::now());
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let rate = (arrived.load(Relaxed) - before) as f64 / start.elapsed().as_secs_f64();
    stop.store(true, Relaxed);
    for sender in senders {
        sender.join().map_err(|_| "a sender thread panicked")??;
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    Ok(rate)
}

/// Sends the packets in a loop until `stop` is set. Each sender starts at another packet.
fn send(packets: &[u8], sender: usize, to: SocketAddr, stop: &AtomicBool) -> std::io::Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let mut headers = MultiHeaders::preallocate(BATCH_PACKETS, None);
    let addresses = [Some(SockaddrStorage::from(to)); BATCH_PACKETS];
    let start = packets.len() / PACKET_BYTES * sender / SENDERS;
    let mut rest = packets.chunks(PACKET_BYTES).cycle().skip(start);
    while !stop.load(Relaxed) {
        let slices: Vec<_> =
            rest.by_ref().take(BATCH_PACKETS).map(|bytes| [IoSlice::new(bytes)]).collect();
        sendmmsg(
            socket.as_raw_fd(),
            &mut headers,
            slices.iter(),
            addresses,
            [],
            MsgFlags::empty(),
        )?;
    }
    Ok(())
}

fn packet(flow: usize, flags: u8) -> Vec<u8> {
    let [_, high, middle, low] = ((flow / 50_000) as u32).to_be_bytes();
    let port = 1024 + (flow % 50_000) as u16;
    let builder = PacketBuilder::ipv4([100, 64 + high, middle, low], [198, 51, 100, 1], 64);
    let mut bytes = Vec::with_capacity(PACKET_BYTES);
    let tcp = builder.tcp(port, 80, 1, 1024);
    tcp.write(&mut bytes, &[0; 4]).expect("writing to a vector succeeds");
    bytes[TCP_FLAGS_OFFSET] = flags;
    bytes
}

fn ticket(targets: &[SocketAddr]) -> serde_json::Value {
    let targets: Vec<_> = targets
        .iter()
        .enumerate()
        .map(|(at, address)| {
            serde_json::json!({
                "name": format!("turnos-{at}"), "zone": "mvd-cerro", "address": address,
                "connections": 1_000_000, "ramp_seconds": 0,
            })
        })
        .collect();
    serde_json::json!({ "number": 1, "services": [{
        "name": "turnos", "targets": targets,
        "addresses": [{ "protocol": "tcp", "address": "198.51.100.1:80" }],
    }] })
}

fn settings(platform: &Platform, data: SocketAddr) -> Result<Settings> {
    Ok(Settings {
        mode: Mode::Tunnel,
        name: "entry-0".into(),
        region: "uy".into(),
        zone: "mvd-cerro".into(),
        zones: Vec::new(),
        data,
        fabric: free_address()?,
        peer: free_address()?,
        admin: free_address()?,
        metrics: free_address()?,
        platform: platform.url().parse()?,
        contacts: Vec::new(),
        flow_key: Secret::from([0x5a; 16]),
        sign_with: None,
        keys: vec![Key { number: 1, key: Secret::from([0xa5; 32]) }],
        limits: Limits {
            owned_flows: 2_000_000,
            new_flows_per_second: 1_000_000,
            ..Limits::default()
        },
        drain_time: Duration::from_secs(1),
        control: Default::default(),
        handover_bytes_per_second: 256 * 1024,
        log: Default::default(),
        trace: Default::default(),
    })
}

fn resident_bytes() -> usize {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * 4096
}
