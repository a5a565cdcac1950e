use std::time::{Duration, Instant};

use crate::cookie::{Flow, Revision, Tuning};

/// The largest number of flows that are kept as evidence.
const MAXIMUM_FLOWS: usize = 8;

/// A silent target is tested by new flows now and then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Silence {
    since: Instant,
    /// The revision of the target's entry when it fell silent.
    revision: Revision,
    next_trial: Instant,
}

/// What the packets of callers say about whether a target answers.
#[derive(Debug, Clone, Default)]
pub(super) struct Evidence {
    last_progress: Option<Instant>,
    /// The flows that repeated packets since the last progress.
    repeating: Vec<Flow>,
    /// When the first of the repeated packets was sent for the first time.
    first_sent: Option<Instant>,
    /// When a packet was last repeated.
    last_repeat: Option<Instant>,
    silence: Option<Silence>,
}

impl Evidence {
    /// Returns whether the target is regarded as silent.
    pub(super) fn is_silent(&self) -> bool {
        self.silence.is_some()
    }

    /// Returns whether the target has been silent for so long that its flows are given up.
    pub(super) fn is_lost(&self, now: Instant, tuning: &Tuning) -> bool {
        let lasted = self.first_sent.map(|first| now.saturating_duration_since(first));
        let enough = if self.repeating.len() >= tuning.silent_flows {
            tuning.reset_after
        } else {
            tuning.lone_reset_after
        };
        self.is_silent()
            && self.is_recent(now, tuning)
            && lasted.is_some_and(|lasted| lasted >= enough)
    }

    /// Forgets the packets that were repeated. A silent target stays silent for new flows.
    pub(super) fn forget(&mut self) {
        self.repeating.clear();
        self.first_sent = None;
        self.last_repeat = None;
    }

    /// Returns whether callers still repeat packets. They may have been sent elsewhere since.
    fn is_recent(&self, now: Instant, tuning: &Tuning) -> bool {
        self.last_repeat
            .is_some_and(|last| now.saturating_duration_since(last) < tuning.evidence_life)
    }

    /// Returns the number of flows that repeat packets.
    pub(super) fn repeating(&self) -> usize {
        self.repeating.len()
    }

    /// Notes that the target answered a flow. Returns how long it was regarded as silent, if it
    /// was.
    pub(super) fn progress(&mut self, now: Instant) -> Option<Duration> {
        self.last_progress = Some(now);
        self.forget();
        let silence = self.silence.take()?;
        Some(now.saturating_duration_since(silence.since))
    }

    /// Notes that a caller repeated a packet that it sent first at `sent`. Returns the time since
    /// the first such packet if the target is regarded as silent from now on.
    pub(super) fn repeat(
        &mut self,
        now: Instant,
        flow: Flow,
        sent: Instant,
        revision: Revision,
        tuning: &Tuning,
    ) -> Option<Duration> {
        // The target has answered others since, so the packet was lost on its way.
        if self.last_progress.is_some_and(|progress| progress >= sent) {
            return None;
        }
        if !self.is_recent(now, tuning) {
            self.forget();
        }
        self.last_repeat = Some(now);
        if !self.repeating.contains(&flow) && self.repeating.len() < MAXIMUM_FLOWS {
            self.repeating.push(flow);
        }
        let first = *self.first_sent.get_or_insert(sent);
        let first = first.min(sent);
        self.first_sent = Some(first);
        let lasted = now.saturating_duration_since(first);
        let is_proven =
            self.repeating.len() >= tuning.silent_flows || lasted >= tuning.lone_silence;
        if !is_proven || self.silence.is_some() {
            return None;
        }
        let next_trial = now + tuning.trial_period;
        self.silence = Some(Silence { since: now, revision, next_trial });
        Some(lasted)
    }

    /// Returns whether a new flow may test the target, whose entry has the revision `revision`.
    pub(super) fn may_try(&self, now: Instant, revision: Revision) -> bool {
        self.silence.is_some_and(|silence| now >= silence.next_trial && revision > silence.revision)
    }

    /// Notes that a new flow tests the target.
    pub(super) fn tried(&mut self, now: Instant, tuning: &Tuning) {
        if let Some(silence) = &mut self.silence {
            silence.next_trial = now + tuning.trial_period;
        }
    }
}
