use std::sync::Arc;

/// The result of one query of a target's health and load endpoints.
///
/// Only the endpoint reader of the target has readings. It determines the target's class from them
/// and sends the class to the other daemons in a [`Report`](crate::load::Report).
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Reading {
    /// Whether the health endpoint reported success; `None` if the target has no health endpoint.
    pub healthy: Option<bool>,
    /// The identifier from the load endpoint that changes each time the target starts.
    pub start: Option<Arc<str>>,
    /// The number of requests that the target is processing.
    pub busy: u32,
    /// The number of requests that wait for a slot.
    pub queued: u32,
    /// The number of requests that the target can process at the same time; 0 if unknown.
    pub slots: u32,
}
