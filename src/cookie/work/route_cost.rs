/// The part of a route's answers that are below its cost. A low quantile stays near the time
/// without a queue while some targets are slow or busy.
const QUANTILE: f64 = 0.25;

/// The number of answers after which the cost changes slowly.
const WARM_UP_ANSWERS: f64 = 50.0;

/// The relative change of the cost by one answer after the warm-up. At 40 answers per second a
/// queue on all targets raises the cost by at most 4% per second, so that it is still seen as delay.
const STEP: f64 = 0.004;

/// The weight of one answer in the mean number of bytes.
const BYTES_WEIGHT: f64 = 0.05;

/// What a request of a route usually takes on a target without a queue.
#[derive(Debug, Clone, Default)]
pub(super) struct RouteCost {
    answers: f64,
    seconds: f64,
    bytes: f64,
}

impl RouteCost {
    /// Returns the cost in seconds, or `None` before the first answer.
    pub(super) fn seconds(&self) -> Option<f64> {
        (self.answers > 0.0).then_some(self.seconds)
    }

    /// Returns whether an answer looks like the rejection by a full target: it has fewer bytes than
    /// usual and took no work.
    pub(super) fn is_rejection(&self, seconds: f64, bytes: u32) -> bool {
        self.answers > 0.0 && seconds < self.seconds / 4.0 && f64::from(bytes) < self.bytes / 2.0
    }

    /// Records the time and the bytes of an answer.
    pub(super) fn record(&mut self, seconds: f64, bytes: u32) {
        self.answers = (self.answers + 1.0).min(WARM_UP_ANSWERS);
        if self.answers == 1.0 {
            (self.seconds, self.bytes) = (seconds, f64::from(bytes));
            return;
        }
        let step = STEP.max(1.0 / self.answers).min(0.5);
        let step = if self.answers < WARM_UP_ANSWERS { step } else { STEP };
        self.seconds *= match seconds > self.seconds {
            true => 1.0 + step * QUANTILE,
            false => 1.0 - step * (1.0 - QUANTILE),
        };
        self.bytes += BYTES_WEIGHT * (f64::from(bytes) - self.bytes);
    }
}
