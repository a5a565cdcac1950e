//! The decision for each packet: deliver, hop, hold, answer or drop.

mod action;

pub use action::{Action, Cause};
