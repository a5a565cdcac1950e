use std::sync::Arc;

/// One reading of a target's health and load endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Reading {
    /// Whether the health endpoint answered with success; `None` if the target has none.
    pub healthy: Option<bool>,
    /// The start identity that the load endpoint reports.
    pub start: Option<Arc<str>>,
    /// The number of requests that run.
    pub busy: u32,
    /// The number of requests that wait for a slot.
    pub queued: u32,
    /// The number of requests that the target runs at the same time; 0 if unknown.
    pub slots: u32,
}
