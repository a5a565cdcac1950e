use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hashbrown::HashMap;

use crate::cookie::{
    Check, CheckOutcome, Cookie, Entry, Event, Flow, Tuning, View,
    check::CheckHistory,
    flows::SentBy,
    rate_limiter::RateLimiter,
    silence_detector::{SilenceDetector, SilenceThreshold},
};

/// The observed state of one target.
#[derive(Debug, Clone, Default)]
struct TargetObservation {
    detector: SilenceDetector<Flow>,
    checks: CheckHistory,
    cold_flows: RateLimiter,
}

impl TargetObservation {
    /// Regards the target as silent, and returns an event unless it was silent before.
    fn begin_silence(&mut self, now: Instant, entry: &Entry, tuning: &Tuning) -> Option<Event> {
        let is_new = self.detector.begin_silence(now, Some(entry.target.revision), tuning);
        is_new.then(|| Event::TargetFellSilent {
            target: entry.target.name.clone(),
            flows: self.detector.source_count(),
            for_ms: millis(self.detector.unanswered_for(now)),
        })
    }
}

/// Passive health checks of the targets and of the network paths to their availability zones.
///
/// A partition makes all targets of a zone silent at once. A few silent targets therefore mark the
/// whole zone as silent, so that callers need not run into a timeout at each target.
///
/// Silence only keeps new flows away. An open flow is reset only if a connection check, requested
/// when its target's flows retransmitted, has also found that the target cannot be reached.
#[derive(Debug, Clone)]
pub(super) struct Observer {
    tuning: Tuning,
    targets: HashMap<Cookie, TargetObservation>,
    zones: HashMap<Arc<str>, SilenceDetector<Cookie>>,
    /// The checks that were requested and not taken yet.
    requested_checks: Vec<Check>,
    /// The number of checks that were requested and whose outcomes are not recorded yet.
    pending_checks: usize,
}

impl Observer {
    /// Creates an observer without observations.
    pub(super) fn new(tuning: Tuning) -> Observer {
        Observer {
            tuning,
            targets: HashMap::new(),
            zones: HashMap::new(),
            requested_checks: Vec::new(),
            pending_checks: 0,
        }
    }

    /// Returns whether a target, or its whole zone, is regarded as silent.
    pub(super) fn is_silent(&self, entry: &Entry) -> bool {
        let target = self.targets.get(&entry.cookie);
        target.is_some_and(|target| target.detector.is_silent())
            || self.is_zone_silent(&entry.target.zone)
    }

    /// Returns whether a zone is regarded as silent.
    pub(super) fn is_zone_silent(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(SilenceDetector::is_silent)
    }

    /// Returns whether any zone is regarded as silent.
    pub(super) fn has_silent_zone(&self) -> bool {
        self.zones.values().any(SilenceDetector::is_silent)
    }

    /// Requests a connection check of a target, unless one was requested recently.
    pub(super) fn request_check(&mut self, now: Instant, entry: &Entry) {
        let checks = &mut self.targets.entry(entry.cookie).or_default().checks;
        if self.pending_checks >= self.tuning.maximum_checks
            || !checks.is_due(now, self.tuning.check_interval)
        {
            return;
        }
        checks.record_request(now);
        self.pending_checks += 1;
        let (cookie, address) = (entry.cookie, entry.target.address);
        self.requested_checks.push(Check { cookie, address, requested_at: now });
    }

    /// Removes and returns the requested checks.
    pub(super) fn take_checks(&mut self) -> Vec<Check> {
        std::mem::take(&mut self.requested_checks)
    }

    /// Records the outcome of a check, and returns events if the target was not reached.
    ///
    /// A target that refuses connections has ended and is regarded as silent at once. One that does
    /// not answer is regarded as silent as soon as one of its flows retransmits.
    pub(super) fn record_check(
        &mut self,
        now: Instant,
        check: &Check,
        outcome: CheckOutcome,
        view: &View,
    ) -> Vec<Event> {
        self.pending_checks = self.pending_checks.saturating_sub(1);
        let (Some(entry), Some(target)) =
            (view.target(check.cookie), self.targets.get_mut(&check.cookie))
        else {
            return Vec::new();
        };
        if !target.checks.record_outcome(now, check.requested_at, outcome) {
            return Vec::new();
        }
        let is_silent = match outcome {
            CheckOutcome::Accepted => return Vec::new(),
            CheckOutcome::Refused => true,
            CheckOutcome::Unanswered => target.detector.source_count() > 0,
        };
        let mut events =
            vec![Event::TargetUnreachable { target: entry.target.name.clone(), outcome }];
        if is_silent {
            events.extend(target.begin_silence(now, entry, &self.tuning));
        }
        events
    }

