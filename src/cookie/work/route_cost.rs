/// The part of a route's answers that are below its cost. A low quantile stays near the time
/// without a queue while some targets are slow or busy.
const QUANTILE: f64 = 0.25;

/// The number of answers from which the cost starts. A single one may come from a full or slow
/// target.
const FIRST_ANSWERS: usize = 8;

/// The number of answers after which the cost changes slowly.
const WARM_UP_ANSWERS: f64 = 50.0;

/// The relative change of the cost by one answer after the warm-up. At 40 answers per second a
/// queue on all targets raises the cost by at most 4% per second, so that it is still seen as delay.
const STEP: f64 = 0.004;

/// What a request of a route usually takes on a target without a queue.
#[derive(Debug, Clone, Default)]
pub(super) struct RouteCost {
    /// The times of the first answers, until the cost is known.
    first: Vec<f64>,
    answers: f64,
    seconds: f64,
}

impl RouteCost {
    /// Returns the cost in seconds, or `None` before there are enough answers.
    pub(super) fn seconds(&self) -> Option<f64> {
        (self.answers > 0.0).then_some(self.seconds)
    }

    /// Records the time of an answer that cannot be a rejection.
    pub(super) fn record(&mut self, seconds: f64) {
        if self.answers == 0.0 {
            self.first.push(seconds);
            if self.first.len() >= FIRST_ANSWERS {
                let mut first = std::mem::take(&mut self.first);
                first.sort_by(f64::total_cmp);
                self.answers = first.len() as f64;
                self.seconds = first[(self.answers * QUANTILE) as usize];
            }
            return;
        }
        self.answers = (self.answers + 1.0).min(WARM_UP_ANSWERS);
        let step = if self.answers < WARM_UP_ANSWERS { 1.0 / self.answers } else { STEP };
        self.seconds *= match seconds > self.seconds {
            true => 1.0 + step * QUANTILE,
            false => 1.0 - step * (1.0 - QUANTILE),
        };
    }
}
