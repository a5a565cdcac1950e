//! A layer-4 load balancer without shared state.
//!
//! The fabric distributes the packets of each flow over all daemons. Every daemon must
//! therefore find the target of any flow, although the daemons share no storage and keep
//! nothing on disk. Two daemons, the *owners* of the flow, hold the record of its target;
//! the other daemons cache the target. `docs/design.md` gives the reasons.
//!
//! The decision logic ([`packet`], [`flow`], [`member`], [`ticket`], [`route`], [`place`],
//! [`load`], [`forward`], [`spread`]) does no I/O and reads no clock. [`node`] runs these
//! modules on sockets and timers.

pub mod admin;
pub mod cookie;
pub mod flow;
pub mod forward;
pub mod gateway;
pub mod load;
pub mod member;
pub mod node;
pub mod packet;
pub mod place;
pub mod platform;
pub mod route;
pub mod settings;
pub mod spread;
pub mod telemetry;
pub mod ticket;
pub mod wire;

#[path = "../platform/mod.rs"]
pub mod adapter;

mod util;
