use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// A revision of the platform's store.
///
/// The number grows with each change. If the store returns from a copy of an earlier state, its
/// numbers go back and are assigned again, and its era grows. Revisions of different eras are
/// therefore ordered by era, and their numbers cannot be compared.
///
/// A revision of the era 0 is encoded as its number, as before there were eras: lists of thousands of
/// targets stay short, and daemons of earlier versions can decode them.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(from = "Encoded", into = "Encoded")]
pub struct Revision {
    /// The number of times that the store has returned from a copy; 0 if the store does not say.
    pub era: u64,
    /// The number of the change in the era.
    pub number: u64,
}

/// The encoding of a revision.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum Encoded {
    /// The number of a revision of the era 0.
    Number(u64),
    /// The era and the number.
    Pair(u64, u64),
}

impl From<Encoded> for Revision {
    fn from(encoded: Encoded) -> Revision {
        match encoded {
            Encoded::Number(number) => number.into(),
            Encoded::Pair(era, number) => Revision { era, number },
        }
    }
}

impl From<Revision> for Encoded {
    fn from(revision: Revision) -> Encoded {
        match revision.era {
            0 => Encoded::Number(revision.number),
            era => Encoded::Pair(era, revision.number),
        }
    }
}

impl Revision {
    /// Returns whether this revision is later than `other` in the same era, so that the store held
    /// `other` when it assigned this one.
    pub fn follows(&self, other: Revision) -> bool {
        self.era == other.era && self.number > other.number
    }
}

impl From<u64> for Revision {
    /// Returns the revision with this number in the era 0.
    fn from(number: u64) -> Revision {
        Revision { era: 0, number }
    }
}

impl Display for Revision {
    /// Writes the number alone in the era 0, as log lines had it before there were eras.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(formatter, "{}", self.number),
            era => write!(formatter, "{era}/{}", self.number),
        }
    }
}
