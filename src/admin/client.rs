use std::{net::SocketAddr, time::Duration};

use jsonrpsee::http_client::HttpClient;

use crate::admin::{Error, MAXIMUM_RESPONSE_BYTES, Result};

/// A client of the admin API, whose methods are those of [`ApiClient`](crate::admin::ApiClient).
pub type Client = HttpClient;

/// The maximum time for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Creates a client of the daemon at `address`. Each call may take up to `timeout`.
///
/// # Errors
///
/// Returns [`Error::Client`] if the client cannot be created. No connection is opened yet.
pub fn connect(address: SocketAddr, timeout: Duration) -> Result<Client> {
    HttpClient::builder()
        .connect_timeout(CONNECT_TIMEOUT.min(timeout))
        .request_timeout(timeout)
        .max_response_size(MAXIMUM_RESPONSE_BYTES)
        .build(format!("http://{address}"))
        .map_err(|source| Error::Client { address, source })
}
