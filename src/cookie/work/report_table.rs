use std::time::{Duration, Instant};

use hashbrown::{HashMap, HashSet};

use crate::{
    cookie::{Cookie, work::Report},
    member,
};

/// The age at which the delay factor of a report no longer counts.
const DELAY_LIFETIME: Duration = Duration::from_secs(2);

/// The age at which the rejection of a report no longer counts. A target with a queue of 8 requests
/// has processed it after a fraction of a second.
const REJECTION_LIFETIME: Duration = Duration::from_secs(1);

/// The weight of a report of age 0, where an own observation has the weight 1.
const REPORT_WEIGHT: f64 = 0.5;

/// The weight of the assumption that a target is like the others. It makes the effect of a single
/// report decrease with its age.
const PRIOR_WEIGHT: f64 = 0.25;

/// The maximum factor by which reports increase the expected time of a target.
const MAXIMUM_FACTOR: f64 = 4.0;

/// The minimum factor. It is closer to 1 than the inverse of [`MAXIMUM_FACTOR`], because a wrong
/// report of a fast target draws the flows of all its receivers to one target.
const MINIMUM_FACTOR: f64 = 0.5;

/// The share of the zone's targets whose expected time reports may increase is 1 in this number.
const TARGETS_PER_DEMOTION: usize = 4;

/// The maximum number of senders whose reports about one target are kept.
const MAXIMUM_SENDERS: usize = 8;

/// The maximum number of reports of one frame that are read. Senders put fewer into a frame.
const MAXIMUM_REPORTS: usize = 64;

/// The time after a pause of the process during which reports are ignored. They may have waited in
/// the socket, and their ages do not include that time.
const PAUSE_IGNORE_TIME: Duration = Duration::from_millis(300);

/// What one daemon has reported of a target.
#[derive(Debug, Clone, Copy)]
struct Opinion {
    from: member::Id,
    /// The natural logarithm of the delay factor, within the bounds of the factor.
    delay: f64,
    is_rejecting: bool,
    observed_at: Instant,
}

impl Opinion {
    /// Returns the weight of the opinion and the natural logarithm of its factor.
    fn evidence(&self, now: Instant) -> (f64, f64) {
        let age = now.saturating_duration_since(self.observed_at);
        let (factor, lifetime) = match self.is_rejecting && age < REJECTION_LIFETIME {
            // The answer that rejects a request arrives early, so its time says nothing.
            true => (MAXIMUM_FACTOR.ln(), REJECTION_LIFETIME),
            false => (self.delay, DELAY_LIFETIME),
        };
        let remaining = 1.0 - age.as_secs_f64() / lifetime.as_secs_f64();
        (REPORT_WEIGHT * remaining.max(0.0), factor)
    }
}

/// The latest reports of the other daemons of the zone about the targets of the zone.
///
/// Reports change the rank of targets only. They are not forwarded to other daemons.
#[derive(Debug, Clone, Default)]
pub struct ReportTable {
    /// The targets of the zone. Reports about others are ignored.
    targets: HashSet<Cookie>,
    opinions: HashMap<Cookie, Vec<Opinion>>,
    /// The targets whose expected time reports may increase: those with the strongest evidence, at
    /// most 1 in [`TARGETS_PER_DEMOTION`] of the targets.
    demoted: HashSet<Cookie>,
    /// Whether reports were recorded since `demoted` was selected.
    is_changed: bool,
    ignored_until: Option<Instant>,
}

impl ReportTable {
    /// Creates an empty table.
    pub fn new() -> ReportTable {
        ReportTable::default()
    }

    /// Replaces the targets of the zone.
    pub fn set_targets(&mut self, now: Instant, targets: impl Iterator<Item = Cookie>) {
        self.targets.clear();
        self.targets.extend(targets);
        self.is_changed = true;
        self.refresh(now);
    }

    /// Records that the process was paused. All reports are discarded.
    pub fn record_pause(&mut self, now: Instant) {
        self.opinions.clear();
        self.demoted.clear();
        self.ignored_until = Some(now + PAUSE_IGNORE_TIME);
    }

    /// Records the reports of one frame of the daemon `from`, which arrived at `now`, and returns how
    /// many of them are used. A report is ignored if its numbers are not valid, it is outdated, its
    /// target is not in the zone, or a newer one of the same daemon is known. They increase expected
    /// times after the next call of [`ReportTable::refresh`].
    pub fn record(&mut self, now: Instant, from: member::Id, reports: &[Report]) -> usize {
        if self.ignored_until.is_some_and(|until| now < until) {
            return 0;
        }
        let reports = reports.iter().take(MAXIMUM_REPORTS);
        let recorded = reports.filter(|report| self.record_one(now, from, report)).count();
        self.is_changed |= recorded > 0;
        recorded
    }

