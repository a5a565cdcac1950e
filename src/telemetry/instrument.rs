/// The kind of an instrument.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A value that never decreases while the daemon runs.
    Counter,
    /// A value that can increase and decrease.
    Gauge,
}

/// The description of a metric, declared as a constant next to the code that counts.
///
/// ```
/// use banyanwharf::telemetry::Instrument;
///
/// const DROPPED: Instrument = Instrument::counter("dropped_packets", "Dropped packets by cause.");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instrument {
    /// The name in snake case. The exporter adds the prefix and the suffix `_total`.
    pub name: &'static str,
    /// The kind.
    pub kind: Kind,
    /// The help text, which names the measured quantity and its unit.
    pub description: &'static str,
    /// The largest number of label sets. The values of further sets are summed into one series.
    pub max_series: usize,
}

/// The default of [`Instrument::max_series`]. Memory is reserved for all series, so that
/// instruments with more label sets must raise the limit explicitly.
const DEFAULT_MAX_SERIES: usize = 100;

impl Instrument {
    /// Describes a counter.
    pub const fn counter(name: &'static str, description: &'static str) -> Instrument {
        Instrument { name, kind: Kind::Counter, description, max_series: DEFAULT_MAX_SERIES }
    }

    /// Describes a gauge.
    pub const fn gauge(name: &'static str, description: &'static str) -> Instrument {
        Instrument { name, kind: Kind::Gauge, description, max_series: DEFAULT_MAX_SERIES }
    }

    /// Allows `max_series` label sets instead of 100.
    pub const fn with_max_series(self, max_series: usize) -> Instrument {
        Instrument { max_series, ..self }
    }
}
