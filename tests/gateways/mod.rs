//! Test doubles of callers and targets with the packet format of the platform, and daemon
//! processes.

pub(crate) mod caller;
pub(crate) mod config;
pub(crate) mod daemon;
pub(crate) mod segment;
pub(crate) mod target;
