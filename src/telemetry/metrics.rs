use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use opentelemetry::{
    KeyValue,
    metrics::{AsyncInstrument, Meter, MeterProvider as _},
};
use opentelemetry_sdk::metrics::{self, SdkMeterProvider, Stream};
use prometheus::{Registry, TextEncoder};

use crate::telemetry::{Histogram, Instrument, Kind, Label, Result, Server, Snapshot};

/// The upper bounds of histogram buckets: from the time of one hop to a typical timeout of callers.
const BUCKET_BOUNDS_SECONDS: [f64; 12] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

type Snapshots = Mutex<BTreeMap<&'static str, Arc<Snapshot>>>;

/// The metrics of a daemon. Clones share their values.
///
/// ```
/// use banyanwharf::telemetry::{Instrument, Metrics, Snapshot};
///
/// const FLOWS: Instrument = Instrument::gauge("flows", "Held flows.");
///
/// let metrics = Metrics::new()?;
/// let mut snapshot = Snapshot::new();
/// snapshot.set_unlabeled(FLOWS, 12);
/// metrics.publish("packet loop", snapshot);
/// assert!(metrics.text()?.contains("banyanwharf_flows 12"));
/// # Ok::<(), banyanwharf::telemetry::Error>(())
/// ```
#[derive(Clone)]
pub struct Metrics {
    inner: Arc<Inner>,
}

struct Inner {
    registry: Registry,
    meter: Meter,
    // Keeps the metrics reader alive, which the meter does not.
    _provider: SdkMeterProvider,
    snapshots: Arc<Snapshots>,
    registered: Arc<Mutex<BTreeMap<&'static str, Instrument>>>,
    is_ready: AtomicBool,
}

impl Metrics {
    /// Creates an empty set of metrics.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Exporter`](crate::telemetry::Error::Exporter) if the exporter cannot be
    /// set up.
    pub fn new() -> Result<Metrics> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("banyanwharf")
            .scope_info_enabled(false)
            .without_target_info()
            .build()?;
        let registered: Arc<Mutex<BTreeMap<&'static str, Instrument>>> = Arc::default();
        let instruments = Arc::clone(&registered);
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_view(move |instrument: &metrics::Instrument| {
                let max_series = lock(&instruments).get(instrument.name())?.max_series;
                Stream::builder().with_cardinality_limit(max_series).build().ok()
            })
            .build();
        let meter = provider.meter("banyanwharf");
        Ok(Metrics {
            inner: Arc::new(Inner {
                registry,
                meter,
                _provider: provider,
                snapshots: Arc::default(),
                registered,
                is_ready: AtomicBool::new(false),
            }),
        })
    }

    /// Replaces the values that one part of the daemon has published.
    ///
    /// If several parts publish a value with the same name and labels, the sum is exported.
    ///
    /// # Panics
    ///
    /// Panics if two different instruments have the same name.
    pub fn publish(&self, part: &'static str, snapshot: Snapshot) {
        let snapshot = Arc::new(snapshot);
        lock(&self.inner.snapshots).insert(part, Arc::clone(&snapshot));
        for instrument in snapshot.instruments() {
            let earlier = lock(&self.inner.registered).insert(instrument.name, instrument);
            match earlier {
                None => self.register(instrument),
                Some(earlier) => {
                    assert_eq!(earlier, instrument, "two instruments have the same name");
                }
            }
        }
    }

    /// Sets whether the daemon is ready, as `/healthz` reports it. The initial state is not ready.
    pub fn set_ready(&self, is_ready: bool) {
        self.inner.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Returns whether the daemon is ready.
    pub fn is_ready(&self) -> bool {
        self.inner.is_ready.load(Ordering::Relaxed)
    }

    /// Returns all values in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Encode`](crate::telemetry::Error::Encode) if the encoder fails.
    pub fn text(&self) -> Result<String> {
        let families = self.inner.registry.gather();
        Ok(TextEncoder::new().encode_to_string(&families)?)
    }

    /// Creates and registers a histogram of durations in seconds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use banyanwharf::telemetry::Metrics;
    ///
    /// let metrics = Metrics::new()?;
    /// let histogram = metrics.histogram("call_seconds", "Time of calls.");
    /// histogram.record(Duration::from_millis(4), "read");
    /// assert!(metrics.text()?.contains("banyanwharf_call_seconds_count"));
    /// # Ok::<(), banyanwharf::telemetry::Error>(())
    /// ```
    pub fn histogram(&self, name: &'static str, description: &'static str) -> Histogram {
        lock(&self.inner.registered).insert(name, Instrument::gauge(name, description));
        let histogram = self
            .inner
            .meter
            .f64_histogram(name)
            .with_description(description)
            .with_boundaries(BUCKET_BOUNDS_SECONDS.to_vec())
            .build();
        Histogram::new(histogram)
    }

    /// Serves `/metrics` and `/healthz` at `address` until the server is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Bind`](crate::telemetry::Error::Bind) if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> Result<Server> {
        Server::start(self.clone(), address).await
    }

    fn register(&self, instrument: Instrument) {
        let snapshots = Arc::clone(&self.inner.snapshots);
        let observe = move |observer: &dyn AsyncInstrument<u64>| {
            for (labels, value) in summed_values(&snapshots, instrument) {
                let labels = labels.into_iter().map(|(name, text)| KeyValue::new(name, text));
                observer.observe(value, &labels.collect::<Vec<_>>());
            }
        };
        let meter = &self.inner.meter;
        match instrument.kind {
            Kind::Counter => {
                meter
                    .u64_observable_counter(instrument.name)
                    .with_description(instrument.description)
                    .with_callback(observe)
                    .build();
            }
            Kind::Gauge => {
                meter
                    .u64_observable_gauge(instrument.name)
                    .with_description(instrument.description)
                    .with_callback(observe)
                    .build();
            }
        }
    }
}

/// Returns the values of an instrument by labels, summed over all parts of the daemon.
fn summed_values(snapshots: &Snapshots, instrument: Instrument) -> BTreeMap<Vec<Label>, u64> {
    let snapshots: Vec<_> = lock(snapshots).values().cloned().collect();
    let mut summed_values = BTreeMap::new();
    for snapshot in &snapshots {
        for (labels, value) in snapshot.values(instrument) {
            *summed_values.entry(labels.to_vec()).or_insert(0) += value;
        }
    }
    summed_values
}

/// Locks a mutex whose data remains valid if a thread panics while it holds the lock.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
