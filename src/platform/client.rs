use std::time::Duration;

use serde::Deserialize;
use url::Url;

use crate::platform::{Index, Platform, Result, Tickets, Timeouts, Vms, fetcher::Fetcher};

/// The maximum size of a response in bytes: a value of 1 MB and the JSON around it.
const MAXIMUM_RESPONSE_BYTES: usize = 1_000_000 + 64 * 1024;

/// A client of the platform over HTTP.
#[derive(Debug, Clone)]
pub struct Client {
    base: Url,
    fetcher: Fetcher,
}

impl Client {
    /// Creates a client of the platform at the base URL `base`.
    ///
    /// ```
    /// use banyanwharf::platform::{Client, Timeouts};
    ///
    /// let base = "http://192.0.2.2:8500".parse().unwrap();
    /// let client = Client::new(base, Timeouts::default());
    /// ```
    pub fn new(base: Url, timeouts: Timeouts) -> Client {
        Client { base, fetcher: Fetcher::new(timeouts, MAXIMUM_RESPONSE_BYTES) }
    }

    async fn watch<T>(&self, list: &str, index: Index, wait: Duration) -> Result<T>
    where
        T: for<'de> Deserialize<'de>,
    {
        let url = self.url(list, index, wait);
        self.fetcher.get_json(url, index, wait).await
    }

    fn url(&self, list: &str, index: Index, wait: Duration) -> String {
        let mut url = self.base.clone();
        // Fails only for URLs that cannot be a base, which `Fetcher` rejects.
        if let Ok(mut segments) = url.path_segments_mut() {
            segments.pop_if_empty().extend(["v1", list]);
        }
        url.query_pairs_mut()
            .append_pair("index", &index.to_string())
            .append_pair("wait_ms", &wait.as_millis().to_string());
        url.into()
    }
}

impl Platform for Client {
    async fn tickets(&self, index: Index, wait: Duration) -> Result<Tickets> {
        self.watch("tickets", index, wait).await
    }

    async fn vms(&self, index: Index, wait: Duration) -> Result<Vms> {
        self.watch("vms", index, wait).await
    }
}
