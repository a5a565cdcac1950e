//! Placement of new flows on targets.
//!
//! The primary owner of a flow decides alone, without asking anybody. The owners
//! see uniform samples of a service's flows, so an owner that balances its own
//! counts balances the sum. Load reports only exclude targets or scale their
//! weights; a daemon that ran after the target last reported idle would send the whole
//! fleet there.
//!
//! What a cold target bears is divided into whole units ([`Unit`]), each held by
//! one daemon. Fractions would not do: a target with 4 slots and 275 daemons in its region
//! would get 275 first flows at once.

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
