//! Flows: their keys, fingerprints, the table that holds them and the cache.
//!
//! A flow is held by a 128-bit keyed fingerprint instead of its addresses. That
//! keeps an entry below 64 bytes for IPv4 and IPv6 alike, and the key keeps
//! callers from choosing addresses that all fall on one target or one daemon.

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

/// The number of slots that the fingerprints are divided into for ranking owners.
///
/// Four slots for each daemon of the largest region planned for (275) would be
/// enough for an even spread; 4,096 keeps the ranking table below 100 KB.
pub const SLOTS: u16 = 4096;

/// The index of a slot, below [`SLOTS`].
pub type Slot = u16;
