use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use crate::{
    gateway::{Result, shared::Shared},
    util::{BindError, Listener},
};

/// The largest number of open connections. The fabric opens only a few.
const MAXIMUM_CONNECTIONS: usize = 64;

/// The time in which a client must send the header of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves the readiness check of the fabric at `path`.
///
/// # Errors
///
/// Returns an error if `address` cannot be bound.
pub(super) async fn serve(
    address: SocketAddr,
    path: &'static str,
    shared: Arc<Shared>,
) -> Result<Listener> {
    let serve = move |stream| serve_connection(stream, path, shared.clone());
    let listener = Listener::bind(address, MAXIMUM_CONNECTIONS, serve).await;
    listener.map_err(|source| BindError { name: "ready", address, source }.into())
}

async fn serve_connection(stream: TcpStream, path: &'static str, shared: Arc<Shared>) {
    let service = service_fn(move |request: Request<Incoming>| {
        let status = status(&request, path, &shared);
        async move { Ok::<_, Infallible>(response(status)) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    // A client may close the connection at any time, so errors are ignored.
    let _ = connection.await;
}

fn status(request: &Request<Incoming>, path: &str, shared: &Shared) -> StatusCode {
    match *request.method() {
        _ if request.uri().path() != path => StatusCode::NOT_FOUND,
        Method::GET | Method::HEAD if shared.is_ready() => StatusCode::OK,
        Method::GET | Method::HEAD => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::METHOD_NOT_ALLOWED,
    }
}

fn response(status: StatusCode) -> Response<Full<Bytes>> {
    let body = if status == StatusCode::OK { "{}" } else { "{\"error\":\"not ready\"}" };
    let mut response = Response::new(Full::new(Bytes::from_static(body.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