    /// Selects anew the targets whose expected time reports may increase, if reports were recorded
    /// since the last call. Is to be called before decisions rather than for each frame, since it
    /// reads the whole table.
    pub fn refresh(&mut self, now: Instant) {
        if std::mem::take(&mut self.is_changed) {
            self.prune(now);
            self.select_demoted(now);
        }
    }

    fn record_one(&mut self, now: Instant, from: member::Id, report: &Report) -> bool {
        let factor = f64::from(report.delay_factor);
        if !factor.is_finite() || factor <= 0.0 || report.age >= DELAY_LIFETIME {
            return false;
        }
        let Some(observed_at) = now.checked_sub(report.age) else {
            return false;
        };
        if !self.targets.contains(&report.cookie) {
            return false;
        }
        let opinion = Opinion {
            from,
            delay: factor.clamp(MINIMUM_FACTOR, MAXIMUM_FACTOR).ln(),
            is_rejecting: report.is_rejecting,
            observed_at,
        };
        let opinions = self.opinions.entry(report.cookie).or_default();
        if let Some(known) = opinions.iter_mut().find(|known| known.from == from) {
            let is_newer = observed_at > known.observed_at;
            if is_newer {
                *known = opinion;
            }
            return is_newer;
        }
        if opinions.len() < MAXIMUM_SENDERS {
            opinions.push(opinion);
            return true;
        }
        match opinions.iter_mut().min_by_key(|known| known.observed_at) {
            Some(oldest) if oldest.observed_at < observed_at => {
                *oldest = opinion;
                true
            }
            _ => false,
        }
    }

    /// Returns the factor by which reports change the expected time of a target, or 1 without
    /// reports. `own_samples` is the number of recent observations of this daemon itself, which
    /// outweigh reports.
    pub fn factor(&self, now: Instant, cookie: Cookie, own_samples: f64) -> f64 {
        let Some(opinions) = self.opinions.get(&cookie) else {
            return 1.0;
        };
        let (weight, sum) = total_evidence(now, opinions);
        let own_weight = PRIOR_WEIGHT + own_samples.max(0.0);
        let factor = (sum / (weight + own_weight)).exp().clamp(MINIMUM_FACTOR, MAXIMUM_FACTOR);
        if factor > 1.0 && !self.demoted.contains(&cookie) { 1.0 } else { factor }
    }

    /// Returns the number of reports in the table.
    pub fn len(&self) -> usize {
        self.opinions.values().map(Vec::len).sum()
    }

    /// Returns whether the table has no report.
    pub fn is_empty(&self) -> bool {
        self.opinions.is_empty()
    }

    fn prune(&mut self, now: Instant) {
        let targets = &self.targets;
        self.opinions.retain(|cookie, opinions| {
            opinions.retain(|opinion| {
                now.saturating_duration_since(opinion.observed_at) < DELAY_LIFETIME
            });
            !opinions.is_empty() && targets.contains(cookie)
        });
    }

    /// Selects the targets whose expected time reports may increase. Evidence of several daemons is
    /// the stronger one, so that one wrong daemon does not displace the targets that others report.
    fn select_demoted(&mut self, now: Instant) {
        let evidence =
            self.opinions.iter().map(|(cookie, opinions)| (*cookie, total_evidence(now, opinions)));
        let mut slow: Vec<(Cookie, f64)> = evidence
            .filter(|(_, (_, sum))| *sum > 0.0)
            .map(|(cookie, (_, sum))| (cookie, sum))
            .collect();
        // The cookie makes the order of equal evidence the same in each call.
        slow.sort_by(|(cookie_a, sum_a), (cookie_b, sum_b)| {
            sum_b.total_cmp(sum_a).then(cookie_a.cmp(cookie_b))
        });
        slow.truncate(self.targets.len() / TARGETS_PER_DEMOTION);
        self.demoted.clear();
        self.demoted.extend(slow.into_iter().map(|(cookie, _)| cookie));
    }
}

/// Returns the total weight of `opinions` and the weighted sum of the logarithms of their factors.
fn total_evidence(now: Instant, opinions: &[Opinion]) -> (f64, f64) {
    opinions
        .iter()
        .map(|opinion| opinion.evidence(now))
        .fold((0.0, 0.0), |(total, sum), (weight, factor)| (total + weight, sum + weight * factor))
}
