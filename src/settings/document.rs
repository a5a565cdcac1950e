use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

use serde::Deserialize;
use url::Url;

use crate::{
    settings::{
        Control, Key, Limits, Log, Mode, Result, Secret, Trace, ValidationError, check, locate,
        parse_text, read,
        strict::{seconds, strict},
    },
    wire::{self, Keyring},
};

/// The settings of one daemon in tunnel mode.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Settings {
    /// The mode. The settings of gateway mode are [`Gateway`](crate::settings::Gateway).
    #[serde(default)]
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
    /// The UDP address for encapsulated packets from the fabric and from targets.
    pub data: SocketAddr,
    /// The fabric's UDP address, which takes encapsulated return packets.
    pub fabric: SocketAddr,
    /// The UDP address for frames from other daemons.
    pub peer: SocketAddr,
    /// The TCP address of the admin API. It must be a management address: the API has no
    /// authentication.
    pub admin: SocketAddr,
    /// The TCP address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// The base URL of the platform, with the scheme `http`.
    pub platform: Url,
    /// The admin addresses of other daemons, which a joining daemon calls if the platform is down.
    #[serde(default)]
    pub contacts: Vec<SocketAddr>,
    /// The key of the hash that makes flow fingerprints. It must be the same in all daemons.
    pub flow_key: Secret<16>,
    /// The keys that authenticate frames between daemons.
    pub keys: Vec<Key>,
    /// The number of the key that signs frames; the highest number if absent. While a new key is
    /// being added to all daemons, frames must be signed with the old one.
    #[serde(default)]
    pub sign_with: Option<wire::KeyNumber>,
    /// The capacities of tables and the limits on callers.
    #[serde(default)]
    pub limits: Limits,
    /// How long the fabric may go on sending packets to a leaving daemon.
    #[serde(
        rename = "drain_seconds",
        default = "default_drain_time",
        deserialize_with = "seconds"
    )]
    pub drain_time: Duration,
    /// The rate limit of control messages.
    #[serde(default)]
    pub control: Control,
    /// The rate at which a leaving daemon copies flow records, in bytes per second.
    #[serde(default = "default_handover_bytes_per_second", deserialize_with = "strict")]
    pub handover_bytes_per_second: u32,
    /// The settings of the log.
    #[serde(default)]
    pub log: Log,
    /// The settings of trace spans.
    #[serde(default)]
    pub trace: Trace,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Read`](crate::settings::Error::Read) if the file cannot be read, and the
    /// errors of [`Settings::parse`].
    pub fn load(path: &Path) -> Result<Settings> {
        let text = read(path)?;
        Settings::parse(&path.display().to_string(), &text)
    }

    /// Parses and checks a settings text; `source_name` names it in errors.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLong`](crate::settings::Error::TooLong) if the text exceeds
    /// [`MAXIMUM_BYTES`](crate::settings::MAXIMUM_BYTES), and
    /// [`Error::Located`](crate::settings::Error::Located) with the position of the first error.
    pub fn parse(source_name: &str, text: &str) -> Result<Settings> {
        let settings: Settings = parse_text(source_name, text)?;
        settings.validate().map_err(|error| locate::validation_error(source_name, text, error))?;
        Ok(settings)
    }

    /// Checks settings that were built in code.
    ///
    /// # Errors
    ///
    /// Returns the first [`ValidationError`].
    pub fn validate(&self) -> Result<(), ValidationError> {
        check::settings(self)
    }

    /// Returns the key ring for frames.
    ///
    /// # Errors
    ///
    /// Returns [`wire::Error::NoKey`] if `keys` is empty and [`wire::Error::UnknownKey`] if
    /// `sign_with` is not in it. [`Settings::validate`] rejects such settings.
    pub fn keyring(&self) -> wire::Result<Keyring> {
        let keys = self.keys.iter().map(|key| (key.number, *key.key.bytes()));
        let keyring = Keyring::new(keys)?;
        match self.sign_with {
            Some(number) => keyring.sign_with(number),
            None => Ok(keyring),
        }
    }
}

fn default_drain_time() -> Duration {
    Duration::from_secs(30)
}

fn default_handover_bytes_per_second() -> u32 {
    256 * 1024
}
