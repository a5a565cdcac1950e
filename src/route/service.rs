use std::sync::Arc;

use crate::{
    route::Generation,
    ticket::{Policy, TargetId},
};

/// A service in compiled form for the packet path.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// The placement policy.
    pub policy: Policy,
    /// All targets of the newest version of the service, including those that get no new flows.
    pub targets: Vec<TargetId>,
    /// The target sets of the kept versions, newest first; at least one.
    pub generations: Vec<Generation>,
}
