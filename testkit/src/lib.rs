//! Test doubles for the systems around banyanwharf, for tests and examples.
//!
//! Each test double records what it observes. Tests compare these records with each other and
//! don't rely on the daemons' metrics.
//!
//! - [`Platform`]: the configuration service.
//! - [`Fabric`]: the network that distributes the callers' packets over the daemons.
//! - [`Target`] and [`Caller`]: endpoints with a full TCP stack.
//! - [`Responder`] and [`Initiator`]: endpoints without a TCP stack, for very many flows.
//! - [`Store`]: the store of the users' platform, for daemons in gateway mode.
//! - [`Proxy`]: a TCP proxy that injects faults into its connections.
//! - [`scenario`]: a run that changes daemons, targets and zones while flows exchange data.

mod caller;
mod daemons;
mod fabric;
mod http;
mod initiator;
mod message;
mod platform;
mod proxy;
mod responder;
pub mod scenario;
mod segment;
mod stack;
mod store;
mod target;
mod util;

pub use caller::{BreakCause, BrokenFlow, Caller, CallerConfig, CallerRecord};
pub use daemons::Daemons;
pub use fabric::{Fabric, FabricRecord, Impairment, LoadSharing};
pub use http::{get, get_bytes};
pub use initiator::{Initiator, InitiatorConfig, InitiatorRecord};
pub use platform::{Mode, Platform, Vm};
pub use proxy::{Proxy, ProxyMode};
pub use responder::{Responder, ResponderRecord};
pub use segment::Segment;
pub use store::{Gate, Replica, Store, StoreMode};
pub use target::{Controls, Target, TargetConfig, TargetRecord};
pub use util::free_address;
