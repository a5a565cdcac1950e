use std::{sync::Arc, time::Duration};

use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::platform::{Error, Result, Timeouts, fetcher::Fetcher};

/// The maximum size of a target's response in bytes.
const MAXIMUM_RESPONSE_BYTES: usize = 16 * 1024;

/// The answer of a target's health endpoint, which may be out of date or wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// The target reports that it is healthy (200).
    Healthy,
    /// The target reports that it is unhealthy (503).
    Unhealthy,
}

/// The answer of a target's load endpoint, which may be out of date or wrong.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Load {
    /// An identifier of the target's current run, which changes whenever the target starts.
    #[serde(default)]
    pub start: Option<Arc<str>>,
    /// The number of requests that the target can process at the same time.
    pub slots: u32,
    /// The number of requests that the target is processing.
    pub busy: u32,
    /// The number of requests that wait in the target's queue.
    #[serde(default)]
    pub queued: u32,
    /// The number of open connections.
    #[serde(default)]
    pub connections: u32,
}

/// Reads the health and load endpoints of targets.
#[derive(Debug, Clone)]
pub struct EndpointClient {
    fetcher: Fetcher,
}

impl EndpointClient {
    /// Creates a client.
    pub fn new(timeouts: Timeouts) -> EndpointClient {
        EndpointClient { fetcher: Fetcher::new(timeouts, MAXIMUM_RESPONSE_BYTES) }
    }

    /// Reads a health endpoint.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the endpoint does not respond with 200 or 503.
    pub async fn health(&self, url: &str) -> Result<Health> {
        match self.fetcher.get_status(url).await? {
            StatusCode::OK => Ok(Health::Healthy),
            StatusCode::SERVICE_UNAVAILABLE => Ok(Health::Unhealthy),
            status => Err(Error::Status { url: url.into(), status }),
        }
    }

    /// Reads a load endpoint.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the endpoint does not respond with 200 and a valid [`Load`].
    pub async fn load(&self, url: &str) -> Result<Load> {
        let (status, body) = self.fetcher.get(url, Duration::ZERO).await?;
        let url = url.into();
        match status {
            StatusCode::OK => {
                serde_json::from_slice(&body).map_err(|source| Error::Malformed { url, source })
            }
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unavailable { url }),
            status => Err(Error::Status { url, status }),
        }
    }
}
