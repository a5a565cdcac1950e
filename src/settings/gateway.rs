use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use serde::Deserialize;
use url::Url;

use crate::cookie::Placement;
use crate::settings::{
    Key, Log, Mode, Result, check, locate, parse_text,
    strict::{seconds, strict},
};

/// The settings of one daemon in gateway mode.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Gateway {
    /// The mode.
    pub mode: Mode,
    /// The daemon's name, unique in the fleet.
    pub name: Arc<str>,
    /// The region of the daemon's availability zone.
    pub region: Arc<str>,
    /// The daemon's availability zone.
    pub zone: Arc<str>,
    /// The availability zones of all regions. If the list is not empty, `zone` must be in it.
    #[serde(default)]
    pub zones: Vec<Arc<str>>,
    /// The UDP address for packets from the fabric. Callers receive packets at the same port
    /// number.
    pub data: SocketAddrV4,
    /// The TCP address at which the daemon answers the fabric's readiness check.
    pub ready: SocketAddr,
    /// The UDP address for frames from other daemons. Without it the daemon exchanges none.
    #[serde(default)]
    pub peer: Option<SocketAddr>,
    /// The TCP address of the admin API.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
    /// The TCP address of the metrics endpoint.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The base URL of the platform's store, with the scheme `http`.
    pub platform: Url,
    /// The admin addresses of other daemons.
    #[serde(default)]
    pub contacts: Vec<SocketAddr>,
    /// The keys that authenticate frames between daemons. At least one is required if `peer` is
    /// set.
    #[serde(default)]
    pub keys: Vec<Key>,
    /// The maximum time for which a stopping daemon still forwards packets.
    #[serde(
        rename = "drain_seconds",
        default = "default_drain_time",
        deserialize_with = "seconds"
    )]
    pub drain_time: Duration,
    /// The maximum age of a flow.
    #[serde(
        rename = "flow_ttl_seconds",
        default = "default_flow_ttl",
        deserialize_with = "seconds"
    )]
    pub flow_ttl: Duration,
    /// The factor by which the configured rate of new flows to a cold target is multiplied.
    #[serde(default = "default_cold_factor", deserialize_with = "strict")]
    pub cold_factor: f64,
    /// The new flows per second that a cold target may get in addition to that rate.
    #[serde(default, deserialize_with = "strict")]
    pub cold_slack: f64,
    /// How the target of a new flow is selected.
    #[serde(default)]
    pub placement: Placement,
    /// Whether full targets are avoided, and new flows of lower priority classes are refused while
    /// no zone has room.
    #[serde(default)]
    pub load_shedding: bool,
    /// Whether the daemon exchanges reports about targets with other daemons of its zone.
    #[serde(default)]
    pub target_reports: bool,
    /// The settings of the log.
    #[serde(default)]
    pub log: Log,
}

impl Gateway {
    /// Parses and checks a settings text; `source_name` names it in errors.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`](crate::settings::Error) with the position of the first error.
    pub fn parse(source_name: &str, text: &str) -> Result<Gateway> {
        let settings: Gateway = parse_text(source_name, text)?;
        check::gateway(&settings)
            .map_err(|error| locate::validation_error(source_name, text, error))?;
        Ok(settings)
    }
}

fn default_drain_time() -> Duration {
    Duration::from_secs(5)
}

fn default_flow_ttl() -> Duration {
    Duration::from_secs(60)
}

fn default_cold_factor() -> f64 {
    1.0
}