    /// Returns whether a target has been silent for so long that a flow is to be reset when its
    /// caller retransmits. One retransmitting flow suffices.
    pub(super) fn is_reset_due(&self, now: Instant, cookie: Cookie) -> bool {
        let threshold = self.target_threshold();
        let Some(target) = self.targets.get(&cookie) else {
            return false;
        };
        match self.check_outcome(now, cookie) {
            Some(CheckOutcome::Refused) => true,
            Some(CheckOutcome::Unanswered) => {
                target.detector.is_reset_due(now, threshold, &self.tuning)
            }
            Some(CheckOutcome::Accepted) | None => false,
        }
    }

    /// Returns the outcome of the last connection check of a target, unless it is outdated.
    fn check_outcome(&self, now: Instant, cookie: Cookie) -> Option<CheckOutcome> {
        self.targets.get(&cookie)?.checks.recent_outcome(now, self.tuning.retransmission_window)
    }

    /// Returns whether all open flows of a silent target are to be reset, also those that do not
    /// retransmit. In contrast to [`Observer::is_reset_due`], the target must refuse connections or
    /// at least [`Tuning::target_silence_flows`] flows must have retransmitted, since the packets of
    /// one flow may get lost on a network path that the other flows do not use.
    pub(super) fn is_reset_due_for_all(&self, now: Instant, cookie: Cookie) -> bool {
        let target = self.targets.get(&cookie);
        let source_count = target.map_or(0, |target| target.detector.source_count());
        let is_refused = self.check_outcome(now, cookie) == Some(CheckOutcome::Refused);
        (is_refused || source_count >= self.tuning.target_silence_flows)
            && self.is_reset_due(now, cookie)
    }

    /// Returns whether the zone of a target has been silent for so long that a retransmitting flow
    /// to the target is to be reset.
    pub(super) fn is_zone_reset_due(&self, now: Instant, entry: &Entry) -> bool {
        let detector = self.zones.get(&entry.target.zone);
        let outcome = self.check_outcome(now, entry.cookie);
        detector.is_some_and(|zone| zone.is_reset_due(now, self.zone_threshold(), &self.tuning))
            && outcome.is_some_and(|outcome| outcome != CheckOutcome::Accepted)
    }

    /// Returns whether the target or its zone is silent and a new flow may now be a half-open probe
    /// of it.
    pub(super) fn may_start_half_open_probe(&self, now: Instant, entry: &Entry) -> bool {
        let revision = Some(entry.target.revision);
        let may_try_target = self.targets.get(&entry.cookie).is_none_or(|target| {
            !target.detector.is_silent()
                || target.detector.may_start_half_open_probe(now, revision, &self.tuning)
        });
        let may_try_zone = self.zones.get(&entry.target.zone).is_none_or(|zone| {
            !zone.is_silent() || zone.may_start_half_open_probe(now, None, &self.tuning)
        });
        may_try_target && may_try_zone && self.is_silent(entry)
    }

    /// Records that a new flow is a half-open probe of a target.
    pub(super) fn record_half_open_probe(&mut self, now: Instant, entry: &Entry) {
        if let Some(target) = self.targets.get_mut(&entry.cookie) {
            target.detector.record_half_open_probe(now, Some(entry.target.revision), &self.tuning);
        }
        if let Some(zone) = self.zones.get_mut(&entry.target.zone) {
            zone.record_half_open_probe(now, None, &self.tuning);
        }
    }

    /// Returns whether a cold target may get one more new flow without exceeding `limit` per
    /// second.
    pub(super) fn allows_cold_flow(&mut self, now: Instant, cookie: Cookie, limit: usize) -> bool {
        self.targets.entry(cookie).or_default().cold_flows.allows(now, limit)
    }

