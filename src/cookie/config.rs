use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::cookie::{Revision, Version};

/// One of the services of a route and its part of the new flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// The part of the new flows, relative to the other shares of the route.
    pub weight: u32,
}

/// Where the flows of one service address go.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// The services.
    pub shares: Vec<Share>,
}

impl Route {
    /// Returns the service for a flow with the hash `hash`, or `None` if no share has a weight.
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

    /// Returns whether the route leads to `service`.
    pub fn includes_service(&self, service: &str) -> bool {
        self.shares.iter().any(|share| &*share.service == service)
    }
}

/// What the configuration says about a service.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Service {
    /// The new flows that a cold target bears a second; 0 if the configuration states no rate.
    pub cold_rate: f64,
    /// How long a target is cold after its start.
    pub cold_for: Duration,
}

/// A configuration. It replaces the one before as a whole.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Config {
    /// The version that operators gave it.
    pub version: Version,
    /// The store's revision of it.
    pub revision: Revision,
    /// The routes by service address.
    pub routes: BTreeMap<SocketAddrV4, Route>,
    /// The services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// The time without packets after which a flow may be given up.
    pub idle_timeout: Duration,
}
