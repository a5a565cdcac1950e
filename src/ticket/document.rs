use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ticket::{Number, ObjectKey, Service};

/// A numbered change ticket. It contains the complete new state of each object that it sets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Ticket {
    /// The ticket's number, which decides between two tickets that set the same object.
    pub number: Number,
    /// A note for operators; it has no effect.
    #[serde(default)]
    pub note: Option<Arc<str>>,
    /// The services that the ticket sets.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The availability zones that the ticket takes out of service or puts back into service.
    #[serde(default)]
    pub zones: Vec<Zone>,
    /// The policies that the ticket sets.
    #[serde(default)]
    pub policies: Vec<Policy>,
}

impl Ticket {
    /// Returns the keys of the objects that the ticket sets.
    pub fn objects(&self) -> impl Iterator<Item = ObjectKey> {
        let services = self.services.iter().map(|s| ObjectKey::Service(s.name.clone()));
        let zones = self.zones.iter().map(|z| ObjectKey::Zone(z.name.clone()));
        let policies = self.policies.iter().map(|p| ObjectKey::Policy(p.name.clone()));
        services.chain(zones).chain(policies)
    }
}

/// An availability zone with its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Zone {
    /// The zone's name.
    pub name: Arc<str>,
    /// Whether the zone is in service.
    pub state: ZoneState,
}

/// Whether an availability zone is in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// The zone is in service.
    In,
    /// The zone gets no packets, and flows to its targets are reset.
    Out,
}

/// The goal that takes precedence when keeping flows on their targets conflicts with balancing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Avoiding broken flows takes precedence.
    #[default]
    Stability,
    /// Balance across targets takes precedence.
    Balance,
}

/// A placement policy that services refer to by name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Policy {
    /// The policy's name.
    pub name: Arc<str>,
    /// The goal that takes precedence. It determines the default of `bound`.
    #[serde(default)]
    pub priority: Priority,
    /// The largest load of a target as a multiple of the mean load, 1.0 to 4.0.
    #[serde(default)]
    pub bound: Option<f64>,
}

impl Policy {
    /// Returns the largest load of a target as a multiple of the mean load, by default 1.25 with
    /// [`Priority::Stability`] and 1.05 with [`Priority::Balance`].
    pub fn bound(&self) -> f64 {
        self.bound.unwrap_or(match self.priority {
            Priority::Stability => 1.25,
            Priority::Balance => 1.05,
        })
    }
}