    /// Records a new flow to a cold target.
    pub(super) fn record_cold_flow(&mut self, now: Instant, cookie: Cookie) {
        self.targets.entry(cookie).or_default().cold_flows.record(now);
    }

    /// Records an answer of a target, and returns an event for each silence that it ends.
    pub(super) fn record_answer(
        &mut self,
        now: Instant,
        entry: &Entry,
        sent_by: SentBy,
        view: &View,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        let target = self.targets.entry(entry.cookie).or_default();
        target.checks.clear();
        if let Some(after) = target.detector.record_answer(now, sent_by) {
            let (target, after_ms) = (entry.target.name.clone(), millis(after));
            events.push(Event::TargetAnswered { target, after_ms });
        }
        let name = &entry.target.zone;
        let zone = self.zones.entry(name.clone()).or_default();
        let silent_since = zone.silent_since();
        let after = zone.record_answer(now, sent_by);
        if let (Some(since), Some(after)) = (silent_since, after) {
            self.clear_zone(since, name, view);
            let (zone, after_ms) = (name.clone(), millis(after));
            events.push(Event::ZoneAnswered { zone, after_ms });
        }
        events
    }

    /// Ends the silence of the targets of a zone that fell silent together with the zone.
    fn clear_zone(&mut self, zone_silent_since: Instant, zone: &str, view: &View) {
        for entry in view.entries().iter().filter(|entry| *entry.target.zone == *zone) {
            let Some(target) = self.targets.get_mut(&entry.cookie) else {
                continue;
            };
            let since = target.detector.silent_since();
            if since
                .is_some_and(|since| since + self.tuning.retransmission_window >= zone_silent_since)
            {
                target.detector.clear();
            }
        }
    }

    /// Records that the caller of `flow` retransmitted a packet that it first sent at `sent`, and
    /// returns an event for each silence that begins.
    pub(super) fn record_retransmission(
        &mut self,
        now: Instant,
        flow: Flow,
        sent: Instant,
        entry: &Entry,
    ) -> Vec<Event> {
        self.request_check(now, entry);
        let mut events = Vec::new();
        let (revision, tuning) = (Some(entry.target.revision), &self.tuning);
        let (threshold, zone_threshold) = (self.target_threshold(), self.zone_threshold());
        let is_unanswered = self.check_outcome(now, entry.cookie) == Some(CheckOutcome::Unanswered);
        let target = self.targets.entry(entry.cookie).or_default();
        let silence =
            target.detector.record_retransmission(now, flow, sent, revision, threshold, tuning);
        if let Some(lasted) = silence {
            events.push(Event::TargetFellSilent {
                target: entry.target.name.clone(),
                flows: target.detector.source_count(),
                for_ms: millis(lasted),
            });
        }
        if is_unanswered {
            events.extend(target.begin_silence(now, entry, tuning));
        }
        let name = &entry.target.zone;
        let zone = self.zones.entry(name.clone()).or_default();
        if let Some(lasted) =
            zone.record_retransmission(now, entry.cookie, sent, None, zone_threshold, tuning)
        {
            events.push(Event::ZoneFellSilent {
                zone: name.clone(),
                targets: zone.source_count(),
                for_ms: millis(lasted),
            });
        }
        events
    }

    /// Discards the recorded retransmissions and checks, which are meaningless after a pause of the
    /// process.
    pub(super) fn record_pause(&mut self) {
        for target in self.targets.values_mut() {
            target.detector.forget_retransmissions();
            target.checks.clear();
        }
        self.zones.values_mut().for_each(SilenceDetector::forget_retransmissions);
    }

    /// Removes the targets that are not in `view`.
    pub(super) fn retain(&mut self, view: &View) {
        self.targets.retain(|cookie, _| view.target(*cookie).is_some());
    }

    fn target_threshold(&self) -> SilenceThreshold {
        SilenceThreshold {
            source_count: self.tuning.target_silence_flows,
            fewer_sources_after: Some(self.tuning.single_flow_silence),
        }
    }

    fn zone_threshold(&self) -> SilenceThreshold {
        SilenceThreshold {
            source_count: self.tuning.zone_silence_targets,
            fewer_sources_after: None,
        }
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
