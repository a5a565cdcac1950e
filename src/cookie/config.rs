use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::cookie::{Revision, Version};

/// A service of a route and its share of the new flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// The weight of the share, relative to the other shares of the route.
    pub weight: u32,
}

/// The services to which the flows of one service address are routed, and what its requests need.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct Route {
    /// The services and their shares of the new flows.
    pub shares: Vec<Share>,
    /// The priority class of the requests; 0 is the highest.
    pub priority: u32,
    /// How long a caller waits for an answer; zero if the configuration does not say.
    pub deadline: Duration,
    /// The time within which a request should be answered; zero if the configuration does not say.
    pub latency_objective: Duration,
}

impl Route {
    /// Returns the service for a flow with the hash `hash`, or `None` if all weights are 0.
    pub fn service(&self, hash: u64) -> Option<&Arc<str>> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut rest = hash.checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if rest < weight {
                return Some(&share.service);
            }
            rest -= weight;
        }
        None
    }

    /// Returns whether `service` is one of the route's services.
    pub fn includes_service(&self, service: &str) -> bool {
        self.shares.iter().any(|share| &*share.service == service)
    }
}

/// The settings of a service in the configuration.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Service {
    /// The new flows per second that a cold target can take; 0 if the configuration has no rate.
    pub cold_rate: f64,
    /// How long a target is cold after its start.
    pub cold_for: Duration,
}

/// A configuration, which replaces the previous one as a whole.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Config {
    /// The version number that operators assigned.
    pub version: Version,
    /// The revision of the configuration in the store.
    pub revision: Revision,
    /// The routes by service address.
    pub routes: BTreeMap<SocketAddrV4, Route>,
    /// The services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// The time without packets after which a flow counts as closed.
    pub idle_timeout: Duration,
}
