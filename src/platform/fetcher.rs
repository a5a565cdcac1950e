use std::time::Duration;

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
        let (head, body) = self.get_response(url, wait).await?.into_parts();
        Ok((head.status, body))
    }

    /// Returns the decoded JSON value of `url`. `index` is the index of the call, which the error
    /// [`Error::Gone`] contains.
    pub(crate) async fn get_json<T>(&self, url: String, index: Index, wait: Duration) -> Result<T>
    where
        T: for<'de> Deserialize<'de>,
    {
        let (value, _) = self.get_json_with_header(url, "", index, wait).await?;
        Ok(value)
    }

    /// Returns the decoded JSON value of `url` and the value of the response's header `header`, if
    /// there is one. Bytes of the value that are not text are replaced. `index` is the index of the call, which the error
    /// [`Error::Gone`] contains.
    pub(crate) async fn get_json_with_header<T>(
        &self,
        url: String,
        header: &str,
        index: Index,
        wait: Duration,
    ) -> Result<(T, Option<String>)>
    where
        T: for<'de> Deserialize<'de>,
    {
        let response = self.get_response(&url, wait).await?;
        match response.status() {
            StatusCode::OK => {
                let text = response.headers().get(header);
                let text = text.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned());
                let value = serde_json::from_slice(response.body());
                Ok((value.map_err(|source| Error::Malformed { url, source })?, text))
            }
            StatusCode::GONE => Err(Error::Gone { index }),
            StatusCode::TOO_MANY_REQUESTS => Err(Error::RateLimited),
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unavailable { url }),
            status => Err(Error::Status { url, status }),
        }
    }

    /// Returns the status of `url` and ignores the body.
    pub(super) async fn get_status(&self, url: &str) -> Result<StatusCode> {
        let call = async { Ok(self.send_request(url).await?.status()) };
        self.with_timeout(url, Duration::ZERO, call).await
    }

    async fn get_response(&self, url: &str, wait: Duration) -> Result<Response<Bytes>> {
        let call = async {
            let (head, body) = self.send_request(url).await?.into_parts();
            let body = Limited::new(body, self.max_body_bytes).collect().await;
            let body = body.map_err(|source| self.body_error(url, source))?;
            Ok(Response::from_parts(head, body.to_bytes()))
        };
        self.with_timeout(url, wait, call).await
    }

    async fn with_timeout<T>(
        &self,
        url: &str,
        wait: Duration,
        call: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let after = wait + self.timeouts.connect + self.timeouts.response;
        match tokio::time::timeout(after, call).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout { url: url.into(), after }),
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
