use std::{
    future::Future,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    cookie::{Change, Listing, ListingUpdate, OperatorState, Revision, ZonesOut},
    platform::Result,
};

/// The consistency of a read of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// The result contains every change that the store acknowledged before the read.
    Linearizable,
    /// The result may be seconds old.
    Stale,
}

/// An item of the store that could not be decoded.
#[derive(Debug, Clone)]
pub struct RejectedItem {
    /// The item's key.
    pub key: String,
    /// The revision of the last change of the item.
    pub revision: Revision,
    /// Why the item could not be decoded.
    pub error: Arc<dyn std::error::Error + Send + Sync>,
}

/// The result of a read of the store.
#[derive(Debug, Clone)]
pub struct ReadOutcome<T> {
    /// The value that was decoded from the valid items.
    pub value: T,
    /// When the first part of the store's response arrived, the earliest one of several responses.
    /// The value shows the store at most the timeouts of a call before this, whereas the last part
    /// of a large response may have arrived much later.
    pub responded_at: Instant,
    /// The items that could not be decoded.
    pub rejected: Vec<RejectedItem>,
}

impl<T> ReadOutcome<T> {
    /// Creates a result without rejected items.
    pub fn new(responded_at: Instant, value: T) -> ReadOutcome<T> {
        ReadOutcome { value, responded_at, rejected: Vec::new() }
    }
}

/// Changes that operators published.
#[derive(Debug, Clone, PartialEq)]
pub struct Changes {
    /// The revision of the store up to which `changes` is complete.
    pub revision: Revision,
    /// The changes, each with the revision at which it was made.
    pub changes: Vec<(Revision, Change)>,
}

/// The reads of the platform's key-value store that a daemon needs.
pub trait Source: Send + Sync + 'static {
    /// Reads the configuration and all other items that operators published.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    fn read_operator_state(
        &self,
    ) -> impl Future<Output = Result<ReadOutcome<OperatorState>>> + Send;

    /// Reads the zones out of service without the configuration, which may be large.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    fn read_zones_out(&self) -> impl Future<Output = Result<ReadOutcome<ZonesOut>>> + Send;

    /// Returns the changes that operators published after the revision `after`. If there are none,
    /// the call waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Gone`](crate::platform::Error::Gone) if the store no longer holds the
    /// history after that revision, and other errors if the store does not answer.
    fn watch_operator_changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadOutcome<Changes>>> + Send;

    /// Reads the entries of all targets.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    fn read_targets(
        &self,
        consistency: Consistency,
    ) -> impl Future<Output = Result<ReadOutcome<Listing>>> + Send;

    /// Returns the changes of the targets' entries after the revision `after`. If there are none,
    /// the call waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Gone`](crate::platform::Error::Gone) if the store no longer holds the
    /// history after that revision, and other errors if the store does not answer.
    fn watch_targets(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadOutcome<ListingUpdate>>> + Send;
}
