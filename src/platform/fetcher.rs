use std::time::{Duration, Instant};

use http_body_util::{BodyExt as _, Empty, LengthLimitError, Limited};
use hyper::{
    Response, StatusCode, Uri,
    body::{Bytes, Incoming},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use serde::Deserialize;

use crate::platform::{Error, Index, Result, Timeouts};

/// The time after which an idle connection is probed by TCP keepalive, and between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// The time after which a connection with unacknowledged bytes is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an idle connection may be used again. A connection can stop carrying data without a
/// reset, and a call that uses it then fails only after its timeout.
const MAXIMUM_IDLE_TIME: Duration = Duration::from_secs(1);

/// A decoded response.
#[derive(Debug)]
pub(crate) struct Fetched<T> {
    pub(crate) value: T,
    /// The value of the requested header, if the response has it. Bytes that are not text are
    /// replaced.
    pub(crate) header: Option<String>,
    /// When the first part of the response arrived. The rest of a large one may arrive much later.
    pub(crate) responded_at: Instant,
}

/// Sends GET requests with limits on the time and on the size of responses.
#[derive(Debug, Clone)]
pub(crate) struct Fetcher {
    client: Client<HttpConnector, Empty<Bytes>>,
    timeouts: Timeouts,
    max_body_bytes: usize,
}

impl Fetcher {
    /// Creates a fetcher that accepts response bodies of up to `max_body_bytes` bytes.
    pub(crate) fn new(timeouts: Timeouts, max_body_bytes: usize) -> Fetcher {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeouts.connect));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(MAXIMUM_IDLE_TIME)
            .pool_max_idle_per_host(1)
            .build(connector);
        Fetcher { client, timeouts, max_body_bytes }
    }

    /// Returns the status and body of `url`, whose server may wait up to `wait` before it responds.
    pub(crate) async fn get(&self, url: &str, wait: Duration) -> Result<(StatusCode, Bytes)> {
        let (response, _) = self.get_response(url, wait).await?;
        Ok((response.status(), response.into_body()))
    }

    /// Returns the decoded JSON value of `url`. `index` is the index of the call, which the error
    /// [`Error::Gone`] contains.
    pub(crate) async fn get_json<T>(&self, url: String, index: Index, wait: Duration) -> Result<T>
    where
        T: for<'de> Deserialize<'de>,
    {
        Ok(self.get_json_with_header(url, "", index, wait).await?.value)
    }

    /// Returns the decoded JSON value of `url` with the response's header `header`. `index` is the
    /// index of the call, which the error [`Error::Gone`] contains.
    pub(crate) async fn get_json_with_header<T>(
        &self,
        url: String,
        header: &str,
        index: Index,
        wait: Duration,
    ) -> Result<Fetched<T>>
    where
        T: for<'de> Deserialize<'de>,
    {
        let (response, responded_at) = self.get_response(&url, wait).await?;
        match response.status() {
            StatusCode::OK => {
                let text = response.headers().get(header);
                let text = text.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned());
                let value = serde_json::from_slice(response.body());
                let value = value.map_err(|source| Error::Malformed { url, source })?;
                Ok(Fetched { value, header: text, responded_at })
            }
            StatusCode::GONE => Err(Error::Gone { index }),
            StatusCode::TOO_MANY_REQUESTS => Err(Error::RateLimited),
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unavailable { url }),
            status => Err(Error::Status { url, status }),
        }
    }

    /// Returns the status of `url` and ignores the body.
    pub(super) async fn get_status(&self, url: &str) -> Result<StatusCode> {
        let Timeouts { connect, response, .. } = self.timeouts;
        let head = with_timeout(url, connect + response, self.send_request(url)).await?;
        Ok(head.status())
    }

    /// Returns the response, and when its first part arrived.
    async fn get_response(&self, url: &str, wait: Duration) -> Result<(Response<Bytes>, Instant)> {
        let Timeouts { connect, response, transfer } = self.timeouts;
        let first_part = self.send_request(url);
        let head = with_timeout(url, wait + connect + response, first_part).await?;
        let responded_at = Instant::now();
        let (head, body) = head.into_parts();
        let body = with_timeout(url, transfer, self.collect(url, body)).await?;
        Ok((Response::from_parts(head, body), responded_at))
    }

    /// Returns the whole of a body. A large one may take long, so the timeout applies to each part.
    async fn collect(&self, url: &str, body: Incoming) -> Result<Bytes> {
        let mut body = Limited::new(body, self.max_body_bytes);
        let mut bytes = Vec::new();
        loop {
            let next = async { Ok(body.frame().await) };
            let Some(frame) = with_timeout(url, self.timeouts.response, next).await? else {
                return Ok(bytes.into());
            };
            let frame = frame.map_err(|source| self.body_error(url, source))?;
            if let Some(data) = frame.data_ref() {
                bytes.extend_from_slice(data);
            }
        }
    }

    async fn send_request(&self, url: &str) -> Result<Response<Incoming>> {
        let uri: Uri = url.parse().map_err(|_| Error::Url { url: url.into() })?;
        if uri.scheme_str() != Some("http") {
            return Err(Error::Url { url: url.into() });
        }
        self.client.get(uri).await.map_err(|source| {
            let url = url.into();
            if source.is_connect() {
                Error::Connect { url, source }
            } else {
                let source = source.into();
                Error::ConnectionLost { url, source }
            }
        })
    }

    fn body_error(&self, url: &str, source: Box<dyn std::error::Error + Send + Sync>) -> Error {
        let url = url.into();
        if source.is::<LengthLimitError>() {
            let max_body_bytes = self.max_body_bytes;
            return Error::TooLong { url, max_body_bytes };
        }
        Error::ConnectionLost { url, source }
    }
}

async fn with_timeout<T>(
    url: &str,
    after: Duration,
    call: impl Future<Output = Result<T>>,
) -> Result<T> {
    match tokio::time::timeout(after, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::Timeout { url: url.into(), after }),
    }
}
