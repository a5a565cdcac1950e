use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use crate::{
    cookie::Presence,
    gateway::{report_counters::ReportCounters, shared::Shared},
    telemetry::{Histogram, Instrument, Metrics, Snapshot},
};

/// The interval at which the values for the next scrape are updated.
const PUBLISH_PERIOD: Duration = Duration::from_secs(1);

const PACKETS: Instrument = Instrument::counter("gateway_packets", "Packets sent to targets.");
const NEW_FLOWS: Instrument = Instrument::counter("gateway_new_flows", "New flows, by placement.");
const PLACEMENTS: Instrument = Instrument::counter(
    "gateway_placements",
    "Selections of targets for new flows, by what they were based on.",
);
const HIGHEST_DELAY: Instrument = Instrument::gauge(
    "gateway_highest_delay_percent",
    "Highest delay of a target in percent of its route's cost, by service.",
);
const RESETS: Instrument = Instrument::counter("gateway_resets", "Flows reset, by reason.");
const DROPS: Instrument = Instrument::counter("gateway_drops", "Packets dropped, by cause.");
const REPEATED_PACKETS: Instrument =
    Instrument::counter("gateway_repeated_packets", "Packets that callers retransmitted.");
const REPEATED_OPENS: Instrument = Instrument::counter(
    "gateway_repeated_opens",
    "Copies of opening packets forwarded to the target of the previous copy.",
);
const SILENCES: Instrument =
    Instrument::counter("gateway_silences", "Times that a target was found silent.");
const ZONE_SILENCES: Instrument = Instrument::counter(
    "gateway_zone_silences",
    "Times that all targets of a zone were found silent.",
);
const REJECTIONS: Instrument =
    Instrument::counter("gateway_rejections", "Answers regarded as rejections by full targets.");
const FLOWS: Instrument = Instrument::gauge("gateway_flows", "Flows observed.");
const TARGETS: Instrument = Instrument::gauge("gateway_targets", "Targets, by standing.");
const CONFIGURATION_VERSION: Instrument =
    Instrument::gauge("gateway_configuration_version", "Version of the configuration.");
const REVISION: Instrument =
    Instrument::gauge("gateway_revision", "Revision of the store at the last read of targets.");
const STORE_ERA: Instrument = Instrument::gauge(
    "gateway_store_era",
    "Era of the store at the last read of targets: how often it has returned from a copy.",
);
const STORE_ERA_CHANGES: Instrument = Instrument::counter(
    "gateway_store_era_changes",
    "Times that the store returned from a copy while the daemon ran.",
);
const VIEW_AGE: Instrument =
    Instrument::gauge("gateway_view_age_ms", "Time since the last read of targets in ms.");
const READS_STORE: Instrument =
    Instrument::gauge("gateway_reads_store", "Whether this daemon reads the store itself.");
const COLD_SHARERS: Instrument = Instrument::gauge(
    "gateway_cold_sharers",
    "Daemons among which the limits of cold targets are divided.",
);
const CONTACT_QUERIES: Instrument = Instrument::counter(
    "gateway_contact_queries",
    "Queries of contacts for their member view, by outcome.",
);
const SUPPRESSED_LINES: Instrument =
    Instrument::gauge("gateway_suppressed_lines", "Log lines left out since the last line.");

const REPORT_FRAMES: Instrument =
    Instrument::counter("gateway_report_frames", "Frames with reports about targets, by outcome.");
const REPORTS: Instrument =
    Instrument::counter("gateway_reports", "Reports about targets, by outcome.");
const REPORT_BYTES: Instrument =
    Instrument::counter("gateway_report_bytes", "Bytes of the frames with reports sent.");

/// Returns the histogram of the time that callers wait for the response to an opening packet.
pub(super) fn opening_times(metrics: &Metrics) -> Histogram {
    metrics.histogram(
        "gateway_opening_seconds",
        "Time from an opening packet to the first packet after the target's answer.",
    )
}

/// Returns the histogram of the durations of calls to the store.
pub(super) fn store_call_durations(metrics: &Metrics) -> Histogram {
    metrics.histogram("gateway_store_call_seconds", "Time of calls to the store, with waiting.")
}

/// Publishes the metrics of a daemon every [`PUBLISH_PERIOD`] until the task is aborted.
pub(super) async fn run(metrics: Metrics, shared: Arc<Shared>) {
    let mut period = tokio::time::interval(PUBLISH_PERIOD);
    loop {
        period.tick().await;
        metrics.set_ready(shared.is_ready());
        metrics.publish("gateway", snapshot(&shared));
    }
}

