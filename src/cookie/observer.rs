use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hashbrown::HashMap;

use crate::cookie::{
    Cookie, Entry, Event, Flow, Tuning, View,
    flows::SentBy,
    rate_limiter::RateLimiter,
    silence_detector::{SilenceDetector, SilenceThreshold},
};

/// The observed state of one target.
#[derive(Debug, Clone, Default)]
struct TargetObservation {
    detector: SilenceDetector<Flow>,
    cold_flows: RateLimiter,
}

/// Passive health checks of the targets and of the network paths to their availability zones.
///
/// A partition makes all targets of a zone silent at once. A few silent targets therefore mark the
/// whole zone as silent, so that callers need not run into a timeout at each target.
#[derive(Debug, Clone)]
pub(super) struct Observer {
    tuning: Tuning,
    targets: HashMap<Cookie, TargetObservation>,
    zones: HashMap<Arc<str>, SilenceDetector<Cookie>>,
}

impl Observer {
    /// Creates an observer without observations.
    pub(super) fn new(tuning: Tuning) -> Observer {
        Observer { tuning, targets: HashMap::new(), zones: HashMap::new() }
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

    /// Returns whether a target has been silent for so long that a flow is to be reset when its
    /// caller retransmits. One retransmitting flow suffices.
    pub(super) fn is_reset_due(&self, now: Instant, cookie: Cookie) -> bool {
        let threshold = self.target_threshold();
        let target = self.targets.get(&cookie);
        target.is_some_and(|target| target.detector.is_reset_due(now, threshold, &self.tuning))
    }

    /// Returns whether all open flows of a silent target are to be reset, also those that do not
    /// retransmit. In contrast to [`Observer::is_reset_due`], at least
    /// [`Tuning::target_silence_flows`] flows must have retransmitted, since the packets of one
    /// flow may get lost on a network path that the other flows do not use.
    pub(super) fn is_reset_due_for_all(&self, now: Instant, cookie: Cookie) -> bool {
        let target = self.targets.get(&cookie);
        let source_count = target.map_or(0, |target| target.detector.source_count());
        source_count >= self.tuning.target_silence_flows && self.is_reset_due(now, cookie)
    }

    /// Returns whether a zone has been silent for so long that a retransmitting flow to one of its
    /// targets is to be reset.
    pub(super) fn is_zone_reset_due(&self, now: Instant, zone: &str) -> bool {
        let detector = self.zones.get(zone);
        detector.is_some_and(|zone| zone.is_reset_due(now, self.zone_threshold(), &self.tuning))
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
        let mut events = Vec::new();
        let (revision, tuning) = (Some(entry.target.revision), &self.tuning);
        let (threshold, zone_threshold) = (self.target_threshold(), self.zone_threshold());
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

    /// Discards the recorded retransmissions, which are meaningless after a pause of the process.
    pub(super) fn forget_retransmissions(&mut self) {
        self.targets.values_mut().for_each(|target| target.detector.forget_retransmissions());
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
