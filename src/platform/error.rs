use std::time::Duration;

use hyper::StatusCode;

use crate::platform::Index;

/// The reason why an HTTP call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The URL is not an `http` URL.
    #[error("{url:?} is not an http URL")]
    Url {
        /// The text that is not a URL.
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
    /// The connection was lost during the call.
    #[error("connection for {url} was lost before the response was complete")]
    ConnectionLost {
        /// The URL.
        url: String,
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The response, or its next part, did not arrive within a timeout.
    #[error("no complete response from {url}: a timeout of {} ms has expired", after.as_millis())]
    Timeout {
        /// The URL.
        url: String,
        /// The timeout that has expired.
        after: Duration,
    },
    /// The platform rejected the call, since its limit on calls per second is exceeded (429).
    #[error("platform rejected the call: its limit on calls per second is exceeded")]
    RateLimited,
    /// The server reports that it is unavailable (503).
    #[error("{url} responded that it is unavailable (503)")]
    Unavailable {
        /// The URL.
        url: String,
    },
    /// The index of the call is greater than the platform's latest index (410).
    #[error("index {index} is greater than the platform's latest index")]
    Gone {
        /// The index of the call.
        index: Index,
    },
    /// The response has a status that the protocol does not define.
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
        /// The maximum length of the body in bytes.
        max_body_bytes: usize,
    },
    /// A page of a list has no key after those of the page before it, so that the list has no end.
    #[error("page from {url} has no key after the previous page")]
    NoProgress {
        /// The URL.
        url: String,
    },
    /// The response shows the store in another era than the revision that it should continue, so
    /// that the two cannot be combined.
    #[error("response from {url} is of era {found} of the store instead of {expected}")]
    EraChanged {
        /// The URL.
        url: String,
        /// The era of the response.
        found: u64,
        /// The era of the revision that the response should continue.
        expected: u64,
    },
    /// A header of the response has an invalid value.
    #[error("header {name} of the response from {url} is not an integer")]
    Header {
        /// The URL.
        url: String,
        /// The name of the header.
        name: &'static str,
    },
    /// The response could not be decoded.
    #[error("response from {url} could not be decoded")]
    Malformed {
        /// The URL.
        url: String,
        /// The cause.
        source: serde_json::Error,
    },
}

/// A result with this module's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
