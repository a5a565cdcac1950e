//! The load classes of targets, from their reports and from what daemons observe.

mod report;

pub use report::{Class, Report};
