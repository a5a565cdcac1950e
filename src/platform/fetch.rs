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

use crate::platform::{Error, Result, Timeouts};

/// Makes GET requests with limits on time and size.
#[derive(Debug, Clone)]
pub(super) struct Fetch {
    client: Client<HttpConnector, Empty<Bytes>>,
    timeouts: Timeouts,
    limit: usize,
}

impl Fetch {
    /// Creates a fetcher of responses of up to `limit` bytes.
    pub(super) fn new(timeouts: Timeouts, limit: usize) -> Fetch {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeouts.connect));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(1)
            .build(connector);
        Fetch { client, timeouts, limit }
    }

    /// Returns the response of `url`, whose server may wait up to `wait` before it responds.
    pub(super) async fn get(&self, url: &str, wait: Duration) -> Result<(StatusCode, Bytes)> {
        let call = async {
            let response = self.respond(url).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), self.limit).collect();
            let body = body.await.map_err(|source| self.body_error(url, source))?;
            Ok((status, body.to_bytes()))
        };
        self.within(url, wait, call).await
    }

    /// Returns the status of `url`, whatever its body is.
    pub(super) async fn status(&self, url: &str) -> Result<StatusCode> {
        let call = async { Ok(self.respond(url).await?.status()) };
        self.within(url, Duration::ZERO, call).await
    }

    async fn within<T>(
        &self,
        url: &str,
        wait: Duration,
        call: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let after = wait + self.timeouts.connect + self.timeouts.read;
        match tokio::time::timeout(after, call).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout { url: url.into(), after }),
        }
    }

    async fn respond(&self, url: &str) -> Result<Response<Incoming>> {
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
                Error::Broken { url, source }
            }
        })
    }

    fn body_error(&self, url: &str, source: Box<dyn std::error::Error + Send + Sync>) -> Error {
        let url = url.into();
        if source.is::<LengthLimitError>() {
            let limit = self.limit;
            return Error::Long { url, limit };
        }
        Error::Broken { url, source }
    }
}
