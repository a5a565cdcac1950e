//! End-to-end tests of gateway mode: daemon processes serve requests through changes and failures
//! of the store. The store, the callers and the targets are test doubles.

#![allow(dead_code)]

mod gateways;

use std::{
    fs,
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicU16, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use banyanwharf::{
    adapter::{PacketCodec, READY_PATH},
    admin::{ApiClient as _, Client, Cursor},
    cookie::work::Report,
    cookie::{
        Destination, Flow, Listing, ListingUpdate, OperatorState, Packet, Revision, ZonesOut,
    },
    gateway::{Changes, Codec, Consistency, DecodeError, Gateway, ReadOutcome, Source},
    member,
    platform::Error,
    ticket::ZoneState,
    wire::{Body, Frame, Keyring, TargetReport},
};
use banyanwharf_testkit::{Proxy, ProxyMode, Replica, Store, StoreMode};
use gateways::{
    caller::{Caller, Outcome},
    config::config,
    daemon::{Daemon, address, settings, wait_until},
    segment::{ACK, Endpoint, FIN, RST, SYN, Segment},
    target::Target,
};
use serde_json::json;
use tokio::{net::UdpSocket, task::JoinHandle, time::sleep};

const WEB: (Ipv4Addr, u16) = (Ipv4Addr::new(198, 18, 0, 1), 80);
const FILES: (Ipv4Addr, u16) = (Ipv4Addr::new(198, 18, 0, 1), 8080);

/// The offset of the next test's ports, which are below the range of ephemeral ports. The tests of
/// one process run at the same time.
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

fn allocate_ports() -> u16 {
    let first = 21_000 + (std::process::id() % 100) as u16 * 100;
    loop {
        let port = first + NEXT_PORT_OFFSET.fetch_add(10, Ordering::Relaxed);
        // Daemons of another process at the same ports would answer in place of those of the test.
        let is_free = |number| std::net::UdpSocket::bind(address(number, port)).is_ok();
        if (1..=3).all(is_free) {
            return port;
        }
    }
}

/// Starts a store that has a configuration with both services, and two targets of each service.
async fn start_store_and_targets(port: u16) -> (Store, Vec<Target>) {
    let store = Store::start().expect("the store starts");
    let document = config(3, &[(80, "web"), (8080, "files")], 0.0);
    store.put("op/config", document.to_string().as_bytes());
    let mut targets = Vec::new();
    for (number, service) in [(1, "web"), (2, "web"), (3, "files"), (4, "files")] {
        let target = Target::start(number, service, "zone-a", port).await;
        target.register(&store, "ready");
        targets.push(target);
    }
    (store, targets)
}

/// Starts a store, targets and a daemon, and waits until the daemon is ready.
async fn start_ready_daemon(port: u16) -> (Store, Vec<Target>, Daemon) {
    let (store, targets) = start_store_and_targets(port).await;
    let daemon = Daemon::start(1, "zone-a", port, &store, 2);
    daemon.wait_until_ready().await;
    (store, targets, daemon)
}

/// Guards against an error anywhere on the path of a request, and against flows that work only
/// through the daemon that opened them.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_through_any_daemon() {
    let port = allocate_ports();
    let (store, targets) = start_store_and_targets(port).await;
    let first = Daemon::start(1, "zone-a", port, &store, 2);
    let second = Daemon::start(2, "zone-a", port, &store, 1);
    first.wait_until_ready().await;
    second.wait_until_ready().await;
    for (number, service, allowed) in [(1, WEB, 1..=2), (2, FILES, 3..=4)] {
        let mut caller = Caller::new(number, port, service).await;
        let Outcome::Served(target) = caller.open_and_request(first.data).await else {
            panic!("the request was not served: {}", first.log())
        };
        assert!(allowed.contains(&target));
        for daemon in [&second, &first, &second] {
            assert_eq!(caller.request(daemon.data).await, Outcome::Served(target));
        }
    }
    assert!(
        targets
            .iter()
            .all(|target| target.record.unknown_flow_packets.load(Ordering::Relaxed) == 0)
    );
}

/// Guards against requests that fail during a planned stop: the readiness check must fail at once,
/// and the daemon must forward packets until the fabric uses other daemons.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_daemon_forwards_until_the_fabric_sends_elsewhere() {
    let port = allocate_ports();
    let (_store, _targets, mut daemon) = start_ready_daemon(port).await;
    let mut caller = Caller::new(1, port, WEB).await;
    let served = caller.open_and_request(daemon.data).await;
    daemon.signal("-TERM");
    wait_until("not ready", async || daemon.readiness().await == 503).await;
    assert_eq!(caller.request(daemon.data).await, served);
    assert_eq!(daemon.exit_code().await, Some(0));
    assert!(daemon.log().contains("daemon stops"), "the last log line is missing");
}

