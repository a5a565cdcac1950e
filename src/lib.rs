//! A layer-4 load balancer without shared state.
//!
//! A fabric sprays the packets of each flow over all daemons. Each daemon must
//! therefore find the target of any flow, although no daemon can write shared
//! state or keep anything on disk. The flow's two *owner* daemons hold the answer;
//! every other daemon caches it. `docs/design.md` gives the reasons.
//!
//! The modules that decide ([`packet`], [`flow`], [`member`], [`ticket`],
//! [`route`], [`place`], [`load`], [`forward`], [`spread`]) do no I/O and read no
//! clock. [`node`] runs them on sockets and timers.

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
