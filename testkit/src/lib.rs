//! Test doubles for the systems around banyanwharf, for tests and examples.
//!
//! The test doubles keep their own records of what they saw. A test compares these records
//! with each other and never relies on a daemon's own figures.
//!
//! - [`Platform`]: the configuration service.
//! - [`Fabric`]: sprays the callers' packets over the daemons.
//! - [`Target`] and [`Caller`]: endpoints with a whole TCP stack.
//! - [`Responder`] and [`Initiator`]: endpoints without a stack, for very many flows.
//! - [`Store`]: the store of the users' platform, for daemons in gateway mode.
//! - [`Proxy`]: a TCP proxy that harms the connections it carries.
//! - [`scenario`]: a run that changes everything while flows exchange data.

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
pub use http::get;
pub use initiator::{Initiator, InitiatorConfig, InitiatorRecord};
pub use platform::{Mode, Platform, Vm};
pub use proxy::{Proxy, ProxyMode};
pub use responder::{Responder, ResponderRecord};
pub use segment::Segment;
pub use store::{Store, StoreMode};
pub use target::{Controls, Target, TargetConfig, TargetRecord};
pub use util::free_address;
