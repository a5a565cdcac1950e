//! The load classes of targets, determined from their endpoints and from the packet path.
//!
//! Health and load endpoints answer late and can be wrong, so no single source decides. A
//! report carries the age of its observation, expires after a while, and is superseded by a
//! newer observation of the daemon's own packet path. The share of ejected targets is limited
//! (outlier ejection), so that a faulty health check cannot leave a service without targets.

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