/// Guards against a supervisor's repeated SIGTERM that ends the daemon before its graceful shutdown
/// is complete.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_sigterm_does_not_cut_the_shutdown_short() {
    let port = allocate_ports();
    let (_store, _targets, mut daemon) = start_ready_daemon(port).await;
    let mut caller = Caller::new(1, port, WEB).await;
    let served = caller.open_and_request(daemon.data).await;
    daemon.signal("-TERM");
    daemon.wait_until_logged("shutdown begins").await;
    daemon.signal("-TERM");
    daemon.wait_until_logged("another SIGTERM").await;
    assert_eq!(caller.request(daemon.data).await, served);
    assert_eq!(daemon.exit_code().await, Some(0));
}

/// Guards against changes in the store that do not take effect, and against invalid items that do.
#[tokio::test(flavor = "multi_thread")]
async fn changes_apply_and_invalid_items_are_ignored() {
    let port = allocate_ports();
    let (store, targets, daemon) = start_ready_daemon(port).await;
    let mut caller = Caller::new(1, port, WEB).await;

    // An entry that another program wrote and that is no valid target.
    store.put("servers/i-000000ff", b"{\"service\": \"web\"}");
    daemon.wait_until_logged("item of the store is ignored").await;

    targets[0].register(&store, "draining");
    daemon.wait_until_logged("Draining").await;
    for _ in 0..10 {
        assert_eq!(caller.open_and_request(daemon.data).await, Outcome::Served(2));
    }

    // Compaction of the watched history must not hide the next change.
    store.compact();
    store.put("op/evacuate/zone-a", b"{}");
    wait_until("the last zone is out of service", async || {
        caller.open(daemon.data).await == Outcome::Reset
    })
    .await;
    store.remove("op/evacuate/zone-a");
    wait_until("the zone is back", async || {
        caller.open_and_request(daemon.data).await == Outcome::Served(2)
    })
    .await;

    store.put("op/config", b"{\"version\": 9}");
    daemon.wait_until_logged("op/config").await;
    assert_eq!(caller.open_and_request(daemon.data).await, Outcome::Served(2));

    store.put("op/config", config(12, &[(8080, "files")], 0.0).to_string().as_bytes());
    wait_until("the route is gone", async || caller.open(daemon.data).await == Outcome::Reset)
        .await;
}

/// Guards against a daemon that stops serving when the store responds with errors or not at all.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_serves_without_the_store() {
    let port = allocate_ports();
    let (store, targets, daemon) = start_ready_daemon(port).await;
    let mut caller = Caller::new(1, port, WEB).await;
    for mode in [StoreMode::Unavailable, StoreMode::Silent] {
        store.set_mode(mode);
        daemon.wait_until_logged("store does not answer").await;
        let outcome = caller.open_and_request(daemon.data).await;
        assert!(matches!(outcome, Outcome::Served(1 | 2)), "{outcome:?}");
        store.set_mode(StoreMode::Normal);
        daemon.wait_until_logged("store answers again").await;
    }
    // A target that ended during an outage of the store is noticed after it.
    let Outcome::Served(target) = caller.open_and_request(daemon.data).await else {
        panic!("the request was not served")
    };
    let ended = &targets[target as usize - 1];
    ended.record.is_silent.store(true, Ordering::Relaxed);
    ended.deregister(&store);
    wait_until("the flow is reset", async || caller.request(daemon.data).await == Outcome::Reset)
        .await;
    assert_eq!(caller.open_and_request(daemon.data).await, Outcome::Served(3 - target));
}

/// Guards against a SIGHUP that ends the process, applies invalid settings, or does not apply valid
/// ones.
#[tokio::test(flavor = "multi_thread")]
async fn settings_are_reloaded() {
    let port = allocate_ports();
    let (_store, _targets, mut daemon) = start_ready_daemon(port).await;
    daemon.signal("-HUP");
    daemon.wait_until_logged("settings have not changed").await;
    fs::write(daemon.settings_file(), "{ \"mode\": ").expect("written");
    daemon.wait_until_logged("settings have a problem").await;
    let mut settings = daemon.settings().clone();
    settings["log"]["level"] = json!("info");
    settings["zone"] = json!("zone-b");
    fs::write(daemon.settings_file(), settings.to_string()).expect("written");
    daemon.wait_until_logged("settings are in force").await;
    assert!(daemon.log().contains("\"needs_restart\":\"zone\""));
    daemon.signal("-TERM");
    assert_eq!(daemon.exit_code().await, Some(0));
}

