//! IP packets: reading the fields that decide about a packet, and building answers.
//!
//! Reading takes no allocation, because it is done for each packet. A packet whose length
//! fields contradict each other is refused here, so no later code needs to check bounds.

mod error;
mod reply;
mod summary;

pub use error::{Error, Result};
pub use reply::{reset, unreachable};
pub use summary::{Flags, Summary, Version, parse};
