use std::{sync::Arc, time::Duration};

use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::platform::{Error, Result, Timeouts, fetcher::Fetcher};

/// The largest response of a target in bytes.
const MAXIMUM_RESPONSE_BYTES: usize = 16 * 1024;

/// What a target's health endpoint says. It may lag or mislead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// The target is well (200).
    Healthy,
    /// The target is not well (503).
    Unhealthy,
}

/// What a target's load endpoint says. It may lag or mislead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Load {
    /// Changes whenever the target starts.
    #[serde(default)]
    pub start: Option<Arc<str>>,
    /// The number of requests that the target runs at the same time.
    pub slots: u32,
    /// The number of requests that run.
    pub busy: u32,
    /// The number of requests that wait.
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
    /// Creates a reader.
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
    /// Returns an [`Error`] if the endpoint does not respond with 200 and a load.
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
