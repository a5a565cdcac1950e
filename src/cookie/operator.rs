use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::cookie::{Config, Revision};

/// The operator state: the configuration and the zones out of service, as operators have published
/// them in the store.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct OperatorState {
    /// The store's revision at the time of the read.
    pub revision: Revision,
    /// The configuration; `None` if there is none or it could not be decoded.
    pub config: Option<Arc<Config>>,
    /// The availability zones that are out of service.
    pub zones_out: Vec<Arc<str>>,
    /// The zones in `zones_out` whose items the store has not shown since it returned from a copy,
    /// each with the time for which they stay out. The store does not record this; daemons pass it on
    /// to each other.
    pub unconfirmed_zones: Vec<(Arc<str>, Duration)>,
    /// The availability zones that returned to service recently, each with the revision of its
    /// return. The store does not record this; daemons pass it on to each other.
    pub zones_back: Vec<(Arc<str>, Revision)>,
}

/// The availability zones out of service, read without the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ZonesOut {
    /// The store's revision at the time of the read.
    pub revision: Revision,
    /// The zones that are out of service.
    pub zones: Vec<Arc<str>>,
}

/// One change that operators have published.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A new configuration.
    Config(Arc<Config>),
    /// The zone is out of service.
    ZoneOut(Arc<str>),
    /// The zone is back in service since the revision.
    ZoneBack(Arc<str>, Revision),
}
