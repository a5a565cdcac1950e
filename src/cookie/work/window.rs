use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::cookie::work::profile::Outcome;

/// The age from which on answers no longer count.
const LENGTH: Duration = Duration::from_secs(1);

/// The time for which answers are counted together.
const BUCKET: Duration = Duration::from_millis(50);

/// How recent the last rejection must be for rejections to be going on.
const ONGOING: Duration = Duration::from_millis(200);

/// The minimum number of answers from which the share of rejections counts.
const MINIMUM_ANSWERS: u32 = 8;

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
    last_rejection_at: Option<Instant>,
}

impl Tally {
    /// Returns the share of rejections; 0 if there are too few answers.
    pub(super) fn rejected_share(&self) -> f64 {
        if self.answers < MINIMUM_ANSWERS {
            return 0.0;
        }
        f64::from(self.rejections) / f64::from(self.answers)
    }

    /// Returns whether the zone has no room: at least half of the answers are rejections, and at most
    /// a tenth came without a queue, which only a target with spare capacity gives.
    pub(super) fn is_full(&self) -> bool {
        self.rejected_share() >= 0.5 && 10 * self.prompt <= self.answers
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
        if outcome == Outcome::Rejected {
            self.last_rejection_at = Some(now);
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

    /// Returns whether targets have rejected requests until now.
    pub(super) fn is_rejecting(&self, now: Instant) -> bool {
        self.last_rejection_at.is_some_and(|at| now.saturating_duration_since(at) < ONGOING)
    }

    /// Returns whether no answer is recent enough to count.
    pub(super) fn is_empty(&self, now: Instant) -> bool {
        self.tally(now).answers == 0
    }
}
