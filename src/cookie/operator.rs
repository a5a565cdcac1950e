use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::cookie::{Config, Revision};

/// Everything that operators have published.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", default)]
pub struct OperatorState {
    /// The store's revision at the read.
    pub revision: Revision,
    /// The configuration; `None` if there is none or it could not be decoded.
    pub config: Option<Arc<Config>>,
    /// The availability zones that are out of service.
    pub zones_out: Vec<Arc<str>>,
    /// The availability zones that came back into service not long ago, and at which revision. The
    /// store does not tell; daemons tell each other.
    pub zones_back: Vec<(Arc<str>, Revision)>,
}

/// One change that operators have published.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A configuration is in force.
    Config(Arc<Config>),
    /// A zone is taken out of service.
    ZoneOut(Arc<str>),
    /// A zone is back in service since a revision.
    ZoneBack(Arc<str>, Revision),
}
