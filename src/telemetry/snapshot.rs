use std::{borrow::Cow, collections::BTreeMap};

use crate::telemetry::Instrument;

/// A label of a value: its name and its text.
pub type Label = (&'static str, Cow<'static, str>);

/// The metric values of one part of a daemon at one point in time.
///
/// ```
/// use banyanwharf::telemetry::{Instrument, Snapshot};
///
/// const DROPPED: Instrument = Instrument::counter("dropped_packets", "Dropped packets by cause.");
///
/// let mut snapshot = Snapshot::new();
/// snapshot.set(DROPPED, [("cause", "fragment")], 3);
/// assert_eq!(snapshot.get(DROPPED, [("cause", "fragment")]), Some(3));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    values: BTreeMap<Instrument, BTreeMap<Vec<Label>, u64>>,
}

impl Snapshot {
    /// Creates an empty snapshot.
    pub fn new() -> Snapshot {
        Snapshot::default()
    }

    /// Sets the value with the given labels.
    pub fn set<T: Into<Cow<'static, str>>>(
        &mut self,
        instrument: Instrument,
        labels: impl IntoIterator<Item = (&'static str, T)>,
        value: u64,
    ) {
        let values = self.values.entry(instrument).or_default();
        values.insert(sorted(labels), value);
    }

    /// Sets the value without labels.
    pub fn set_unlabeled(&mut self, instrument: Instrument, value: u64) {
        self.set::<&'static str>(instrument, [], value);
    }

    /// Returns the value with the given labels.
    pub fn get<T: Into<Cow<'static, str>>>(
        &self,
        instrument: Instrument,
        labels: impl IntoIterator<Item = (&'static str, T)>,
    ) -> Option<u64> {
        self.values.get(&instrument)?.get(&sorted(labels)).copied()
    }

    /// Returns the instruments that have values.
    pub fn instruments(&self) -> impl Iterator<Item = Instrument> {
        self.values.keys().copied()
    }

    /// Returns the values of an instrument with their labels.
    pub fn values(&self, instrument: Instrument) -> impl Iterator<Item = (&[Label], u64)> {
        let values = self.values.get(&instrument).into_iter().flatten();
        values.map(|(labels, value)| (labels.as_slice(), *value))
    }
}

fn sorted<T: Into<Cow<'static, str>>>(
    labels: impl IntoIterator<Item = (&'static str, T)>,
) -> Vec<Label> {
    let labels = labels.into_iter().map(|(name, text)| (name, text.into()));
    let mut labels: Vec<Label> = labels.collect();
    labels.sort();
    labels
}
