//! The load classes of targets, from their reports and from what daemons observe.
//!
//! Health and load endpoints lag and mislead, so no single source decides. A report
//! is dated, fades, and gives way to what the daemon itself sees on the packet path.
//! Ejection is capped, since a fault in the signal must not empty a service.

mod config;
mod monitor;
mod observation;
mod reading;
mod report;
mod tracker;

pub use config::Config;
pub use monitor::{Change, Monitor};
pub use observation::Observation;
pub use reading::Reading;
pub use report::{Class, Report};
