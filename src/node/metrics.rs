use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use crate::{
    member::Status,
    node::{packet_loop_stats::PacketLoopStats, shared::Shared},
    telemetry::{Instrument, Metrics, Snapshot},
    wire::Sender,
};

/// The interval at which the values are published for the next scrape.
const PERIOD: Duration = Duration::from_secs(1);

const DATAGRAMS: Instrument =
    Instrument::counter("datagrams", "Datagrams received from the fabric and from targets.");
const PACKETS: Instrument = Instrument::counter("packets", "Packets sent, by destination.");
const CACHE: Instrument = Instrument::counter("cache_lookups", "Cache lookups, by result.");
const DROPPED: Instrument = Instrument::counter("dropped_packets", "Dropped packets, by cause.");
const FLOWS: Instrument = Instrument::gauge("flows", "Flows held, by role.");
const NEW_FLOWS: Instrument = Instrument::counter("new_flows", "New flows, by outcome.");
const QUERIES: Instrument = Instrument::counter("flow_queries", "Queries for records, by outcome.");
const RECORDS: Instrument = Instrument::counter("flow_records", "Copies of records, by direction.");
const CONFLICTS: Instrument =
    Instrument::counter("flow_conflicts", "Records that differed between the owners, by state.");
const FRAME_BYTES: Instrument =
    Instrument::counter("frame_bytes", "Bytes of frames sent to members, by kind.");
const ERRORS: Instrument = Instrument::counter("errors", "Datagrams and frames lost, by cause.");
const PAUSES: Instrument = Instrument::counter("pauses", "Pauses of the process.");
const MEMBERS: Instrument = Instrument::gauge("members", "Members, by state.");
const SERVICES: Instrument = Instrument::gauge("services", "Services in force.");
const TARGETS: Instrument = Instrument::gauge("targets", "Targets in force.");
const READER: Instrument =
    Instrument::gauge("platform_reader", "1 if the daemon reads the platform.");
const PLATFORM_FAILURES: Instrument =
    Instrument::gauge("platform_failures", "Failed calls to the platform since the last success.");

/// Publishes the values of a daemon until the task is aborted.
pub(super) async fn run(metrics: Metrics, shared: Arc<Shared>, sender: Sender) {
    let mut period = tokio::time::interval(PERIOD);
    loop {
        period.tick().await;
        let is_leaving = shared.is_leaving.load(Ordering::Relaxed);
        metrics.set_ready(*shared.is_ready.borrow() && !is_leaving);
        metrics.publish("packets", packets(&shared.packet_loop_stats.load()));
        metrics.publish("control", control(&shared, &sender));
    }
}

fn packets(stats: &PacketLoopStats) -> Snapshot {
    let forward = &stats.forward;
    let mut snapshot = Snapshot::new();
    snapshot.set_unlabeled(DATAGRAMS, forward.datagrams);
    snapshot.set_unlabeled(PAUSES, stats.pauses);
    let values = [
        (PACKETS, "to", "target", forward.delivered),
        (PACKETS, "to", "fabric", forward.returned),
        (PACKETS, "to", "member", forward.hops),
        (CACHE, "result", "hit", forward.cache_hits),
        (CACHE, "result", "miss", forward.cache_misses),
        (FLOWS, "role", "owner", stats.owned_flows),
        (FLOWS, "role", "cache", stats.cached_flows),
        (NEW_FLOWS, "outcome", "placed", forward.placed),
        (NEW_FLOWS, "outcome", "reused", forward.reused),
        (NEW_FLOWS, "outcome", "refused", forward.refused),
        (NEW_FLOWS, "outcome", "moved", forward.moved),
        (NEW_FLOWS, "outcome", "retried", forward.retried),
        (NEW_FLOWS, "outcome", "retry_denied", forward.retries_denied),
        (NEW_FLOWS, "outcome", "terminated", forward.terminated),
        (QUERIES, "outcome", "sent", forward.queries),
        (QUERIES, "outcome", "found", forward.found),
        (QUERIES, "outcome", "inconclusive", forward.inconclusive),
        (QUERIES, "outcome", "probed", forward.probes),
        (RECORDS, "direction", "sent", forward.copied),
        (RECORDS, "direction", "stored", forward.copies_stored),
        (RECORDS, "direction", "evicted", forward.evicted),
        (CONFLICTS, "state", "opening", forward.conflicts),
        (CONFLICTS, "state", "open", forward.conflicts_open),
        (FRAME_BYTES, "kind", "hop", stats.hop_bytes),
        (FRAME_BYTES, "kind", "lookup", stats.lookup_bytes),
        (FRAME_BYTES, "kind", "copy", stats.copy_bytes),
        (ERRORS, "cause", "bad_frame", stats.bad_frames),
        (ERRORS, "cause", "unsent", stats.unsent),
    ];
    for (instrument, label, text, value) in values {
        snapshot.set(instrument, [(label, text)], value);
    }
    for (cause, count) in &forward.dropped {
        snapshot.set(DROPPED, [("cause", cause.name())], *count);
    }
    snapshot
}

fn control(shared: &Shared, sender: &Sender) -> Snapshot {
    let mut snapshot = Snapshot::new();
    snapshot.set(FRAME_BYTES, [("kind", "control")], sender.sent_bytes());
    snapshot.set(ERRORS, [("cause", "unsent_control")], sender.failed());
    let view = shared.view.load();
    for (status, name) in [
        (Status::Alive, "alive"),
        (Status::Leaving, "leaving"),
        (Status::Suspect, "suspect"),
        (Status::Failed, "failed"),
        (Status::Left, "left"),
    ] {
        let count = view.iter().filter(|(_, member)| member.status == status).count();
        snapshot.set(MEMBERS, [("state", name)], count as u64);
    }
    let routes = shared.routes.load();
    snapshot.set_unlabeled(SERVICES, routes.services().len() as u64);
    snapshot.set_unlabeled(TARGETS, routes.targets().count() as u64);
    snapshot.set_unlabeled(READER, u64::from(*shared.is_reader.borrow()));
    let failures = if *shared.is_reader.borrow() { shared.ticket_watch.load().failures } else { 0 };
    snapshot.set_unlabeled(PLATFORM_FAILURES, failures.into());
    snapshot
}
