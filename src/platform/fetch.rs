use std::time::Duration;

use http_body_util::{BodyExt as _, Empty, LengthLimitError, Limited};
use hyper::{StatusCode, Uri, body::Bytes};
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
        Fetch {
            client,
            timeouts,
            limit,
        }
    }

    /// Requests `url`, whose server may wait up to `wait` before it responds.
    pub(super) async fn get(&self, url: &str, wait: Duration) -> Result<(StatusCode, Bytes)> {
        let uri: Uri = url.parse().map_err(|_| Error::Url { url: url.into() })?;
        if uri.scheme_str() != Some("http") {
            return Err(Error::Url { url: url.into() });
        }
        let after = wait + self.timeouts.connect + self.timeouts.read;
        match tokio::time::timeout(after, self.call(url, uri)).await {
            Ok(response) => response,
            Err(_) => Err(Error::Timeout {
                url: url.into(),
                after,
            }),
        }
    }

    async fn call(&self, url: &str, uri: Uri) -> Result<(StatusCode, Bytes)> {
        let response = self.client.get(uri).await.map_err(|source| {
            let url = url.into();
            if source.is_connect() {
                Error::Connect { url, source }
            } else {
                let source = source.into();
                Error::Broken { url, source }
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), self.limit).collect();
        let body = body.await.map_err(|source| self.body_error(url, source))?;
        Ok((status, body.to_bytes()))
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
