use serde::{Deserialize, Serialize};

use crate::{
    ticket::{Number, RangeSet},
    util,
};

/// Which ticket numbers are in force and which were refused.
///
/// A ticket is in force if the state contains its version, or a version with a higher number, of
/// each object that the ticket sets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct History {
    /// The numbers of the tickets in force.
    pub applied: RangeSet,
    /// The numbers of the refused tickets. If a number is also in `applied`, the ticket is in
    /// force, because another daemon accepted it and its content was merged.
    pub refused: RangeSet,
}

impl History {
    /// Returns whether the ticket `number` is in force.
    pub fn is_applied(&self, number: Number) -> bool {
        self.applied.contains(number)
    }

    /// Returns whether the ticket `number` was refused and is not in force.
    pub fn is_refused(&self, number: Number) -> bool {
        self.refused.contains(number) && !self.is_applied(number)
    }

    /// Returns whether the ticket `number` is in force, was refused, or is so old that its outcome
    /// may have been forgotten.
    pub fn is_known(&self, number: Number) -> bool {
        self.applied.contains(number)
            || self.refused.contains(number)
            || number <= self.applied.forgotten()
    }

    /// Adds the numbers of `other`, including which numbers it may have forgotten.
    pub fn merge(&mut self, other: &History) {
        self.applied.forget(other.applied.forgotten());
        self.refused.forget(other.refused.forgotten());
        for range in other.applied.iter() {
            self.applied.insert_range(range);
        }
        for range in other.refused.iter() {
            self.refused.insert_range(range);
        }
    }

    /// Returns a hash over the numbers in force and the refused numbers.
    pub fn digest(&self) -> u64 {
        let mut bytes = Vec::with_capacity(16 * (self.applied.len() + self.refused.len()) + 1);
        for ranges in [&self.applied, &self.refused] {
            for (start, end) in ranges.iter() {
                bytes.extend_from_slice(&start.to_le_bytes());
                bytes.extend_from_slice(&end.to_le_bytes());
            }
            bytes.push(0xfe);
        }
        util::hash_bytes(&[&bytes])
    }
}
