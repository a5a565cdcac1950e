use std::time::{Duration, Instant};

use crate::cookie::{Revision, Tuning, flows::SentBy};

/// The maximum number of distinct sources that are kept.
const MAXIMUM_SOURCES: usize = 8;

/// The state of a silent target or zone, which half-open probes test from time to time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Silence {
    since: Instant,
    /// The revision of the target's store entry when the target fell silent, or `None` for a zone.
    revision: Option<Revision>,
    next_half_open_probe_at: Instant,
}

impl Silence {
    /// Returns the delay before the first half-open probe and between two of them. `revision` is
    /// the present revision of the target's store entry, or `None` for a zone. A running target
    /// writes its entry again only if the entry has expired, so an unchanged entry does not mean
    /// that the target has ended.
    fn time_before_half_open_probe(&self, revision: Option<Revision>, tuning: &Tuning) -> Duration {
        let is_unrenewed = self.revision.is_some() && revision <= self.revision;
        if is_unrenewed { tuning.unrenewed_half_open_interval } else { tuning.half_open_interval }
    }
}

/// The retransmissions from which a target or zone is regarded as silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SilenceThreshold {
    /// The number of sources that suffice at once.
    pub(super) source_count: usize,
    /// How long fewer sources must retransmit, or `None` if they never suffice.
    pub(super) fewer_sources_after: Option<Duration>,
}

/// Detects from the packets of callers whether a target, or every target of a zone, has stopped
/// answering.
///
/// A *source* is what reports retransmissions: a flow for the detector of a target, a target for
/// the detector of a zone.
#[derive(Debug, Clone)]
pub(super) struct SilenceDetector<S> {
    last_answer_at: Option<Instant>,
    /// The sources of retransmissions since the last answer.
    sources: Vec<S>,
    /// When the oldest of the retransmitted packets was first sent.
    first_sent_at: Option<Instant>,
    /// When the last retransmission arrived.
    last_retransmission_at: Option<Instant>,
    silence: Option<Silence>,
}

impl<S> Default for SilenceDetector<S> {
    fn default() -> SilenceDetector<S> {
        SilenceDetector {
            last_answer_at: None,
            sources: Vec::new(),
            first_sent_at: None,
            last_retransmission_at: None,
            silence: None,
        }
    }
}

impl<S: PartialEq> SilenceDetector<S> {
    /// Returns whether the target or zone is regarded as silent.
    pub(super) fn is_silent(&self) -> bool {
        self.silence.is_some()
    }

    /// Returns since when the target or zone is regarded as silent.
    pub(super) fn silent_since(&self) -> Option<Instant> {
        self.silence.map(|silence| silence.since)
    }

    /// Returns whether the target or zone has been silent for so long that its flows are to be
    /// reset.
    pub(super) fn is_reset_due(
        &self,
        now: Instant,
        threshold: SilenceThreshold,
        tuning: &Tuning,
    ) -> bool {
        let required = if self.sources.len() >= threshold.source_count {
            tuning.reset_after
        } else {
            tuning.single_flow_reset_after
        };
        self.is_silent() && self.is_recent(now, tuning) && self.unanswered_for(now) >= required
    }

    /// Discards the recorded retransmissions. A silent target or zone remains silent, so it still
    /// gets no new flows.
    pub(super) fn forget_retransmissions(&mut self) {
        self.sources.clear();
        self.first_sent_at = None;
        self.last_retransmission_at = None;
    }

    /// Returns whether the last retransmission is recent. The fabric may have sent the flows to
    /// other daemons since.
    fn is_recent(&self, now: Instant, tuning: &Tuning) -> bool {
        self.last_retransmission_at
            .is_some_and(|last| now.saturating_duration_since(last) < tuning.retransmission_window)
    }

    /// Returns the number of sources of retransmissions.
    pub(super) fn source_count(&self) -> usize {
        self.sources.len()
    }

    /// Records an answer and returns how long the silence lasted if the answer ends one. Only an
    /// answer to a packet that this daemon sent ends a silence.
    pub(super) fn record_answer(&mut self, now: Instant, sent_by: SentBy) -> Option<Duration> {
        if self.is_silent() && sent_by == SentBy::Unknown {
            return None;
        }
        self.last_answer_at = Some(now);
        self.forget_retransmissions();
        let silence = self.silence.take()?;
        Some(now.saturating_duration_since(silence.since))
    }

    /// Ends the silence without an answer.
    pub(super) fn clear(&mut self) {
        self.forget_retransmissions();
        self.silence = None;
    }

    /// Records a retransmission of a packet that was first sent at `sent`. If the target or zone is
    /// regarded as silent from now on, returns the time since the oldest retransmitted packet.
    pub(super) fn record_retransmission(
        &mut self,
        now: Instant,
        source: S,
        sent: Instant,
        revision: Option<Revision>,
        threshold: SilenceThreshold,
        tuning: &Tuning,
    ) -> Option<Duration> {
        // Another packet was answered since, so this packet was lost by the network.
        if self.last_answer_at.is_some_and(|answered_at| answered_at >= sent) {
            return None;
        }
        if !self.is_recent(now, tuning) {
            self.forget_retransmissions();
        }
        self.last_retransmission_at = Some(now);
        if !self.sources.contains(&source) && self.sources.len() < MAXIMUM_SOURCES {
            self.sources.push(source);
        }
        self.first_sent_at = Some(self.first_sent_at.map_or(sent, |first| first.min(sent)));
        let lasted = self.unanswered_for(now);
        let is_threshold_reached = self.sources.len() >= threshold.source_count
            || threshold
                .fewer_sources_after
                .is_some_and(|fewer_sources_after| lasted >= fewer_sources_after);
        if !is_threshold_reached || self.silence.is_some() {
            return None;
        }
        self.begin_silence(now, revision, tuning);
        Some(lasted)
    }

    /// Regards the target or zone as silent, whatever its retransmissions. Returns whether it was
    /// not silent before.
    pub(super) fn begin_silence(
        &mut self,
        now: Instant,
        revision: Option<Revision>,
        tuning: &Tuning,
    ) -> bool {
        let is_new = self.silence.is_none();
        let next_half_open_probe_at = now + tuning.half_open_interval;
        self.silence.get_or_insert(Silence { since: now, revision, next_half_open_probe_at });
        is_new
    }

    /// Returns the time since the oldest retransmitted packet was first sent.
    pub(super) fn unanswered_for(&self, now: Instant) -> Duration {
        self.first_sent_at.map_or(Duration::ZERO, |sent| now.saturating_duration_since(sent))
    }

    /// Returns whether a new flow may be a half-open probe of the silent target or zone. `revision`
    /// is that of the target's store entry, or `None` for a zone.
    pub(super) fn may_start_half_open_probe(
        &self,
        now: Instant,
        revision: Option<Revision>,
        tuning: &Tuning,
    ) -> bool {
        self.silence.is_some_and(|silence| {
            let lasted = now.saturating_duration_since(silence.since);
            now >= silence.next_half_open_probe_at
                && lasted >= silence.time_before_half_open_probe(revision, tuning)
        })
    }

    /// Records a half-open probe and schedules the next one.
    pub(super) fn record_half_open_probe(
        &mut self,
        now: Instant,
        revision: Option<Revision>,
        tuning: &Tuning,
    ) {
        if let Some(silence) = &mut self.silence {
            silence.next_half_open_probe_at =
                now + silence.time_before_half_open_probe(revision, tuning);
        }
    }
}
