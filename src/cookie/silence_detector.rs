use std::time::{Duration, Instant};

use crate::cookie::{Revision, Tuning, flows::Sender};

/// The largest number of witnesses that are kept as evidence.
const MAXIMUM_SOURCES: usize = 8;

/// What is silent is tested by new flows now and then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Silence {
    since: Instant,
    /// The revision of the target's entry when it fell silent, or `None` for a zone.
    revision: Option<Revision>,
    next_probe_at: Instant,
}

impl Silence {
    /// Returns how long nothing is tested, if the target's entry is now at `revision`. A target that
    /// lives writes its entry again only if the entry had lapsed.
    fn time_before_probe(&self, revision: Option<Revision>, tuning: &Tuning) -> Duration {
        let is_unrenewed = self.revision.is_some() && revision <= self.revision;
        if is_unrenewed { tuning.unrenewed_probe_interval } else { tuning.probe_interval }
    }
}

/// How much evidence proves silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct SilenceThreshold {
    /// The number of witnesses that prove it at once.
    pub(super) source_count: usize,
    /// How long fewer of them must repeat packets, or `None` if they never prove it.
    pub(super) fewer_sources_after: Option<Duration>,
}

/// What the packets of callers say about whether a target, or all targets of a zone, answer.
///
/// The witnesses against a target are its flows, those against a zone its targets.
#[derive(Debug, Clone)]
pub(super) struct SilenceDetector<S> {
    last_answer_at: Option<Instant>,
    /// The witnesses since the last answered_at.
    sources: Vec<S>,
    /// When the first of the repeated packets was sent for the first time.
    first_sent_at: Option<Instant>,
    /// When a packet was last repeated.
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

    /// Returns since when it is regarded as silent.
    pub(super) fn silent_since(&self) -> Option<Instant> {
        self.silence.map(|silence| silence.since)
    }

    /// Returns whether it has been silent for so long that flows are given up.
    pub(super) fn is_reset_due(
        &self,
        now: Instant,
        threshold: SilenceThreshold,
        tuning: &Tuning,
    ) -> bool {
        let lasted = self.first_sent_at.map(|first| now.saturating_duration_since(first));
        let required = if self.sources.len() >= threshold.source_count {
            tuning.reset_after
        } else {
            tuning.single_flow_reset_after
        };
        self.is_silent()
            && self.is_recent(now, tuning)
            && lasted.is_some_and(|lasted| lasted >= required)
    }

    /// Forgets the packets that were repeated. What is silent stays silent for new flows.
    pub(super) fn forget_retransmissions(&mut self) {
        self.sources.clear();
        self.first_sent_at = None;
        self.last_retransmission_at = None;
    }

    /// Returns whether callers still repeat packets. They may have been sent elsewhere since.
    fn is_recent(&self, now: Instant, tuning: &Tuning) -> bool {
        self.last_retransmission_at
            .is_some_and(|last| now.saturating_duration_since(last) < tuning.retransmission_window)
    }

    /// Returns the number of witnesses.
    pub(super) fn source_count(&self) -> usize {
        self.sources.len()
    }

    /// Notes an answer. Returns how long silence lasted, if there was one. Only an answer to a packet
    /// of this daemon ends it.
    pub(super) fn record_answer(&mut self, now: Instant, sender: Sender) -> Option<Duration> {
        if self.is_silent() && sender == Sender::AnyDaemon {
            return None;
        }
        self.last_answer_at = Some(now);
        self.forget_retransmissions();
        let silence = self.silence.take()?;
        Some(now.saturating_duration_since(silence.since))
    }

    /// Regards a target or zone as not silent any more, without an answer of its own.
    pub(super) fn clear(&mut self) {
        self.forget_retransmissions();
        self.silence = None;
    }

    /// Notes that a caller repeated a packet that it sent first at `sent`. Returns the time since
    /// the first such packet if silence is proven from now on.
    pub(super) fn record_retransmission(
        &mut self,
        now: Instant,
        source: S,
        sent: Instant,
        revision: Option<Revision>,
        threshold: SilenceThreshold,
        tuning: &Tuning,
    ) -> Option<Duration> {
        // There was an answer to others since, so the packet was lost on its way.
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
        let first = *self.first_sent_at.get_or_insert(sent);
        let first = first.min(sent);
        self.first_sent_at = Some(first);
        let lasted = now.saturating_duration_since(first);
        let is_proven = self.sources.len() >= threshold.source_count
            || threshold
                .fewer_sources_after
                .is_some_and(|fewer_sources_after| lasted >= fewer_sources_after);
        if !is_proven || self.silence.is_some() {
            return None;
        }
        let next_probe_at = now + tuning.probe_interval;
        self.silence = Some(Silence { since: now, revision, next_probe_at });
        Some(lasted)
    }

    /// Returns whether a new flow may test what is silent; `revision` is that of the target's
    /// entry.
    pub(super) fn may_probe(
        &self,
        now: Instant,
        revision: Option<Revision>,
        tuning: &Tuning,
    ) -> bool {
        self.silence.is_some_and(|silence| {
            let lasted = now.saturating_duration_since(silence.since);
            now >= silence.next_probe_at && lasted >= silence.time_before_probe(revision, tuning)
        })
    }

    /// Notes that a new flow tests what is silent.
    pub(super) fn record_probe(
        &mut self,
        now: Instant,
        revision: Option<Revision>,
        tuning: &Tuning,
    ) {
        if let Some(silence) = &mut self.silence {
            silence.next_probe_at = now + silence.time_before_probe(revision, tuning);
        }
    }
}
