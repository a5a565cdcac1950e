//! A randomized soak: daemons as processes, faults from outside of them, and the promises checked
//! by what callers and targets see.

pub(crate) mod caller;
pub(crate) mod fabric;
pub(crate) mod plan;
pub(crate) mod process;
pub(crate) mod recorder;
pub(crate) mod shared;
pub(crate) mod testbed;
