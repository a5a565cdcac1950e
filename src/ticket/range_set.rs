use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ticket::Number;

/// A range of ticket numbers, both ends included.
pub type Range = (Number, Number);

/// The largest number of ranges that are kept. Beyond it, the lowest range is removed first.
///
/// Tickets that are numbered without gaps need one range. With a gap after each ticket, 4,096
/// ranges cover three days of 1,300 tickets each in about 100 KB.
const MAX_RANGES: usize = 4096;

/// The encoded form of a set: its ranges and the highest number that may be forgotten.
type Encoded = (Vec<Range>, Number);

/// A set of ticket numbers, stored as disjoint ranges.
///
/// The set has a limited size and may forget its lowest numbers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", from = "Encoded", into = "Encoded")]
pub struct RangeSet {
    /// The last number of each range, by its first number.
    ends: BTreeMap<Number, Number>,
    /// The highest number that may have been removed to limit the size.
    forgotten: Number,
}

impl RangeSet {
    /// Creates an empty set.
    pub fn new() -> RangeSet {
        RangeSet::default()
    }

    /// Returns whether `number` is in the set.
    pub fn contains(&self, number: Number) -> bool {
        self.ends.range(..=number).next_back().is_some_and(|(_, end)| *end >= number)
    }

    /// Returns the highest number that may have been removed to limit the size of the set.
    pub fn forgotten(&self) -> Number {
        self.forgotten
    }

    /// Records that numbers up to `number` may have been removed.
    pub fn forget(&mut self, number: Number) {
        self.forgotten = self.forgotten.max(number);
    }

    /// Returns the highest number in the set.
    pub fn last(&self) -> Option<Number> {
        self.ends.values().next_back().copied()
    }

    /// Adds a number and returns whether the set did not contain it before.
    pub fn insert(&mut self, number: Number) -> bool {
        !self.contains(number) && {
            self.insert_range((number, number));
            true
        }
    }

    /// Adds all numbers of a range. An empty range changes nothing.
    pub fn insert_range(&mut self, (mut start, mut end): Range) {
        if start > end {
            return;
        }
        if let Some((before, before_end)) = self.ends.range(..=start).next_back()
            && before_end.saturating_add(1) >= start
        {
            start = *before;
            end = end.max(*before_end);
        }
        while let Some((next, next_end)) = self.ends.range(start..).next()
            && *next <= end.saturating_add(1)
        {
            end = end.max(*next_end);
            let next = *next;
            self.ends.remove(&next);
        }
        self.ends.insert(start, end);
        while self.ends.len() > MAX_RANGES
            && let Some((_, end)) = self.ends.pop_first()
        {
            self.forgotten = self.forgotten.max(end);
        }
    }

    /// Returns the ranges in ascending order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = Range> {
        self.ends.iter().map(|(start, end)| (*start, *end))
    }

    /// Returns the number of ranges.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }
}

impl From<Vec<Range>> for RangeSet {
    fn from(ranges: Vec<Range>) -> RangeSet {
        let mut set = RangeSet::new();
        for range in ranges {
            set.insert_range(range);
        }
        set
    }
}

impl From<Encoded> for RangeSet {
    fn from((ranges, forgotten): Encoded) -> RangeSet {
        let mut set = RangeSet::from(ranges);
        set.forgotten = set.forgotten.max(forgotten);
        set
    }
}

impl From<RangeSet> for Encoded {
    fn from(ranges: RangeSet) -> Encoded {
        (ranges.iter().collect(), ranges.forgotten)
    }
}