/// Guards against a daemon that does not become ready while the store refuses it, although its
/// peers have the state.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_fetches_state_from_a_peer() {
    let port = allocate_ports();
    let (store, targets) = start_store_and_targets(port).await;
    let unavailable_store = Store::start().expect("the store starts");
    unavailable_store.set_mode(StoreMode::Unavailable);
    let first = Daemon::start(1, "zone-a", port, &store, 2);
    first.wait_until_ready().await;
    let second = Daemon::start(2, "zone-a", port, &unavailable_store, 1);
    second.wait_until_ready().await;
    second.wait_until_logged("state is fetched from a peer").await;
    let mut caller = Caller::new(1, port, WEB).await;
    let outcome = caller.open_and_request(second.data).await;
    assert!(matches!(outcome, Outcome::Served(1 | 2)), "{outcome:?}");

    // Later changes also arrive through the peer.
    targets[0].register(&store, "draining");
    second.wait_until_logged("Draining").await;
    assert_eq!(caller.open_and_request(second.data).await, Outcome::Served(2));
}

/// Guards against reports of unknown daemons, garbage and floods of frames that harm a daemon: they
/// are counted and dropped, and requests are served.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_reports_are_dropped_and_requests_are_served() {
    const FLOODS: usize = 4;
    let port = allocate_ports();
    let (store, _targets, first) = start_ready_daemon(port).await;
    let second = Daemon::start(2, "zone-a", port, &store, 1);
    second.wait_until_ready().await;
    first.wait_until_logged("\"member\":\"entry-2\"").await;
    let keyring = Keyring::new([(1, [0xa5; 32])]).expect("the keyring has a key");
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("the socket is bound");
    let peer = first.settings()["peer"].as_str().expect("an address").to_owned();
    let report = TargetReport::from(Report {
        cookie: 1,
        delay_factor: 100.0,
        is_rejecting: true,
        age: Duration::ZERO,
    });
    let frame = |sender: &str, reports: usize| {
        let body = Body::TargetReports(vec![report; reports]);
        let mut buffer = Vec::new();
        Frame { sender: member::id(sender), body, packet: &[] }
            .encode(&keyring, &mut buffer)
            .expect("the frame is short");
        buffer
    };
    let garbage = [&frame("entry-2", 1)[..20], &[0xff; 40]].concat();
    for datagram in [garbage, frame("entry-9", 1), frame("entry-1", 1)] {
        socket.send_to(&datagram, &*peer).await.expect("the datagram is sent");
    }
    let frames = async |outcome: &str| first.metric("gateway_report_frames", outcome).await;
    // The senders are not known, or the daemon itself.
    wait_until("2 frames are dropped", async || frames("\"dropped\"").await == 2).await;
    assert_eq!(frames("\"received\"").await, 2);
    let long = frame("entry-2", 1_000);
    let flood = async |long: Vec<u8>, peer: String| {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("the socket is bound");
        loop {
            socket.send_to(&long, &*peer).await.expect("the datagram is sent");
        }
    };
    // A daemon that keeps up drops nothing, so the flood goes on until the daemon does not.
    let floods: Vec<JoinHandle<()>> =
        (0..FLOODS).map(|_| tokio::spawn(flood(long.clone(), peer.clone()))).collect();
    wait_until("the queue is full", async || frames("\"dropped\"").await > 2).await;
    floods.iter().for_each(JoinHandle::abort);
    let mut caller = Caller::new(1, port, WEB).await;
    let outcome = caller.open_and_request(first.data).await;
    assert!(matches!(outcome, Outcome::Served(1 | 2)), "{outcome:?}");
    // No target has the cookie, so all reports are ignored.
    let reports = async |outcome: &str| first.metric("gateway_reports", outcome).await;
    wait_until("all reports received are ignored", async || {
        let received = reports("\"received\"").await;
        received > 0 && received == reports("\"ignored\"").await
    })
    .await;
    assert_eq!(frames("\"sent\"").await, 0);
    first.wait_until_logged("reports about targets were exchanged").await;
}

/// Guards against calls to the store that grow with the daemons of a zone, and against a follower
/// that keeps an old view after its zone reader has failed.
#[tokio::test(flavor = "multi_thread")]
async fn one_daemon_of_a_zone_reads_the_store() {
    let port = allocate_ports();
    let (store, targets) = start_store_and_targets(port).await;
    let first = Daemon::start(1, "zone-a", port, &store, 2);
    let second = Daemon::start(2, "zone-a", port, &store, 1);
    let follows = |daemon: &Daemon| daemon.log().contains("store is read by another daemon");
    wait_until("one daemon follows the other", async || follows(&first) || follows(&second)).await;
    let (reader, follower) = if follows(&second) { (first, second) } else { (second, first) };
    follower.wait_until_ready().await;
    assert!(!follows(&reader));

    // The follower makes no calls to the store and gets all changes from the zone reader.
    targets[0].register(&store, "draining");
    follower.wait_until_logged("Draining").await;
    let mut caller = Caller::new(1, port, WEB).await;
    assert_eq!(caller.open_and_request(follower.data).await, Outcome::Served(2));
    store.put("op/evacuate/zone-a", b"{}");
    wait_until("the last zone is out of service", async || {
        caller.open(follower.data).await == Outcome::Reset
    })
    .await;
    store.remove("op/evacuate/zone-a");
    wait_until("the zone is back", async || {
        caller.open_and_request(follower.data).await == Outcome::Served(2)
    })
    .await;

    reader.signal("-STOP");
    follower.wait_until_logged("this daemon reads the store").await;
    store.put("op/evacuate/zone-a", b"{}");
    wait_until("the last zone is out of service", async || {
        caller.open(follower.data).await == Outcome::Reset
    })
    .await;
    reader.signal("-CONT");
}

