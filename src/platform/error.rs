use std::time::Duration;

use hyper::StatusCode;

use crate::platform::Index;

/// Why an HTTP call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The URL is not an `http` URL.
    #[error("{url:?} is not an http URL")]
    Url {
        /// The text.
        url: String,
    },
    /// The connection could not be opened.
    #[error("connection for {url} could not be opened")]
    Connect {
        /// The URL.
        url: String,
        /// The cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The connection broke during the call.
    #[error("connection for {url} broke")]
    ConnectionLost {
        /// The URL.
        url: String,
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The response was not complete in time.
    #[error("no complete response from {url} after {} ms", after.as_millis())]
    Timeout {
        /// The URL.
        url: String,
        /// The time that the call was given.
        after: Duration,
    },
    /// The call limit of the platform is exceeded (429).
    #[error("call limit of the platform is exceeded")]
    RateLimited,
    /// The server is unavailable (503).
    #[error("{url} is unavailable")]
    Unavailable {
        /// The URL.
        url: String,
    },
    /// The index is above the platform's own (410).
    #[error("index {index} is above the platform's own")]
    Gone {
        /// The index.
        index: Index,
    },
    /// The response has an unexpected status.
    #[error("unexpected status {status} from {url}")]
    Status {
        /// The URL.
        url: String,
        /// The status.
        status: StatusCode,
    },
    /// The response is too long.
    #[error("response from {url} exceeds {max_body_bytes} bytes")]
    TooLong {
        /// The URL.
        url: String,
        /// The largest length in bytes.
        max_body_bytes: usize,
    },
    /// The response does not follow the protocol.
    #[error("response from {url} does not follow the protocol")]
    Malformed {
        /// The URL.
        url: String,
        /// The cause.
        source: serde_json::Error,
    },
}

/// A result with this module's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
