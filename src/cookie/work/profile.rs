use std::time::Duration;

use crate::cookie::work::Answer;

/// The maximum size of a rejection in bytes. Successful answers have 600 bytes or more, and a
/// rejection consists of a status and a short reason.
const MAXIMUM_REJECTION_BYTES: u32 = 300;

/// The minimum size of an answer in bytes. The end of a flow without an answer is acknowledged as one
/// byte.
const MINIMUM_ANSWER_BYTES: u32 = 2;

/// The minimum number of larger answers before a small one can be a rejection.
const MINIMUM_LARGER_ANSWERS: u32 = 8;

/// The least work of a route at which an answer without work can be told from the jitter of the
/// network.
const MINIMUM_WORK: Duration = Duration::from_millis(1);

/// The factor by which an answer must exceed the unloaded work of its route to count as queued. A
/// target with a full queue of four requests for each slot needs about five times the unloaded work,
/// and targets of different speed differ by up to 2.4.
const QUEUED_FACTOR: f64 = 3.0;

/// The part by which an answer changes the average work.
const AVERAGE_STEP: f64 = 0.1;

/// The part by which an answer below the unloaded work changes it.
const UNLOADED_DECREASE: f64 = 1.0 / 64.0;

/// The relative increase of the unloaded work by an answer above it: in 10 s of overload with 100
/// answers per second it rises by less than a quarter.
const UNLOADED_INCREASE: f64 = 0.0002;

/// The number of small answers at which older ones are forgotten by halves.
const MAXIMUM_SMALL_ANSWERS: u32 = 64;

/// What an answer shows about the room of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The target has rejected the request because its queue is full.
    Rejected,
    /// The target has answered after a time that contains waiting in its queue, or after an unknown
    /// time.
    Queued,
    /// The target has answered without a queue.
    Prompt,
}

/// The size and work that are usual for the answers of one route.
#[derive(Debug, Clone, Default)]
pub(super) struct Profile {
    /// The number of answers that are too large for a rejection and have a known work.
    larger_answers: u32,
    /// The work of larger answers without a queue, in seconds.
    unloaded_work: f64,
    /// The average work of recent larger answers, with queues, in seconds.
    average_work: f64,
    /// The average round-trip time in seconds, for flows whose opening this daemon did not see.
    round_trip: f64,
    /// The number of recent small answers.
    small_answers: u32,
    /// The part of `small_answers` that took about the work of larger answers: short successful
    /// answers rather than rejections.
    small_worked_answers: u32,
}

impl Profile {
    /// Returns the work of the route without a queue; `None` if it is not known.
    pub(super) fn unloaded_work(&self) -> Option<Duration> {
        let is_known = self.larger_answers >= MINIMUM_LARGER_ANSWERS;
        let work = Duration::from_secs_f64(self.unloaded_work);
        (is_known && work >= MINIMUM_WORK).then_some(work)
    }

    /// Returns whether an answer is small enough for a rejection.
    pub(super) fn is_small(answer: &Answer) -> bool {
        answer.bytes <= MAXIMUM_REJECTION_BYTES
    }

    /// Records an answer, and returns what it shows about its target; `None` if it shows nothing.
    pub(super) fn record(&mut self, answer: &Answer) -> Option<Outcome> {
        if answer.bytes < MINIMUM_ANSWER_BYTES {
            return None;
        }
        let round_trip = answer.round_trip.map_or(self.round_trip, |time| time.as_secs_f64());
        let work = (answer.elapsed.as_secs_f64() - round_trip).max(0.0);
        if Profile::is_small(answer) {
            return self.record_small(answer, work);
        }
        // The time of a retransmitted request contains the loss of a packet.
        if answer.is_retransmitted || answer.round_trip.is_none() {
            return Some(Outcome::Queued);
        }
        self.learn(work, round_trip);
        let is_prompt = work < QUEUED_FACTOR * self.unloaded_work;
        Some(if is_prompt { Outcome::Prompt } else { Outcome::Queued })
    }

    fn learn(&mut self, work: f64, round_trip: f64) {
        self.larger_answers = self.larger_answers.saturating_add(1);
        // The first answers are averaged equally.
        let step = AVERAGE_STEP.max(1.0 / f64::from(self.larger_answers));
        self.average_work += step * (work - self.average_work);
        self.round_trip += step * (round_trip - self.round_trip);
        if self.larger_answers <= MINIMUM_LARGER_ANSWERS {
            let least = if self.larger_answers == 1 { work } else { self.unloaded_work };
            self.unloaded_work = least.min(work);
        } else if work < self.unloaded_work {
            self.unloaded_work += UNLOADED_DECREASE * (work - self.unloaded_work);
        } else {
            self.unloaded_work *= 1.0 + UNLOADED_INCREASE;
        }
    }

    /// Records an answer that is small enough for a rejection. A slow target rejects late, so a late
    /// answer counts as a rejection unless short successful answers are usual for the route.
    fn record_small(&mut self, answer: &Answer, work: f64) -> Option<Outcome> {
        self.unloaded_work()?;
        let is_immediate = work < self.average_work / 2.0;
        let is_usual = !answer.is_retransmitted && !is_immediate && work < 2.0 * self.average_work;
        if self.small_answers >= MAXIMUM_SMALL_ANSWERS {
            self.small_answers /= 2;
            self.small_worked_answers /= 2;
        }
        self.small_answers += 1;
        self.small_worked_answers += u32::from(is_usual);
        let are_small_usual = 2 * self.small_worked_answers >= self.small_answers;
        if is_immediate || !are_small_usual {
            Some(Outcome::Rejected)
        } else {
            Some(Outcome::Queued)
        }
    }
}
