use std::{future::Future, sync::Arc, time::Duration};

use crate::{
    cookie::{Change, Listing, OperatorState, Revision},
    platform::Result,
};

/// How new the answer to a read must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Every change that was acknowledged before the read is in it.
    Linearizable,
    /// It may be seconds old.
    Stale,
}

/// An item of the store that could not be decoded.
#[derive(Debug, Clone)]
pub struct Rejected {
    /// The item's key.
    pub key: String,
    /// The revision of its last change.
    pub revision: Revision,
    /// Why it could not be decoded.
    pub error: Arc<dyn std::error::Error + Send + Sync>,
}

/// An answer of the store.
#[derive(Debug, Clone)]
pub struct Read<T> {
    /// What could be decoded.
    pub value: T,
    /// What could not.
    pub rejected: Vec<Rejected>,
}

impl<T> Read<T> {
    /// Creates an answer that could be decoded so far.
    pub fn new(value: T) -> Read<T> {
        Read { value, rejected: Vec::new() }
    }
}

/// The changes that operators published.
#[derive(Debug, Clone, PartialEq)]
pub struct Changes {
    /// The store's revision up to which `changes` is complete.
    pub revision: Revision,
    /// The changes, each with its revision.
    pub changes: Vec<(Revision, Change)>,
}

/// The store of the platform as a daemon sees it.
pub trait Source: Send + Sync + 'static {
    /// Reads everything that operators published.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    fn operator(&self) -> impl Future<Output = Result<Read<OperatorState>>> + Send;

    /// Returns the changes that operators published after a revision, waiting up to `wait` for the
    /// first.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Gone`](crate::platform::Error::Gone) if the store has dropped that part
    /// of its history, and other errors if it does not answer.
    fn changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Read<Changes>>> + Send;

    /// Returns the revision of the store or of a copy that may be seconds old. It stands still while
    /// nothing changes, and costs less than the targets.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    fn revision(&self) -> impl Future<Output = Result<Revision>> + Send;

    /// Reads the entries of all targets.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    fn targets(
        &self,
        consistency: Consistency,
    ) -> impl Future<Output = Result<Read<Listing>>> + Send;
}
