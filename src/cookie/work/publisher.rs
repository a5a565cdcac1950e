use std::time::{Duration, Instant};

use hashbrown::HashMap;

use crate::{
    cookie::{Cookie, work::Report},
    util::TokenBucket,
};

/// The length of a frame without reports in bytes, with the headers of IP and UDP.
pub const FRAME_BYTES: usize = 56;

/// The length of one report in a frame in bytes.
pub const REPORT_BYTES: usize = 7;

/// The bytes that are sent per second, and the bytes that are available at once. Together they allow
/// 59,400 bytes in any minute, which is 990 a second. The burst is enough to tell one report to all
/// others of a zone of 85 daemons.
const BYTES_PER_SECOND: f64 = 900.0;
const BURST_BYTES: f64 = 5_400.0;

/// The time between two frames with all present reports.
const PERIOD: Duration = Duration::from_millis(500);

/// The minimum time between two announcements of newly slow or full targets.
const ANNOUNCEMENT_GAP: Duration = Duration::from_millis(200);

/// The minimum time between two announcements of the same target, which limits the announcements of
/// a target that is slow and full by turns.
const REPEAT_GAP: Duration = Duration::from_secs(2);

/// The maximum number of daemons to which all present reports are sent in each [`PERIOD`].
const MAXIMUM_PERIODIC_PEERS: usize = 8;

/// The number of daemons that the budget must allow for an announcement.
const MINIMUM_ANNOUNCED_PEERS: usize = 3;

/// The bytes that the periodic frames leave for announcements, except for one frame in each
/// [`PERIOD`].
const ANNOUNCEMENT_RESERVE: f64 = BURST_BYTES / 2.0;

/// The maximum number of reports in a frame.
const MAXIMUM_REPORTS: usize = 24;

/// The age from which on a report is not sent.
const MAXIMUM_AGE: Duration = Duration::from_secs(1);

/// The minimum delay factor of a slow target. The maximum of a fast one is the inverse.
const SLOW_FACTOR: f32 = 1.5;

/// The maximum number of targets whose announcements are remembered.
const MAXIMUM_ANNOUNCEMENTS: usize = 1_024;

/// Reports that are sent to random other daemons of the own zone, as one frame to each.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The reports.
    pub reports: Vec<Report>,
    /// The number of daemons to send them to.
    pub peers: usize,
    /// The time to which the ages of the reports refer.
    pub created_at: Instant,
}

impl Batch {
    /// Returns the reports with their ages at `now`, without those that are too old to be sent.
    pub fn reports_at(&self, now: Instant) -> Vec<Report> {
        let elapsed = now.saturating_duration_since(self.created_at);
        let reports = self.reports.iter();
        let aged =
            reports.map(|report| Report { age: report.age.saturating_add(elapsed), ..*report });
        aged.filter(|report| report.age < MAXIMUM_AGE).collect()
    }
}

/// Decides which of a daemon's own reports are sent when, and to how many daemons, within a byte
/// budget.
///
/// A target that has become slow or full is announced immediately to as many daemons as the budget
/// allows. All present reports are sent to a few daemons in each period of half a second.
#[derive(Debug, Clone)]
pub struct Publisher {
    budget: TokenBucket,
    next_period_at: Instant,
    next_announcement_at: Instant,
    /// When each slow or full target was last announced or, without a gap since, reported.
    announced: HashMap<Cookie, Announcement>,
    /// The end of the last pause of the process. What was observed before is not sent.
    resumed_at: Option<Instant>,
}

#[derive(Debug, Clone, Copy)]
struct Announcement {
    is_rejecting: bool,
    announced_at: Instant,
    reported_at: Instant,
}

impl Publisher {
    /// Creates a publisher with a full budget.
    pub fn new(now: Instant) -> Publisher {
        Publisher {
            budget: TokenBucket::new(BYTES_PER_SECOND, BURST_BYTES, now),
            next_period_at: now,
            next_announcement_at: now,
            announced: HashMap::new(),
            resumed_at: None,
        }
    }

    /// Records that the process was paused.
    pub fn record_pause(&mut self, now: Instant) {
        self.resumed_at = Some(now);
        self.announced.clear();
    }

