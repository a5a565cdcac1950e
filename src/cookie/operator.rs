use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::cookie::{Config, Revision};

/// Everything that operators have published.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Operator {
    /// The store's revision at the read.
    pub revision: Revision,
    /// The configuration; `None` if there is none or it could not be decoded.
    pub config: Option<Arc<Config>>,
    /// The availability zones that are out of service.
    pub zones_out: Vec<Arc<str>>,
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
