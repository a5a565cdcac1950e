//! The client of the configuration service (the platform), which can only be read and watched.
//!
//! The platform allows a fixed number of calls a second for the whole fleet, and it may be down
//! or stale for hours. The client therefore never retries a call by itself: a [`Schedule`], which
//! does no I/O, decides when the next call may start, so that the rate after failures can be tested
//! without a clock. Tickets are passed on as text, since errors can show operators a position only
//! in the text.

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
pub(crate) use fetcher::{Fetched, Fetcher};
pub use schedule::{Backoff, Schedule};
pub use tickets::Tickets;
pub use timeouts::Timeouts;
pub use vms::{Vm, VmState, Vms};

/// A position in the sequence of the platform's publications; 0 is before the first.
pub type Index = u64;

/// The calls that a daemon makes to the platform.
///
/// Functions that need the platform take it as a generic parameter:
/// `async fn watch(platform: impl Platform)`.
pub trait Platform: Send + Sync + 'static {
    /// Returns the tickets published after `index`, waiting up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Gone`] if `index` is greater than the platform's latest index; the reader
    /// must start again at 0.
    fn tickets(&self, index: Index, wait: Duration)
    -> impl Future<Output = Result<Tickets>> + Send;

    /// Returns all VMs as soon as the list is newer than `index`, or after `wait`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Gone`] if `index` is greater than the platform's latest index; the reader
    /// must start again at 0.
    fn vms(&self, index: Index, wait: Duration) -> impl Future<Output = Result<Vms>> + Send;
}
