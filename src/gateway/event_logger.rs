use std::time::{Duration, Instant};

use log::{Level, debug, info, log_enabled, warn};

use crate::{
    cookie::{Event, Reason, View, work::Refusal},
    util::TokenBucket,
};

/// The log lines about packets that a daemon writes a second, and in a burst.
const LOG_LINES_PER_SECOND: f64 = 100.0;
const LOG_LINES_BURST: f64 = 300.0;

/// The least time between two lines that report the number of suppressed lines.
const SUPPRESSION_REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Writes a log line for each decision about a flow, up to a maximum rate.
pub(super) struct EventLogger {
    limiter: TokenBucket,
    /// The number of lines suppressed since the last report.
    suppressed_lines: u64,
    /// When the suppressed lines were last reported.
    reported_at: Instant,
}

impl EventLogger {
    /// Creates a logger with a full burst.
    pub(super) fn new(now: Instant) -> EventLogger {
        let limiter = TokenBucket::new(LOG_LINES_PER_SECOND, LOG_LINES_BURST, now);
        EventLogger { limiter, suppressed_lines: 0, reported_at: now }
    }

    /// Writes the log lines for `events`, which are decisions made with `view`.
    pub(super) fn log_events(&mut self, now: Instant, view: &View, events: Vec<Event>) {
        for event in events {
            // Lines below the log level must not consume the rate limit.
            if matches!(event, Event::Dropped { .. }) && !log_enabled!(Level::Debug) {
                continue;
            }
            if !self.limiter.take(now, 1.0) {
                self.suppressed_lines += 1;
                continue;
            }
            if self.suppressed_lines > 0
                && now.saturating_duration_since(self.reported_at) >= SUPPRESSION_REPORT_PERIOD
            {
                self.reported_at = now;
                warn!(lines = self.suppressed_lines; "lines about packets were left out");
                self.suppressed_lines = 0;
            }
            log_event(now, view, &event);
        }
    }

    /// Returns the number of lines suppressed since the last report.
    pub(super) fn suppressed_lines(&self) -> u64 {
        self.suppressed_lines
    }
}

fn log_event(now: Instant, view: &View, event: &Event) {
    let version = view.version().unwrap_or(0);
    let revision = view.revision;
    let age = view.read_at.map(|read| now.saturating_duration_since(read));
    let age_ms = age.map_or(0, |age| age.as_millis() as u64);
    match event {
        Event::Placed { flow, target, zone, attempt, open, choices, basis, expected_ms } => info!(
            flow:% = flow, target_id = &**target, zone = &**zone, attempt = attempt, open = open,
            choices = choices, basis:? = basis, expected_ms:? = expected_ms, version = version,
            revision:% = revision, age_ms = age_ms;
            "flow is placed"
        ),
        Event::Repeated { flow, target, attempt, after_ms } => info!(
            flow:% = flow, target_id = &**target, attempt = attempt, after_ms = after_ms,
            version = version, revision:% = revision, age_ms = age_ms;
            "opening packet is forwarded to the target of the previous copy"
        ),
        Event::Moved { flow, previous_target, target } => info!(
            flow:% = flow, from = &**previous_target, target_id = &**target, version = version,
            revision:% = revision, age_ms = age_ms;
            "flow is placed again, since its target does not answer"
        ),
        Event::FormerStart { flow, target } => info!(
            flow:% = flow, target_id = &**target, version = version, revision:% = revision,
            age_ms = age_ms;
            "flow of a former start of the target is forwarded to the present one"
        ),
        Event::Reset { flow, target, reason } => info!(
            flow:% = flow, target_id = target.as_deref().unwrap_or("unknown"), reason:? = reason,
            version = version, revision:% = revision, age_ms = age_ms;
            "flow is reset"
        ),
        Event::Refused { flow, service, refusal } => info!(
            flow:% = flow, service = &**service, reason:? = Reason::NoRoom,
            admitted_percent = refusal.admitted_percent,
            rejections = rejections_by_zone(refusal).as_str(), version = version,
            revision:% = revision;
            "flow is refused for lack of capacity"
        ),
        Event::RefusedAgain { flow, attempt } => info!(
            flow:% = flow, reason:? = Reason::NoRoom, attempt = attempt, version = version,
            revision:% = revision;
            "copy of the opening packet of a refused flow is refused"
        ),
        Event::Dropped { flow, cause } => debug!(
            flow:% = flow, cause:? = cause, version = version, revision:% = revision,
            age_ms = age_ms;
            "packet is dropped"
        ),
        Event::TargetFellSilent { target, flows, for_ms } => warn!(
            target_id = &**target, flows = flows, for_ms = for_ms, revision:% = revision;
            "target does not answer and gets no new flows"
        ),
        Event::TargetUnreachable { target, outcome } => warn!(
            target_id = &**target, outcome:? = outcome, revision:% = revision;
            "target cannot be connected to"
        ),
        Event::TargetAnswered { target, after_ms } => info!(
            target_id = &**target, after_ms = after_ms;
            "target answers again"
        ),
        Event::ZoneFellSilent { zone, targets, for_ms } => warn!(
            zone = &**zone, targets = targets, for_ms = for_ms, revision:% = revision;
            "no target of the zone answers, and it gets no new flows"
        ),
        Event::ZoneAnswered { zone, after_ms } => info!(
            zone = &**zone, after_ms = after_ms;
            "zone answers again"
        ),
    }
}

/// Returns the rejections and the answers of the last second by zone, for example
/// `zone-a 9/12, zone-b 8/8`.
fn rejections_by_zone(refusal: &Refusal) -> String {
    let zones = refusal.zones.iter();
    let text = zones.map(|zone| format!("{} {}/{}", zone.zone, zone.rejections, zone.answers));
    text.collect::<Vec<_>>().join(", ")
}
