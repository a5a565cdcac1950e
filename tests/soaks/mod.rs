//! Soak test with random faults: the daemons are processes, the faults are injected from outside,
//! and the promises are checked by what callers and targets observe.

pub(crate) mod caller;
pub(crate) mod delays;
pub(crate) mod fabric;
pub(crate) mod fleet;
pub(crate) mod plan;
pub(crate) mod process;
pub(crate) mod recorder;
pub(crate) mod shared;
pub(crate) mod testbed;
