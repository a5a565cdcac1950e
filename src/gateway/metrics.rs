use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use crate::{
    cookie::Presence,
    gateway::shared::Shared,
    telemetry::{Histogram, Instrument, Metrics, Snapshot},
};

/// How often the values are published for the next scrape.
const PERIOD: Duration = Duration::from_secs(1);

const PACKETS: Instrument = Instrument::counter("gateway_packets", "Packets sent to targets.");
const PLACED: Instrument = Instrument::counter("gateway_new_flows", "New flows, by placement.");
const RESETS: Instrument = Instrument::counter("gateway_resets", "Flows reset, by reason.");
const DROPS: Instrument = Instrument::counter("gateway_drops", "Packets dropped, by cause.");
const REPEATS: Instrument =
    Instrument::counter("gateway_repeated_packets", "Packets that callers repeated.");
const SILENCES: Instrument =
    Instrument::counter("gateway_silences", "Times that a target was regarded as silent.");
const ZONE_SILENCES: Instrument = Instrument::counter(
    "gateway_zone_silences",
    "Times that all targets of a zone were regarded as silent.",
);
const FLOWS: Instrument = Instrument::gauge("gateway_flows", "Flows observed.");
const TARGETS: Instrument = Instrument::gauge("gateway_targets", "Targets, by standing.");
const VERSION: Instrument =
    Instrument::gauge("gateway_configuration_version", "Version of the configuration.");
const REVISION: Instrument =
    Instrument::gauge("gateway_revision", "Revision of the store at the last read of targets.");
const AGE: Instrument =
    Instrument::gauge("gateway_view_age_ms", "Time since the last read of targets in ms.");
const READS: Instrument =
    Instrument::gauge("gateway_reads_store", "Whether this daemon reads the store itself.");
const SUPPRESSED: Instrument =
    Instrument::gauge("gateway_suppressed_lines", "Log lines left out since the last line.");

/// Returns the histogram of the time that callers wait for the answer to an opening packet.
pub(super) fn openings(metrics: &Metrics) -> Histogram {
    metrics.histogram(
        "gateway_opening_seconds",
        "Time from an opening packet to the first packet after the target's answer.",
    )
}

/// Returns the histogram of the time of calls to the store.
pub(super) fn store_calls(metrics: &Metrics) -> Histogram {
    metrics.histogram("gateway_store_call_seconds", "Time of calls to the store, with waiting.")
}

/// Publishes the values of a daemon until the task is aborted.
pub(super) async fn run(metrics: Metrics, shared: Arc<Shared>) {
    let mut period = tokio::time::interval(PERIOD);
    loop {
        period.tick().await;
        metrics.set_ready(shared.is_ready());
        metrics.publish("gateway", snapshot(&shared));
    }
}

fn snapshot(shared: &Shared) -> Snapshot {
    let observed = shared.observed.load();
    let counters = &observed.counters;
    let view = shared.view.load();
    let mut snapshot = Snapshot::new();
    snapshot.set_plain(PACKETS, counters.delivered);
    snapshot.set_plain(REPEATS, counters.retransmissions);
    snapshot.set_plain(SILENCES, counters.silences);
    snapshot.set_plain(ZONE_SILENCES, counters.zone_silences);
    snapshot.set_plain(FLOWS, observed.flows);
    snapshot.set_plain(SUPPRESSED, observed.suppressed);
    snapshot.set_plain(VERSION, view.version().unwrap_or(0));
    snapshot.set_plain(REVISION, view.revision);
    let age = view.read_at.map_or(Duration::ZERO, |read| read.elapsed());
    snapshot.set_plain(AGE, age.as_millis() as u64);
    let is_following = shared.is_following.load(Ordering::Relaxed);
    snapshot.set_plain(READS, u64::from(!is_following));
    let at_home = counters.placed - counters.placed_in_other_zones;
    let placements = [
        ("own zone", at_home),
        ("other zone", counters.placed_in_other_zones),
        ("moved", counters.moved),
    ];
    for (placement, count) in placements {
        snapshot.set(PLACED, [("placement", placement)], count);
    }
    for (reason, count) in &counters.resets {
        snapshot.set(RESETS, [("reason", format!("{reason:?}"))], *count);
    }
    for (cause, count) in &counters.drops {
        snapshot.set(DROPS, [("cause", format!("{cause:?}"))], *count);
    }
    let malformed = shared.malformed.load(Ordering::Relaxed);
    snapshot.set(DROPS, [("cause", "Malformed")], malformed);
    snapshot.set(DROPS, [("cause", "Unsent")], shared.unsent.load(Ordering::Relaxed));
    for standing in [Presence::Present, Presence::Lapsed, Presence::Gone] {
        let count = view.entries().iter().filter(|entry| entry.presence == standing).count();
        snapshot.set(TARGETS, [("standing", format!("{standing:?}"))], count as u64);
    }
    snapshot
}
