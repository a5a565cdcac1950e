use std::time::Duration;

use opentelemetry::{KeyValue, metrics};

/// A histogram of durations. Clones share their values.
#[derive(Debug, Clone)]
pub struct Histogram {
    inner: metrics::Histogram<f64>,
}

impl Histogram {
    pub(super) fn new(inner: metrics::Histogram<f64>) -> Histogram {
        Histogram { inner }
    }

    /// Records a duration with the label `kind`.
    pub fn record(&self, time: Duration, kind: &'static str) {
        self.inner.record(time.as_secs_f64(), &[KeyValue::new("kind", kind)]);
    }
}
