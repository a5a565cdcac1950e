use std::time::Duration;

use opentelemetry::{KeyValue, metrics};

/// A histogram of times. Clones share their values.
#[derive(Debug, Clone)]
pub struct Histogram {
    inner: metrics::Histogram<f64>,
}

impl Histogram {
    pub(super) fn new(inner: metrics::Histogram<f64>) -> Histogram {
        Histogram { inner }
    }

    /// Adds a time with the attribute `kind`.
    pub fn record(&self, time: Duration, kind: &'static str) {
        self.inner.record(time.as_secs_f64(), &[KeyValue::new("kind", kind)]);
    }
}
