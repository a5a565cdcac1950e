//! The edge to the configuration service, which can only be read and watched.
//!
//! The platform allows a fixed number of calls a second for the whole fleet, and it may be down
//! or stale for hours. The client therefore never decides on its own to call again: a
//! [`Schedule`] without I/O does, so that the rate after failures can be tested without a clock.
//! A ticket passes as text, because only the text gives located errors to operators.

mod client;
mod endpoint;
mod error;
mod fetcher;
mod schedule;
mod tickets;
mod timeouts;
mod vms;

use std::{future::Future, time::Duration};

pub use client::Client;
pub use endpoint::{EndpointClient, Health, Load};
pub use error::{Error, Result};
pub(crate) use fetcher::Fetcher;
pub use schedule::{Backoff, Schedule};
pub use tickets::Tickets;
pub use timeouts::Timeouts;
pub use vms::{Vm, VmState, Vms};

/// A position in the platform's order of publications; 0 is before the first.
pub type Index = u64;

/// The platform as a daemon sees it.
///
/// Callers are generic over it: `async fn watch(platform: impl Platform)`.
pub trait Platform: Send + Sync + 'static {
    /// Returns the tickets published after `index`, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Gone`] if `index` is above the platform's own; the reader starts again
    /// at 0.
    fn tickets(&self, index: Index, wait: Duration)
    -> impl Future<Output = Result<Tickets>> + Send;

    /// Returns all VMs as soon as the list is newer than `index`, or after `wait`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Gone`] if `index` is above the platform's own; the reader starts again
    /// at 0.
    fn vms(&self, index: Index, wait: Duration) -> impl Future<Output = Result<Vms>> + Send;
}