/// Guards against reads of all targets, which are expensive, after the first one: neither while
/// nothing changes nor after a change, nor when the store answers again.
#[tokio::test(flavor = "multi_thread")]
async fn targets_are_read_once_and_then_watched() {
    let port = allocate_ports();
    let (store, targets, daemon) = start_ready_daemon(port).await;
    let (calls, reads) = (store.calls(), store.range_reads("servers/"));
    wait_until("the store got 6 more calls", async || store.calls() >= calls + 6).await;
    targets[0].register(&store, "draining");
    daemon.wait_until_logged("Draining").await;
    store.set_mode(StoreMode::Unavailable);
    daemon.wait_until_logged("store does not answer").await;
    store.set_mode(StoreMode::Normal);
    targets[1].register(&store, "draining");
    let mut caller = Caller::new(1, port, WEB).await;
    wait_until("no target is left", async || caller.open(daemon.data).await == Outcome::Reset)
        .await;
    assert_eq!(store.range_reads("servers/"), reads);
    assert_eq!(store.linearizable_reads("servers/"), 0);
}

/// Guards against new flows to a draining target by a daemon that starts while stale reads of the
/// store lag, however far, and against a daemon that does not start because the store no longer
/// holds the history since then.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_starts_with_the_latest_targets_although_stale_reads_lag() {
    let port = allocate_ports();
    let (store, targets) = start_store_and_targets(port).await;
    store.set_replicas(&[Replica::At(store.revision())]);
    targets[0].register(&store, "draining");
    for number in 1..=2 {
        let daemon = Daemon::start(number, "zone-a", port, &store, 3 - number);
        daemon.wait_until_ready().await;
        let mut caller = Caller::new(number, port, WEB).await;
        for _ in 0..10 {
            assert_eq!(caller.open_and_request(daemon.data).await, Outcome::Served(2));
        }
        // The second daemon starts without the history. The first one has ended by then.
        store.compact();
    }
}

/// Guards against an entry of another writer after which daemons end, or no longer follow the
/// changes of targets and operators.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_do_not_stop_the_daemon() {
    let port = allocate_ports();
    let (store, targets, mut daemon) = start_ready_daemon(port).await;
    let entry = |field: &str, value: &str| {
        let template = json!({
            "service": "web", "address": "127.0.0.1:9", "zone": "zone-a", "version": "v1",
            "slots": 4, "state": "ready", "warmupLeftMs": 0, "seqNo": 1, "born": 1,
        });
        template.to_string().replace(&format!("\"{field}\":{}", template[field]), value)
    };
    let odd = [
        entry("warmupLeftMs", "\"warmupLeftMs\":1e22"),
        entry("warmupLeftMs", "\"warmupLeftMs\":1e400"),
        entry("slots", "\"slots\":99999999999999999999999"),
        entry("born", "\"born\":18446744073709551615"),
        entry("address", "\"address\":\"127.0.0.1:70000\""),
        entry("address", "\"address\":\"0.0.0.0:0\""),
        entry("seqNo", &format!("\"seqNo\":{}", "[".repeat(100_000))),
        "[".repeat(200_000),
        "{\"service\":".repeat(50_000),
    ];
    for (number, content) in odd.iter().enumerate() {
        store.put(&format!("servers/i-000000a{number}"), content.as_bytes());
    }
    store.put_frame("servers/i-000000e0", json!({ "key": "servers/i-000000e0", "value": 5 }));
    store.put_frame("servers/i-000000e1", json!(null));
    store.put_frame("op/other", json!(["op/other"]));
    store.put("servers/i-000000f0", &[0xff, 0xfe, 0x00]);
    daemon.wait_until_logged("i-000000f0").await;
    targets[0].register(&store, "draining");
    daemon.wait_until_logged("Draining").await;
    let document = config(9, &[(80, "web")], 0.0);
    store.put("op/config", document.to_string().as_bytes());
    daemon.wait_until_logged("\"version\":\"9\"").await;
    let mut caller = Caller::new(1, port, WEB).await;
    assert_eq!(caller.open_and_request(daemon.data).await, Outcome::Served(2));
    daemon.signal("-TERM");
    assert_eq!(daemon.exit_code().await, Some(0));
}

