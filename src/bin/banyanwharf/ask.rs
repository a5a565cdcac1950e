use std::{net::SocketAddr, time::Duration};

use banyanwharf::admin::{self, Client};
use jsonrpsee::core::client;

use crate::error::{CallError, Error, FailedAttempt, Result};

/// The maximum time for one call.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Calls one daemon.
pub(crate) async fn one<T>(
    address: SocketAddr,
    call: impl AsyncFnOnce(Client) -> Result<T, client::Error>,
) -> Result<T, CallError> {
    let client = admin::connect(address, TIMEOUT)?;
    Ok(call(client).await?)
}

/// Calls the daemons one after another until one answers, and returns its answer.
pub(crate) async fn first<T>(
    addresses: &[SocketAddr],
    call: impl AsyncFn(Client) -> Result<T, client::Error>,
) -> Result<T> {
    let mut attempts = Vec::new();
    for &address in addresses {
        match one(address, &call).await {
            Ok(answer) => return Ok(answer),
            Err(cause) => attempts.push(FailedAttempt { address, cause }),
        }
    }
    Err(Error::Unanswered { attempts })
}
