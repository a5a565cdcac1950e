//! Flows: keys, fingerprints, the table of owned flows and the cache of targets.
//!
//! A flow is identified by a 128-bit keyed hash instead of its addresses. A table entry thus takes
//! less than 64 bytes for IPv4 and IPv6 alike, and callers cannot choose addresses that all map to
//! one target or one daemon, because they do not know the key.

mod cache;
mod cursor;
mod entry;
mod fingerprint;
mod hasher;
mod interner;
mod key;
mod table;
mod timeouts;

pub use cache::{Cache, CachedTarget};
pub use cursor::Cursor;
pub use entry::{Entry, Mark, State};
pub use fingerprint::Fingerprint;
pub use hasher::Hasher;
pub use key::{Key, Protocol};
pub use table::Table;
pub use timeouts::Timeouts;

/// The number of hash slots that fingerprints are divided into. Each slot has its own owners.
///
/// Four slots for each daemon would be enough for an even distribution in the largest planned
/// region (275 daemons). With 4,096 slots, the ranking table stays below 100 KB.
pub const SLOTS: u16 = 4096;

/// The index of a hash slot, below [`SLOTS`].
pub type Slot = u16;