/// Guards against a daemon that no longer follows the targets after an outage of the store, since the
/// changes made in the meantime exceed the limit on responses.
#[tokio::test(flavor = "multi_thread")]
async fn targets_are_followed_after_too_many_changes_for_one_response() {
    let port = allocate_ports();
    let (store, targets, daemon) = start_ready_daemon(port).await;
    store.set_mode(StoreMode::Unavailable);
    daemon.wait_until_logged("store does not answer").await;
    for number in 0..6 {
        store.put(&format!("servers/i-000000a{number}"), &vec![b'['; 1 << 20]);
    }
    targets[0].register(&store, "draining");
    store.set_mode(StoreMode::Normal);
    daemon.wait_until_logged("Draining").await;
    let mut caller = Caller::new(1, port, WEB).await;
    assert_eq!(caller.open_and_request(daemon.data).await, Outcome::Served(2));
}

/// A store that responds with errors.
struct FaultyStore {
    /// Whether reads of the targets panic instead.
    panics: bool,
}

impl Source for FaultyStore {
    async fn read_operator_state(&self) -> Result<ReadOutcome<OperatorState>, Error> {
        Err(Error::RateLimited)
    }

    async fn read_zones_out(&self) -> Result<ReadOutcome<ZonesOut>, Error> {
        Err(Error::RateLimited)
    }

    async fn watch_operator_changes(
        &self,
        _: Revision,
        _: Duration,
    ) -> Result<ReadOutcome<Changes>, Error> {
        Err(Error::RateLimited)
    }

    async fn read_targets(&self, _: Consistency) -> Result<ReadOutcome<Listing>, Error> {
        assert!(!self.panics, "a fault in the reader of the targets");
        Err(Error::RateLimited)
    }

    async fn watch_targets(
        &self,
        _: Revision,
        _: Duration,
    ) -> Result<ReadOutcome<ListingUpdate>, Error> {
        Err(Error::RateLimited)
    }
}

/// Guards against a daemon that seems ready and forwards by an old state after one of its components
/// has panicked.
#[tokio::test(flavor = "multi_thread")]
async fn ended_component_is_reported() {
    let port = allocate_ports();
    let text = settings(1, "zone-a", port, "http://127.0.0.1:9", "127.0.0.1:9").to_string();
    let settings = banyanwharf::settings::Gateway::parse("test", &text).expect("valid settings");
    let store = FaultyStore { panics: true };
    let started = Gateway::start(settings, store, PacketCodec, READY_PATH).await;
    let mut gateway = started.unwrap_or_else(|error| panic!("the daemon does not start: {error}"));
    assert_eq!(gateway.failed_component().await, "reader of the targets");
}

/// A store that responds to reads and rejects the watch of the operators' items.
#[derive(Clone, Default)]
struct CountingStore {
    /// The era of the targets and of all reads of the operators' items but the first one.
    era: u64,
    operator_reads: Arc<AtomicU64>,
    operator_watches: Arc<AtomicU64>,
}

impl Source for CountingStore {
    async fn read_operator_state(&self) -> Result<ReadOutcome<OperatorState>, Error> {
        // The targets are known earlier.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let is_first = self.operator_reads.fetch_add(1, Ordering::Relaxed) == 0;
        let revision = Revision { era: if is_first { 0 } else { self.era }, number: 5 };
        Ok(ReadOutcome::new(Instant::now(), OperatorState { revision, ..OperatorState::default() }))
    }

    async fn read_zones_out(&self) -> Result<ReadOutcome<ZonesOut>, Error> {
        Err(Error::RateLimited)
    }

    async fn watch_operator_changes(
        &self,
        after: Revision,
        _: Duration,
    ) -> Result<ReadOutcome<Changes>, Error> {
        assert_eq!(after.era, self.era, "the watch can only fail");
        self.operator_watches.fetch_add(1, Ordering::Relaxed);
        Err(Error::RateLimited)
    }

    async fn read_targets(&self, _: Consistency) -> Result<ReadOutcome<Listing>, Error> {
        let revision = Revision { era: self.era, number: 5 };
        Ok(ReadOutcome::new(
            Instant::now(),
            Listing { revision, targets: Vec::new(), ..Listing::default() },
        ))
    }

    async fn watch_targets(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> Result<ReadOutcome<ListingUpdate>, Error> {
        tokio::time::sleep(wait).await;
        Ok(ReadOutcome::new(Instant::now(), ListingUpdate { revision, changes: Vec::new() }))
    }
}

/// Guards against a read of all of the operators' items after each rejected watch, and against a watch
/// of a former era, which can only fail.
#[tokio::test(flavor = "multi_thread")]
async fn operators_items_are_read_again_only_if_their_history_is_lost() {
    for era in [0, 1] {
        let port = allocate_ports();
        let text = settings(1, "zone-a", port, "http://127.0.0.1:9", "127.0.0.1:9").to_string();
        let settings =
            banyanwharf::settings::Gateway::parse("test", &text).expect("valid settings");
        let store = CountingStore { era, ..CountingStore::default() };
        let started = Gateway::start(settings, store.clone(), PacketCodec, READY_PATH).await;
        let _gateway = started.unwrap_or_else(|error| panic!("the daemon does not start: {error}"));
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let watches = &store.operator_watches;
        wait_until("the watch is repeated", async || count(watches) >= 4).await;
        assert_eq!(count(&store.operator_reads), 1 + era);
    }
}

/// A store whose responses are under way for long, and whose watch of the operators' items never ends.
struct SlowStore {
    /// When the first part of each response arrived.
    responded_at: Instant,
}

impl Source for SlowStore {
    async fn read_operator_state(&self) -> Result<ReadOutcome<OperatorState>, Error> {
        Ok(ReadOutcome::new(
            self.responded_at,
            OperatorState { revision: 5.into(), ..OperatorState::default() },
        ))
    }