    /// Returns what is to be sent now of the present own reports, and takes the bytes from the
    /// budget. `peers` is the number of other daemons in the zone. Is to be called several times a
    /// second.
    pub fn publish(&mut self, now: Instant, own: &[Report], peers: usize) -> Option<Batch> {
        let mut reports: Vec<Report> =
            own.iter().filter(|report| self.should_send(now, report)).copied().collect();
        let new = self.newly_demoted(now, &reports);
        self.announced.retain(|_, announcement| {
            now.saturating_duration_since(announcement.reported_at) < REPEAT_GAP
        });
        if peers == 0 || reports.is_empty() {
            return None;
        }
        let is_announcement_due = !new.is_empty() && now >= self.next_announcement_at;
        if is_announcement_due && let Some(batch) = self.announce(now, new, peers) {
            return Some(batch);
        }
        if now < self.next_period_at {
            return None;
        }
        sort_by_importance(&mut reports);
        reports.truncate(MAXIMUM_REPORTS);
        let spare = self.budget.available(now) - ANNOUNCEMENT_RESERVE;
        let periodic_peers = (spare / frame_bytes(reports.len()) as f64) as usize;
        let periodic_peers = periodic_peers.clamp(1, MAXIMUM_PERIODIC_PEERS);
        let batch = self.batch(now, reports, peers.min(periodic_peers))?;
        self.next_period_at = now + PERIOD;
        Some(batch)
    }

    /// Returns whether a report is valid, recent and about a target that differs from the others.
    fn should_send(&self, now: Instant, report: &Report) -> bool {
        let factor = report.delay_factor;
        let is_valid = factor.is_finite() && factor > 0.0;
        let differs = report.is_rejecting || factor >= SLOW_FACTOR || factor <= 1.0 / SLOW_FACTOR;
        let is_from_before_pause = self.resumed_at.is_some_and(|resumed_at| {
            now.checked_sub(report.age).is_none_or(|observed_at| observed_at < resumed_at)
        });
        is_valid && differs && report.age < MAXIMUM_AGE && !is_from_before_pause
    }

    /// Returns the reports about slow or full targets that were not announced.
    fn newly_demoted(&mut self, now: Instant, reports: &[Report]) -> Vec<Report> {
        let mut new = Vec::new();
        for report in reports {
            if !report.is_rejecting && report.delay_factor < SLOW_FACTOR {
                continue;
            }
            match self.announced.get_mut(&report.cookie) {
                Some(known) => {
                    known.reported_at = now;
                    let is_repeatable =
                        now.saturating_duration_since(known.announced_at) >= REPEAT_GAP;
                    if report.is_rejecting && !known.is_rejecting && is_repeatable {
                        new.push(*report);
                    }
                }
                None => new.push(*report),
            }
        }
        new
    }

    fn announce(&mut self, now: Instant, mut new: Vec<Report>, peers: usize) -> Option<Batch> {
        sort_by_importance(&mut new);
        let affordable = self.affordable_frames(now, new.len().min(MAXIMUM_REPORTS));
        if affordable < peers.min(MINIMUM_ANNOUNCED_PEERS) {
            return None;
        }
        let batch = self.batch(now, new, peers)?;
        self.next_announcement_at = now + ANNOUNCEMENT_GAP;
        for report in &batch.reports {
            if self.announced.len() >= MAXIMUM_ANNOUNCEMENTS {
                break;
            }
            let is_rejecting = report.is_rejecting;
            let announcement = Announcement { is_rejecting, announced_at: now, reported_at: now };
            self.announced.insert(report.cookie, announcement);
        }
        Some(batch)
    }

    /// Takes the bytes of frames with `reports` to at most `peers` daemons from the budget.
    fn batch(&mut self, now: Instant, mut reports: Vec<Report>, peers: usize) -> Option<Batch> {
        reports.truncate(MAXIMUM_REPORTS);
        let peers = peers.min(self.affordable_frames(now, reports.len()));
        let bytes = peers * frame_bytes(reports.len());
        let is_affordable = peers > 0 && self.budget.take(now, bytes as f64);
        is_affordable.then_some(Batch { reports, peers, created_at: now })
    }

    fn affordable_frames(&mut self, now: Instant, reports: usize) -> usize {
        (self.budget.available(now) / frame_bytes(reports) as f64) as usize
    }
}

/// Returns the length of a frame with `reports` reports in bytes, with the headers of IP and UDP.
fn frame_bytes(reports: usize) -> usize {
    FRAME_BYTES + reports * REPORT_BYTES
}

/// Sorts full targets first, then those that differ most from the others, then the latest reports.
fn sort_by_importance(reports: &mut [Report]) {
    let difference = |report: &Report| report.delay_factor.ln().abs();
    reports.sort_by(|a, b| {
        let by_rejection = b.is_rejecting.cmp(&a.is_rejecting);
        let by_difference = difference(b).total_cmp(&difference(a));
        by_rejection.then(by_difference).then(a.age.cmp(&b.age))
    });
}
