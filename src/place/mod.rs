//! Placement of new flows on targets.
//!
//! The primary owner of a flow chooses the target without asking other daemons. Each owner
//! gets a uniform sample of a service's flows, so if every owner balances its own counts of open
//! flows, their sum is balanced as well. Load reports only exclude targets or scale their
//! weights. If daemons preferred the target that last reported to be idle, all daemons would choose
//! the same target at once.
//!
//! A target that has recently started is in slow start. The number of new flows that such a cold
//! target can accept at a time is divided into whole units ([`Unit`]), each held by one daemon.
//! Fractional shares would not work: a target with 4 slots and 275 daemons in its region would
//! get 275 first flows at once.

mod caller;
mod config;
mod placer;
mod preference;
mod ramp;
mod refusal;
mod unit;
mod usage;

pub use config::Config;
pub use placer::Placer;
pub use preference::Preference;
pub use refusal::Refusal;
pub use unit::{Unit, UnitHolders};