    async fn read_zones_out(&self) -> Result<ReadOutcome<ZonesOut>, Error> {
        let zones = vec!["zone-b".into()];
        Ok(ReadOutcome::new(self.responded_at, ZonesOut { revision: 7.into(), zones }))
    }

    async fn watch_operator_changes(
        &self,
        _: Revision,
        _: Duration,
    ) -> Result<ReadOutcome<Changes>, Error> {
        std::future::pending().await
    }

    async fn read_targets(&self, _: Consistency) -> Result<ReadOutcome<Listing>, Error> {
        Ok(ReadOutcome::new(
            self.responded_at,
            Listing { revision: 5.into(), targets: Vec::new(), ..Listing::default() },
        ))
    }

    async fn watch_targets(
        &self,
        revision: Revision,
        wait: Duration,
    ) -> Result<ReadOutcome<ListingUpdate>, Error> {
        sleep(wait).await;
        Ok(ReadOutcome::new(self.responded_at, ListingUpdate { revision, changes: Vec::new() }))
    }
}

/// Starts a daemon in this process and returns it with a client of its admin API.
async fn start_with(store: SlowStore) -> (Gateway, Client) {
    let port = allocate_ports();
    let text = settings(1, "zone-a", port, "http://127.0.0.1:9", "127.0.0.1:9").to_string();
    let settings = banyanwharf::settings::Gateway::parse("test", &text).expect("valid settings");
    let admin = settings.admin.expect("an admin address");
    let started = Gateway::start(settings, store, PacketCodec, READY_PATH).await;
    let gateway = started.unwrap_or_else(|error| panic!("the daemon does not start: {error}"));
    let client = banyanwharf::admin::connect(admin, Duration::from_secs(1)).expect("a client");
    (gateway, client)
}

/// Guards against a zone that stays in service for as long as a large configuration is under way.
#[tokio::test(flavor = "multi_thread")]
async fn zone_is_taken_out_while_a_configuration_is_under_way() {
    let (_gateway, client) = start_with(SlowStore { responded_at: Instant::now() }).await;
    wait_until("the zone is out of service", async || {
        let zones = client.zones().await.unwrap_or_default();
        zones.iter().any(|zone| &*zone.name == "zone-b" && zone.state == ZoneState::Out)
    })
    .await;
}

/// Guards against a response that seems to confirm the state at its end, although the store sent its
/// beginning long before. Targets that have started since would be taken for ended ones.
#[tokio::test(flavor = "multi_thread")]
async fn slow_response_confirms_the_state_at_its_beginning() {
    let age = Duration::from_secs(5);
    let responded_at = Instant::now().checked_sub(age).expect("an instant");
    let (_gateway, client) = start_with(SlowStore { responded_at }).await;
    let ages = async || {
        let response = client.follow(Cursor::default()).await.ok()?;
        let response: serde_json::Value = serde_json::from_str(response.get()).ok()?;
        let seconds = |field| response["delta"][field]["secs"].as_u64();
        Some((seconds("age")?, seconds("operator_age")?))
    };
    wait_until("the daemon has read the store", async || ages().await.is_some()).await;
    let (targets, operator) =
        ages().await.expect("ages of the targets and of the operators' items");
    assert!(targets >= age.as_secs() && operator >= age.as_secs(), "{targets} {operator}");
}

/// A codec that panics.
struct FaultyCodec;

impl Codec for FaultyCodec {
    fn decode(&self, _: &[u8]) -> Result<Packet, DecodeError> {
        panic!("a fault in the packet loop")
    }

    fn encode_delivery(&self, _: &[u8], _: &Destination, _: &mut Vec<u8>) {}

