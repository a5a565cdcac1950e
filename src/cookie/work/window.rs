use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::cookie::work::profile::Outcome;

/// The age from which on answers no longer count.
const LENGTH: Duration = Duration::from_secs(1);

/// The time for which answers are counted together.
const BUCKET: Duration = Duration::from_millis(50);

/// The minimum number of answers from which the share of rejections counts.
const MINIMUM_ANSWERS: u32 = 8;

/// The rejections from which on a zone has no room, and their share of the answers. A caller that
/// tries three times is then rejected each time in one of a hundred cases.
const MINIMUM_REJECTIONS: u32 = 4;
const FULL_SHARE: f64 = 0.2;

/// The share of answers without a queue from which on a zone has spare capacity.
const PROMPT_SHARE: f64 = 0.1;

/// The share of answers without a queue from which on a zone is no longer full while flows are
/// refused. The refusals themselves shorten the queues: with [`PROMPT_SHARE`], admission opened and
/// closed in turn during a burst.
const RECOVERED_SHARE: f64 = 0.5;

/// The answers of a zone's targets within the last second, by what they show.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Tally {
    pub(super) answers: u32,
    pub(super) rejections: u32,
    prompt: u32,
}

/// The answers of the targets of one service in one zone within the last second.
#[derive(Debug, Clone, Default)]
pub(super) struct Window {
    /// The counts by the time of their first answer, oldest first.
    buckets: VecDeque<(Instant, Tally)>,
}

impl Tally {
    /// Returns the share of rejections; 0 if there are too few answers.
    pub(super) fn rejected_share(&self) -> f64 {
        if self.answers < MINIMUM_ANSWERS {
            return 0.0;
        }
        f64::from(self.rejections) / f64::from(self.answers)
    }

    /// Returns whether the zone has no room: many answers are rejections, and few came without a
    /// queue, which only a target with spare capacity gives.
    pub(super) fn is_full(&self) -> bool {
        self.rejections >= MINIMUM_REJECTIONS
            && self.rejected_share() >= FULL_SHARE
            && self.prompt_share() < PROMPT_SHARE
    }

    /// Returns whether a zone remains full while flows are refused: the refusals keep the share of
    /// rejections low, so a single one suffices.
    pub(super) fn remains_full(&self) -> bool {
        self.rejections > 0 && self.prompt_share() < RECOVERED_SHARE
    }

    fn prompt_share(&self) -> f64 {
        f64::from(self.prompt) / f64::from(self.answers.max(1))
    }
}

impl Window {
    /// Records an answer.
    pub(super) fn record(&mut self, now: Instant, outcome: Outcome) {
        while let Some((start, _)) = self.buckets.front()
            && now.saturating_duration_since(*start) >= LENGTH
        {
            self.buckets.pop_front();
        }
        let is_current = |start: Instant| now.saturating_duration_since(start) < BUCKET;
        if self.buckets.back().is_none_or(|(start, _)| !is_current(*start)) {
            self.buckets.push_back((now, Tally::default()));
        }
        if let Some((_, tally)) = self.buckets.back_mut() {
            tally.answers += 1;
            match outcome {
                Outcome::Rejected => tally.rejections += 1,
                Outcome::Prompt => tally.prompt += 1,
                Outcome::Queued => {}
            }
        }
    }

    /// Returns the answers of the last second.
    pub(super) fn tally(&self, now: Instant) -> Tally {
        let mut total = Tally::default();
        for (start, tally) in &self.buckets {
            if now.saturating_duration_since(*start) < LENGTH {
                total.answers += tally.answers;
                total.rejections += tally.rejections;
                total.prompt += tally.prompt;
            }
        }
        total
    }

    /// Returns whether no answer is recent enough to count.
    pub(super) fn is_empty(&self, now: Instant) -> bool {
        self.tally(now).answers == 0
    }
}
