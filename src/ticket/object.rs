use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    ticket::{Number, Policy, Service, Zone},
    util,
};

/// The identity of an object in the state: a hash of its kind and name.
pub type ObjectId = u64;

/// The name of an object that a ticket can set.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKey {
    /// A service.
    Service(Arc<str>),
    /// An availability zone.
    Zone(Arc<str>),
    /// A placement policy.
    Policy(Arc<str>),
}

impl ObjectKey {
    /// Returns the object's identity, which is the same in every daemon.
    pub fn id(&self) -> ObjectId {
        let (kind, name): (&[u8], _) = match self {
            ObjectKey::Service(name) => (b"service", name),
            ObjectKey::Zone(name) => (b"zone", name),
            ObjectKey::Policy(name) => (b"policy", name),
        };
        util::hash_bytes(&[kind, name.as_bytes()])
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ObjectKey::Service(name) => write!(formatter, "service/{name}"),
            ObjectKey::Zone(name) => write!(formatter, "zone/{name}"),
            ObjectKey::Policy(name) => write!(formatter, "policy/{name}"),
        }
    }
}

/// The whole state of one object under one ticket.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// A service.
    Service(Service),
    /// An availability zone.
    Zone(Zone),
    /// A placement policy.
    Policy(Policy),
}

impl Content {
    /// Returns the object that the content belongs to.
    pub fn object(&self) -> ObjectKey {
        match self {
            Content::Service(service) => ObjectKey::Service(service.name.clone()),
            Content::Zone(zone) => ObjectKey::Zone(zone.name.clone()),
            Content::Policy(policy) => ObjectKey::Policy(policy.name.clone()),
        }
    }
}

/// The state of one object with the number of the ticket that set it.
///
/// Items are what daemons exchange; a ticket is split into one item for each object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Item {
    /// The number of the ticket.
    pub number: Number,
    /// The state that the ticket sets.
    pub content: Arc<Content>,
}

impl Item {
    /// Returns the object that the item belongs to.
    pub fn object(&self) -> ObjectKey {
        self.content.object()
    }
}
