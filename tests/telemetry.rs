//! Metrics, spans and log lines must reach the operator complete and correct.

use std::{fs, sync::Arc};

use banyanwharf::{
    settings::{Format, Level, Log, Output, Trace},
    telemetry::{Error, Instrument, Logs, Metrics, Operation, Snapshot, Tracing, parse_trace_file},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

const DROPPED: Instrument = Instrument::counter("dropped_packets", "Dropped packets by cause.");
const TARGETS: Instrument = Instrument::gauge("targets", "By target.").with_max_series(9_400);
const FLOWS: Instrument = Instrument::gauge("flows", "Held flows.");

async fn request(address: std::net::SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the server accepts connections");
    let request = format!("{request} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("the request is sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("the response is read");
    response
}

/// Guards against a scrape that shows old values, lacks labels or targets, or counts a value twice.
#[tokio::test]
async fn metrics_are_scraped() {
    let metrics = Metrics::new().expect("the metrics are created");
    let local = "127.0.0.1:0".parse().expect("the address is valid");
    let server = metrics.serve(local).await.expect("the port is free");
    let address = server.address();
    assert!(matches!(metrics.serve(address).await, Err(Error::Bind { .. })));
    for (loop_count, flows) in [(3, 20), (5, 10)] {
        let mut snapshot = Snapshot::new();
        snapshot.set(DROPPED, [("cause", "fragment"), ("a", "b")], loop_count);
        snapshot.set(DROPPED, [("cause", "hop \"limit\"")], 1);
        snapshot.set_unlabeled(FLOWS, flows);
        metrics.publish("packet loop", snapshot);
    }
    let mut snapshot = Snapshot::new();
    snapshot.set(DROPPED, [("a", "b"), ("cause", "fragment")], 2);
    for index in 0..9_400 {
        snapshot.set(TARGETS, [("target", format!("t-{index}"))], 1);
    }
    metrics.publish("other", snapshot);

    let text = request(address, "GET /metrics").await;
    for line in [
        "HTTP/1.1 200 OK\r\n",
        "content-type: text/plain; version=0.0.4\r\n",
        "# HELP banyanwharf_dropped_packets_total Dropped packets by cause.\n",
        "# TYPE banyanwharf_dropped_packets_total counter\n",
        "\nbanyanwharf_dropped_packets_total{a=\"b\",cause=\"fragment\"} 7\n",
        "\nbanyanwharf_dropped_packets_total{cause=\"hop \\\"limit\\\"\"} 1\n",
        "# TYPE banyanwharf_flows gauge\n",
        "\nbanyanwharf_flows 10\n",
    ] {
        assert!(text.contains(line), "{line} is not in {text}");
    }
    assert_eq!(text.matches("\nbanyanwharf_targets{target=").count(), 9_400);
    assert!(request(address, "GET /healthz").await.contains("503"));
    metrics.set_ready(true);
    assert!(request(address, "GET /healthz").await.ends_with("\r\nready\n"));
    assert!(request(address, "GET /x").await.contains("404"));
    assert!(request(address, "POST /metrics").await.contains("405"));
    server.stop().await;
    metrics.serve(address).await.expect("the port is free again");
}

/// Guards against spans of one packet that do not form one trace, and against spans of packets that
/// are not sampled.
#[test]
fn spans_of_a_packet_form_one_trace() {
    let directory = tempfile::tempdir().expect("the directory is created");
    let path = directory.path().join("spans.jsonl");
    let settings = Trace { ratio: 1.0, output: Output::File(path.clone()) };
    let mut tracing =
        Tracing::new(&settings, Arc::from("entry-1"), 1).expect("the trace file opens");
    let ingress = tracing.sample(Operation::Ingress).expect("every packet is sampled");
    let owner = tracing.continue_from(Operation::Owner, Some(ingress.context()));
    let mut owner = owner.expect("the packet is sampled");
    owner.set("target", "turnos-01");
    let delivery = tracing.continue_from(Operation::Delivery, Some(owner.context()));
    let contexts = [&ingress, &owner].map(|span| span.context());
    assert!(tracing.continue_from(Operation::Owner, None).is_none());
    drop((delivery, owner, ingress));
    tracing.flush();
    let text = fs::read_to_string(&path).expect("the file exists");
    let records = parse_trace_file(&text).expect("the trace file is valid");
    let names: Vec<_> = records.iter().map(|r| &*r.name).collect();
    assert_eq!(names, ["delivery", "owner", "ingress"]);
    assert_eq!(records[1].attributes["target"], "turnos-01".into());
    assert_eq!(records[2].parent_span_id, None);
    for (child, parent) in [(0, 1), (1, 2)] {
        assert_eq!(records[child].parent_span_id.as_ref(), Some(&records[parent].span_id));
        assert_eq!(records[child].trace_id, records[parent].trace_id);
        assert_eq!(&*records[parent].span_id, format!("{:016x}", contexts[2 - parent].span_id));
    }
    assert_eq!(&*records[0].trace_id, format!("{:032x}", contexts[0].trace_id));

    let cut = &text[..text.len() - 3];
    assert_eq!(parse_trace_file(cut).expect("a cut last line is ignored").len(), 2);
    let broken = text.replacen("{\"trace\"", "{\"track\"", 2);
    assert!(matches!(parse_trace_file(&broken), Err(Error::InvalidSpan { line: 1, .. })));
    drop(tracing);

    let sampled = |ratio, seed| {
        let output = Output::File(path.clone());
        let mut tracing =
            Tracing::new(&Trace { ratio, output }, "a".into(), seed).expect("the trace file opens");
        (0..1000).filter(|_| tracing.sample(Operation::Ingress).is_some()).count()
    };
    assert_eq!(sampled(0.0, 1), 0);
    assert!((50..150).contains(&sampled(0.1, 1)), "seed 1");
}

/// Guards against a trace file that grows without bound.
#[test]
fn trace_output_is_bounded() {
    let directory = tempfile::tempdir().expect("the directory is created");
    let path = directory.path().join("spans.jsonl");
    let output = Output::File(path.clone());
    let mut tracing =
        Tracing::new(&Trace { ratio: 1.0, output }, "a".into(), 1).expect("the trace file opens");
    let long = "x".repeat(1 << 20);
    for _ in 0..20 {
        let mut span = tracing.sample(Operation::Return).expect("every packet is sampled");
        span.set("long", long.clone());
        drop(span);
        tracing.flush();
    }
    assert_eq!(tracing.dropped(), 5);
    let length = fs::metadata(&path).expect("the file exists").len();
    assert!(length <= 16 << 20, "{length} bytes");
    let text = fs::read_to_string(&path).expect("the file exists");
    assert_eq!(parse_trace_file(&text).expect("the trace file is valid").len(), 15);
}

/// Guards against a log level that cannot be changed while the daemon runs, and against log lines
/// that lose their attributes or repeat what is the same in every line. The logger is global to the
/// process, so this is the only test that installs one.
#[test]
fn log_level_changes() {
    let directory = tempfile::tempdir().expect("the directory is created");
    let path = directory.path().join("daemon.log");
    let settings = Log {
        level: Level::Warn,
        format: Format::Json,
        file: Some(path.clone()),
        ..Log::default()
    };
    let mut logs = Logs::install(settings.clone()).expect("no logger is installed");
    assert!(matches!(Logs::install(settings), Err(Error::Installed(_))));
    log::info!("one");
    log::warn!("two");
    logs.set_level(Level::Info).expect("the file opens");
    log::info!(target_id = "i-7", open = 3; "three");
    logs.set_level(Level::Off).expect("the file opens");
    log::error!("four");
    assert_eq!(logs.level(), Level::Off);
    log::logger().flush();
    let text = fs::read_to_string(&path).expect("the file exists");
    let lines: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).expect("the line is JSON")).collect();
    let messages: Vec<_> = lines.iter().map(|line| &line["message"]).collect();
    assert_eq!(messages, ["two", "three"]);
    // A fleet writes many lines, so none may carry keys that say nothing about its event.
    let keys = |line: &serde_json::Value| {
        line.as_object().map(|line| line.keys().cloned().collect::<Vec<_>>())
    };
    assert_eq!(keys(&lines[0]), Some(["level", "message", "time"].map(String::from).to_vec()));
    assert_eq!(lines[1]["attributes"], serde_json::json!({ "target_id": "i-7", "open": "3" }));
    let missing = Log { file: Some(directory.path().join("a/../../missing/\0")), ..Log::default() };
    assert!(matches!(Logs::install(missing), Err(Error::Open { .. })));
}