    fn encode_reset(&self, _: &Flow, _: u32, _: &mut Vec<u8>) {}
}

/// Guards against a daemon that seems ready and forwards nothing after its packet loop has panicked.
#[tokio::test(flavor = "multi_thread")]
async fn ended_packet_loop_is_reported() {
    let port = allocate_ports();
    let text = settings(1, "zone-a", port, "http://127.0.0.1:9", "127.0.0.1:9").to_string();
    let settings = banyanwharf::settings::Gateway::parse("test", &text).expect("valid settings");
    let data = settings.data;
    let store = FaultyStore { panics: false };
    let started = Gateway::start(settings, store, FaultyCodec, READY_PATH).await;
    let mut gateway = started.unwrap_or_else(|error| panic!("the daemon does not start: {error}"));
    let caller = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a socket");
    caller.send_to(&[0; 40], data).await.expect("the datagram is sent");
    assert_eq!(gateway.failed_component().await, "packet loop");
}

/// Guards against new flows to a target that has been draining for longer than the platform allows,
/// because the daemon relies on stale reads, or on the operators' watch to tell it how old they are.
#[tokio::test(flavor = "multi_thread")]
async fn draining_target_is_noticed_although_stale_reads_never_show_it() {
    let port = allocate_ports();
    let (store, targets, daemon) = start_ready_daemon(port).await;
    store.set_replicas(&[Replica::At(store.revision())]);
    store.silence_watch("op/");
    daemon.wait_until_logged("store does not answer").await;
    targets[0].register(&store, "draining");
    daemon.wait_until_logged("Draining").await;
    let mut caller = Caller::new(1, port, WEB).await;
    assert_eq!(caller.open_and_request(daemon.data).await, Outcome::Served(2));
}

/// Guards against a configuration that is not in force 4 s after the open connections to the store
/// have stopped carrying data: a watch must not wait for its own timeout if another call has got no
/// response.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced_at_the_first_timeout() {
    let port = allocate_ports();
    let (store, targets) = start_store_and_targets(port).await;
    let path = Proxy::start(store.address()).expect("the proxy starts");
    let daemon = Daemon::start_with_store(1, "zone-a", port, path.address(), 2);
    daemon.wait_until_ready().await;
    let calls = store.calls();
    wait_until("both watches wait", async || store.calls() >= calls + 3).await;
    path.stall_open_connections();
    let document = config(9, &[(80, "web")], 0.0);
    store.put("op/config", document.to_string().as_bytes());
    targets[0].register(&store, "draining");
    daemon.wait_until_logged("\"version\":\"9\"").await;
    daemon.wait_until_logged("Draining").await;
    let log = daemon.log();
    let failures: Vec<&str> =
        log.lines().filter(|line| line.contains("store does not answer")).collect();
    assert_eq!(failures.len(), 1, "{failures:?}");
}

/// Guards against a configuration that comes into force only after the timeout of the operators' watch,
/// if only the connection of that watch has stopped carrying data.
#[tokio::test(flavor = "multi_thread")]
async fn operators_change_is_noticed_by_the_watch_of_the_targets() {
    let port = allocate_ports();
    let (store, _targets) = start_store_and_targets(port).await;
    let daemon = Daemon::start(1, "zone-a", port, &store, 2);
    daemon.wait_until_ready().await;
    store.silence_watch("op/");
    wait_until("the operators' watch waits", async || store.silenced_watches() > 0).await;
    store.end_silence();
    let document = config(9, &[(80, "web")], 0.0);
    store.put("op/config", document.to_string().as_bytes());
    daemon.wait_until_logged("\"version\":\"9\"").await;
    assert!(!daemon.log().contains("store does not answer"));
}

/// Guards against resets of the flows of targets whose entries have lapsed: the store was unavailable
/// while this daemon followed another one, and so made no call of its own that failed.
#[tokio::test(flavor = "multi_thread")]
async fn missing_entry_proves_nothing_after_following_has_ended() {
    let port = allocate_ports();
    let (store, targets) = start_store_and_targets(port).await;
    let paths = [1, 2].map(|_| Proxy::start(store.address()).expect("the proxy starts"));
    let daemons: Vec<Daemon> = (1..=2)
        .map(|number| {
            let path = paths[usize::from(number) - 1].address();
            Daemon::start_with_store(number, "zone-a", port, path, 3 - number)
        })
        .collect();
    let follows = |daemon: &&Daemon| daemon.log().contains("store is read by another daemon");
    wait_until("one follows the other", async || daemons.iter().any(|d| follows(&d))).await;
    let (reader, follower) = if follows(&&daemons[0]) { (1, 0) } else { (0, 1) };
    // A watch that the follower began before ends within 1 s and would show the removal.
    sleep(Duration::from_millis(1500)).await;
    paths[reader].set_mode(ProxyMode::DropAll);
    targets[0].deregister(&store);
    let follower = &daemons[follower];
    follower.wait_until_logged("this daemon reads the store").await;
    let is_missing = |line: &&str| {
        line.contains(&format!("\"target_id\":\"{}\"", targets[0].id))
            && line.contains("target has changed")
            && !line.contains("\"standing\":\"present\"")
    };
    wait_until("the entry is missing", async || {
        follower.log().lines().any(|line| is_missing(&line))
    })
    .await;
    let log = follower.log();
    let first = log.lines().find(is_missing).expect("logged");
    assert!(first.contains("\"standing\":\"lapsed\""), "{first}");
}