fn snapshot(shared: &Shared) -> Snapshot {
    let stats = shared.packet_loop_stats.load();
    let counters = &stats.counters;
    let view = shared.view.load();
    let mut snapshot = Snapshot::new();
    snapshot.set_unlabeled(PACKETS, counters.delivered);
    snapshot.set_unlabeled(REPEATED_PACKETS, counters.retransmissions);
    snapshot.set_unlabeled(REPEATED_OPENS, counters.repeated);
    snapshot.set_unlabeled(SILENCES, counters.silences);
    snapshot.set_unlabeled(ZONE_SILENCES, counters.zone_silences);
    snapshot.set_unlabeled(REJECTIONS, counters.rejections);
    snapshot.set_unlabeled(FLOWS, stats.flows);
    snapshot.set_unlabeled(SUPPRESSED_LINES, stats.suppressed_lines);
    snapshot.set_unlabeled(CONFIGURATION_VERSION, view.version().unwrap_or(0));
    snapshot.set_unlabeled(REVISION, view.revision.number);
    snapshot.set_unlabeled(STORE_ERA, view.revision.era);
    snapshot.set_unlabeled(STORE_ERA_CHANGES, shared.era_changes.load(Ordering::Relaxed));
    let age = view.read_at.map_or(Duration::ZERO, |read| read.elapsed());
    snapshot.set_unlabeled(VIEW_AGE, age.as_millis() as u64);
    let is_following = shared.is_following.load(Ordering::Relaxed);
    snapshot.set_unlabeled(READS_STORE, u64::from(!is_following));
    let own_zone = counters.placed - counters.placed_in_other_zones;
    let placements = [
        ("own zone", own_zone),
        ("other zone", counters.placed_in_other_zones),
        ("moved", counters.moved),
    ];
    for (placement, count) in placements {
        snapshot.set(NEW_FLOWS, [("placement", placement)], count);
    }
    for (basis, count) in &counters.placed_by {
        snapshot.set(PLACEMENTS, [("basis", format!("{basis:?}"))], *count);
    }
    for (service, factor) in &stats.highest_delays {
        snapshot.set(HIGHEST_DELAY, [("service", service.to_string())], (factor * 100.0) as u64);
    }
    for (reason, count) in &counters.resets {
        snapshot.set(RESETS, [("reason", format!("{reason:?}"))], *count);
    }
    for (cause, count) in &counters.drops {
        snapshot.set(DROPS, [("cause", format!("{cause:?}"))], *count);
    }
    snapshot.set_unlabeled(COLD_SHARERS, shared.cold_sharers.load(Ordering::Relaxed) as u64);
    let queries = [("answered", &shared.contact_answers), ("failed", &shared.contact_failures)];
    for (outcome, count) in queries {
        snapshot.set(CONTACT_QUERIES, [("outcome", outcome)], count.load(Ordering::Relaxed));
    }
    let malformed = shared.malformed.load(Ordering::Relaxed);
    snapshot.set(DROPS, [("cause", "Malformed")], malformed);
    snapshot.set(DROPS, [("cause", "Unsent")], shared.unsent.load(Ordering::Relaxed));
    let reports = &shared.report_counters;
    for (outcome, counter) in [
        ("sent", &reports.frames_sent),
        ("received", &reports.frames_received),
        ("dropped", &reports.frames_dropped),
    ] {
        snapshot.set(REPORT_FRAMES, [("outcome", outcome)], ReportCounters::get(counter));
    }
    for (outcome, counter) in [
        ("sent", &reports.reports_sent),
        ("received", &reports.reports_received),
        ("ignored", &reports.reports_ignored),
    ] {
        snapshot.set(REPORTS, [("outcome", outcome)], ReportCounters::get(counter));
    }
    snapshot.set_unlabeled(REPORT_BYTES, ReportCounters::get(&reports.bytes_sent));
    let presences = [Presence::Present, Presence::Unreadable, Presence::Lapsed, Presence::Gone];
    for presence in presences {
        let count = view.entries().iter().filter(|entry| entry.presence == presence).count();
        snapshot.set(TARGETS, [("standing", format!("{presence:?}"))], count as u64);
    }
    snapshot
}
