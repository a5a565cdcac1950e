use std::time::{Duration, Instant};

use crate::cookie::work::profile::Outcome;

/// The interval between two changes of the share. A full target rejects within a round trip, so each
/// change shows its effect within the interval.
const STEP: Duration = Duration::from_millis(100);

/// How long a step waits for enough answers to judge the previous change.
const MAXIMUM_STEP: Duration = Duration::from_millis(200);

/// The minimum number of answers that judge a change.
const MINIMUM_ANSWERS: u32 = 4;

/// The share of rejections that is tolerated, since without any rejections the daemon could not tell
/// whether there is room.
const TOLERATED_REJECTIONS: f64 = 0.05;

/// The share of answers without a queue from which on there is room.
const PROMPT_SHARE: f64 = 0.1;

/// The lower bound of the factor by which one step decreases the share.
const MINIMUM_DECREASE: f64 = 0.5;

/// The factor by which the share recovers in each step: from the minimum to 1 in 0.9 s.
const INCREASE: f64 = 1.4;

/// The least share, so that no class starves and the daemon still sees answers.
const MINIMUM_SHARE: f64 = 0.05;

/// The admitted share of the flows of a service's lower priority classes.
#[derive(Debug, Clone)]
pub(super) struct Admission {
    share: f64,
    changed_at: Instant,
    /// The answers since the last change, the rejections and those without a queue among them.
    answers: u32,
    rejections: u32,
    prompt: u32,
}

impl Admission {
    /// Creates an admission for a service whose targets reject the share `rejected_share` of the
    /// requests.
    pub(super) fn new(now: Instant, rejected_share: f64) -> Admission {
        let share = (1.0 - rejected_share).clamp(MINIMUM_DECREASE, 1.0);
        Admission { share, changed_at: now, answers: 0, rejections: 0, prompt: 0 }
    }

    /// Records an answer of a target of the service.
    pub(super) fn record(&mut self, outcome: Outcome) {
        self.answers += 1;
        self.rejections += u32::from(outcome == Outcome::Rejected);
        self.prompt += u32::from(outcome == Outcome::Prompt);
    }

    /// Changes the share by the answers since the last change, if a step has passed.
    pub(super) fn update(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.changed_at);
        let is_judged = self.answers >= MINIMUM_ANSWERS;
        if elapsed < STEP || (!is_judged && elapsed < MAXIMUM_STEP) {
            return;
        }
        let [rejected, prompt] = [self.rejections, self.prompt]
            .map(|count| f64::from(count) / f64::from(self.answers.max(1)));
        let has_room = prompt >= PROMPT_SHARE || rejected <= TOLERATED_REJECTIONS;
        let factor = if is_judged && !has_room {
            (1.0 - rejected).max(MINIMUM_DECREASE)
        } else {
            let steps = elapsed.as_millis() / STEP.as_millis();
            INCREASE.powi(steps.min(10) as i32)
        };
        let share = (self.share * factor).clamp(MINIMUM_SHARE, 1.0);
        *self = Admission { share, changed_at: now, answers: 0, rejections: 0, prompt: 0 };
    }

    /// Returns whether all flows are admitted again.
    pub(super) fn is_complete(&self) -> bool {
        self.share >= 1.0
    }

    /// Returns the admitted share of the class that `rank` higher classes precede. The lower a class,
    /// the sooner its share decreases.
    pub(super) fn share(&self, rank: u32) -> f64 {
        match rank {
            0 => 1.0,
            _ => self.share.powi(rank.min(8) as i32).max(MINIMUM_SHARE),
        }
    }
}
