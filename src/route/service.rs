use std::sync::Arc;

use crate::{
    route::Generation,
    ticket::{Policy, TargetId},
};

/// A service as the packet path uses it.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// The placement policy.
    pub policy: Policy,
    /// The targets of the newest generation, placeable or not.
    pub targets: Vec<TargetId>,
    /// The generations, newest first; at least one.
    pub generations: Vec<Generation>,
}
