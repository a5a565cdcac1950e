/// How the value of an instrument behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The value only grows while the daemon runs.
    Counter,
    /// The value goes up and down.
    Gauge,
}

/// The description of a metric. Declare it as a constant beside the code that counts.
///
/// ```
/// use banyanwharf::telemetry::Instrument;
///
/// const DROPPED: Instrument = Instrument::counter("dropped_packets", "Dropped packets by cause.");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instrument {
    /// The name, in snake case without prefix and without `_total`, which the exporter adds.
    pub name: &'static str,
    /// How the value behaves.
    pub kind: Kind,
    /// What is measured, with the unit.
    pub description: &'static str,
    /// The largest number of attribute sets; what exceeds it is summed into one.
    pub max_series: usize,
}

/// The number of attribute sets unless an instrument needs more. Memory is reserved for all.
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

    /// Allows `max_series` attribute sets instead of 100.
    pub const fn with_max_series(self, max_series: usize) -> Instrument {
        Instrument { max_series, ..self }
    }
}
