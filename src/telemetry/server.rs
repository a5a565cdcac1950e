use std::{convert::Infallible, net::SocketAddr, time::Duration};

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
    telemetry::{Error, Metrics, Result},
    util::Listener,
};

/// The largest number of open connections. A scraper needs one.
const MAXIMUM_CONNECTIONS: usize = 16;

/// The time limit for receiving the header of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// The longest time that a connection may stay open.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(600);

/// The HTTP server of `/metrics` and `/healthz`, which stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
}

impl Server {
    pub(super) async fn start(metrics: Metrics, address: SocketAddr) -> Result<Server> {
        let serve = move |stream| serve(metrics.clone(), stream);
        let listener = Listener::bind(address, MAXIMUM_CONNECTIONS, serve).await;
        let listener = listener.map_err(|source| Error::Bind { address, source })?;
        Ok(Server { listener })
    }

    /// Returns the address that the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops the server. Its address is free when this returns.
    pub async fn stop(self) {
        self.listener.stop().await;
    }
}

async fn serve(metrics: Metrics, stream: TcpStream) {
    let service = service_fn(move |request| {
        let response = respond(&metrics, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    // A connection that the scraper closes or that times out is not an error.
    let _ = tokio::time::timeout(CONNECTION_TIMEOUT, connection).await;
}

fn respond(metrics: &Metrics, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if !matches!(*request.method(), Method::GET | Method::HEAD) {
        return text(StatusCode::METHOD_NOT_ALLOWED, "method not allowed\n");
    }
    match request.uri().path() {
        "/metrics" => match metrics.text() {
            Ok(values) => {
                let mut response = text(StatusCode::OK, values);
                let kind = HeaderValue::from_static(prometheus::TEXT_FORMAT);
                response.headers_mut().insert(CONTENT_TYPE, kind);
                response
            }
            Err(error) => {
                log::error!("metrics could not be encoded: {error}");
                text(StatusCode::INTERNAL_SERVER_ERROR, "metrics could not be encoded\n")
            }
        },
        "/healthz" if metrics.is_ready() => text(StatusCode::OK, "ready\n"),
        "/healthz" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => text(StatusCode::NOT_FOUND, "not found\n"),
    }
}

fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
