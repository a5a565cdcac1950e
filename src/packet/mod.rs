//! IP packets: parsing the header fields that forwarding depends on, and building replies.
//!
//! Parsing runs for each packet and allocates nothing. It rejects packets whose length fields
//! contradict each other, so later code need not check bounds.

mod error;
mod reply;
mod summary;

pub use error::{Error, Result};
pub use reply::{reset, unreachable};
pub use summary::{Flags, Summary, Version, parse};
