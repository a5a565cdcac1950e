use serde::{Deserialize, Serialize};

use crate::flow::Slot;

/// A keyed 128-bit hash of a flow's [`Key`](crate::flow::Key).
///
/// Two flows have the same fingerprint with a probability of about 2⁻¹²⁸. Collisions are not
/// handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Returns the hash slot, which determines the flow's owners: the 12 highest bits.
    ///
    /// ```
    /// use banyanwharf::flow::{Fingerprint, SLOTS};
    ///
    /// assert_eq!(Fingerprint(0).slot(), 0);
    /// assert_eq!(Fingerprint(u128::MAX).slot(), SLOTS - 1);
    /// ```
    pub fn slot(self) -> Slot {
        (self.0 >> 116) as Slot
    }

    /// Returns the value as words, which need an alignment of only 4 bytes.
    pub(super) fn words(self) -> [u32; 4] {
        [96, 64, 32, 0].map(|shift| (self.0 >> shift) as u32)
    }

    /// Returns the fingerprint with the given words.
    pub(super) fn from_words(words: [u32; 4]) -> Fingerprint {
        Fingerprint(words.iter().fold(0, |value, word| (value << 32) | u128::from(*word)))
    }

    /// Returns the low 64 bits, which determine the target and are independent of the hash slot.
    pub fn low_bits(self) -> u64 {
        self.0 as u64
    }
}
