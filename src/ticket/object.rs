use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    ticket::{Number, Policy, Service, Zone},
    util,
};

/// The identity of an object in the state: the hash of its kind and name.
pub type ObjectId = u64;

/// The kind and name of an object that a ticket can set.
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

/// The complete state of one object as a ticket sets it.
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
    /// Returns the key of the object that the content describes.
    pub fn object(&self) -> ObjectKey {
        match self {
            Content::Service(service) => ObjectKey::Service(service.name.clone()),
            Content::Zone(zone) => ObjectKey::Zone(zone.name.clone()),
            Content::Policy(policy) => ObjectKey::Policy(policy.name.clone()),
        }
    }
}

/// The content of one object with the number of the ticket that sets it.
///
/// A ticket is split into one item for each object. Daemons exchange items, not tickets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Item {
    /// The number of the ticket.
    pub number: Number,
    /// The content that the ticket sets.
    pub content: Arc<Content>,
}

impl Item {
    /// Returns the key of the object that the item sets.
    pub fn object(&self) -> ObjectKey {
        self.content.object()
    }
}