/// Guards against a view that is not renewed although the daemon seems to work, without a log line.
#[tokio::test(flavor = "multi_thread")]
async fn unconfirmed_view_is_logged() {
    let port = allocate_ports();
    let (store, _targets, daemon) = start_ready_daemon(port).await;
    store.set_mode(StoreMode::Silent);
    daemon.wait_until_logged("view is not confirmed").await;
    store.set_mode(StoreMode::Normal);
    daemon.wait_until_logged("view is confirmed again").await;
}

/// Guards against daemons of a zone that the store rejects, and which pass their old states to each
/// other instead of asking a daemon of another zone.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_daemons_of_a_zone_follow_changes_through_another_zone() {
    let port = allocate_ports();
    let (store, targets) = start_store_and_targets(port).await;
    let rejecting = Store::start().expect("the store starts");
    rejecting.set_mode(StoreMode::Unavailable);
    let reader = Daemon::start(3, "zone-b", port, &store, 1);
    reader.wait_until_ready().await;
    let rejected = [1, 2].map(|number| Daemon::start(number, "zone-a", port, &rejecting, 3));
    for daemon in &rejected {
        daemon.wait_until_ready().await;
        wait_until("all members are known", async || {
            daemon.run_tool("members").await.as_array().is_some_and(|members| members.len() == 3)
        })
        .await;
    }
    targets[0].register(&store, "draining");
    for daemon in &rejected {
        daemon.wait_until_logged("Draining").await;
    }
}

/// Guards against a test double that reports a broken flow which no daemon has broken: a packet that
/// waited in the socket of a paused daemon ends an earlier flow from the same port.
#[tokio::test(flavor = "multi_thread")]
async fn late_end_of_an_earlier_flow_leaves_the_present_one_open() {
    let port = allocate_ports();
    let target = Target::start(1, "web", "zone-a", port).await;
    let socket =
        UdpSocket::bind((Ipv4Addr::new(127, 0, 9, 9), port)).await.expect("a free address");
    let endpoint = |sequence, acknowledged| Endpoint {
        address: (Ipv4Addr::new(127, 0, 9, 9), 5_000),
        service: WEB,
        token: 7,
        sequence,
        acknowledged,
    };
    let initial = target.number as u32 * 1_000_000;
    let mut flags = Vec::new();
    for (segment, has_answer) in [
        (endpoint(100, 0).segment(SYN, Vec::new()), true),
        (endpoint(5_000, 0).segment(SYN, Vec::new()), true),
        (endpoint(100, initial).segment(FIN | ACK, Vec::new()), false),
        (endpoint(5_000, initial).segment(ACK, b"1".to_vec()), true),
        (endpoint(5_001, initial).segment(FIN | ACK, Vec::new()), true),
        (endpoint(5_001, initial).segment(ACK, b"2".to_vec()), true),
    ] {
        let datagram = [&target.number.to_be_bytes()[..], &segment.encode()].concat();
        socket.send_to(&datagram, target.address).await.expect("the packet is sent");
        if has_answer {
            let mut buffer = [0; 2048];
            let (length, _) = socket.recv_from(&mut buffer).await.expect("an answer");
            flags.push(Segment::decode(&buffer[..length]).flags);
        }
    }
    assert_eq!(flags, [SYN | ACK, SYN | ACK, ACK, ACK, RST]);
}

/// Guards against commands of the tool that lack the state of a daemon in gateway mode.
#[tokio::test(flavor = "multi_thread")]
async fn tool_shows_the_state_of_a_daemon() {
    let port = allocate_ports();
    let (store, targets) = start_store_and_targets(port).await;
    targets[3].register(&store, "draining");
    let first = Daemon::start(1, "zone-a", port, &store, 2);
    let second = Daemon::start(2, "zone-b", port, &store, 1);
    first.wait_until_ready().await;
    second.wait_until_ready().await;
    let mut caller = Caller::new(7, port, WEB).await;
    let Outcome::Served(target) = caller.open_and_request(first.data).await else {
        panic!("the request was not served")
    };
    let status = first.run_tool("status").await;
    assert_eq!((&status[0]["is_ready"], &status[0]["highest_ticket"]), (&json!(true), &json!(3)));
    wait_until("both members are known", async || {
        let members = first.run_tool("members").await;
        members.as_array().is_some_and(|members| members.len() == 2)
    })
    .await;
    let listed = first.run_tool("targets").await;
    let listed = listed.as_array().expect("the list is read");
    assert_eq!(listed.len(), 4);
    let draining = listed.iter().find(|target| target["name"] == targets[3].id.as_str());
    assert_eq!(draining.expect("the target is listed")["is_placeable"], false);
    let explained = first.run_tool("explain 127.0.9.7:5001 198.18.0.1:80").await;
    let explained = if explained.is_array() { explained[0].clone() } else { explained };
    assert_eq!(explained["cached"], targets[target as usize - 1].id.as_str(), "{explained}");
}
