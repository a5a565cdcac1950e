use std::{future::Future, io, net::SocketAddr, sync::Arc};

use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::{Bytes, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

use crate::util::AbortOnDrop;

/// The reaction of a handler to a request.
#[derive(Debug, Clone)]
pub(crate) enum Reply {
    /// Sends a response with this status and JSON body.
    Json(u16, serde_json::Value),
    /// Sends a response with this status, JSON body, and a header with this name and value.
    JsonWithHeader(u16, serde_json::Value, &'static str, u64),
    /// Closes the connection without a response.
    Close,
}

/// A running HTTP server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    _task: AbortOnDrop,
}

impl Server {
    /// Starts a server on `address` that calls `handler` with the path and query of each request.
    pub(crate) fn start<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(String) -> F + Send + Sync + 'static,
        F: Future<Output = Reply> + Send + 'static,
    {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, Arc::new(handler)));
        Ok(Self { address, _task: AbortOnDrop(task.abort_handle()) })
    }
}

async fn accept<H, F>(listener: TcpListener, handler: Arc<H>)
where
    H: Fn(String) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let handler = handler.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let reply = handler(request.uri().to_string());
            async move { respond(reply.await) }
        });
        connections.spawn(async move {
            // The client detects a failed connection by itself.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn respond(reply: Reply) -> io::Result<Response<Full<Bytes>>> {
    let (status, value, header) = match reply {
        Reply::Json(status, value) => (status, value, None),
        Reply::JsonWithHeader(status, value, name, content) => {
            (status, value, Some((name, content)))
        }
        Reply::Close => return Err(io::ErrorKind::ConnectionAborted.into()),
    };
    let mut response = Response::new(Full::from(value.to_string()));
    if let Some((name, content)) = header {
        response.headers_mut().insert(name, content.into());
    }
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Ok(response)
}

/// Returns the value of a numeric query parameter.
pub(crate) fn parameter(uri: &str, name: &str) -> Option<u64> {
    let (_, query) = uri.split_once('?')?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

/// Sends a GET request and returns the status and the JSON body of the response.
///
/// # Errors
///
/// Returns the error of the connection, or `InvalidData` if the URL or the response is invalid.
pub async fn get(url: &str) -> io::Result<(u16, serde_json::Value)> {
    let (status, body) = get_bytes(url).await?;
    Ok((status, serde_json::from_slice(&body)?))
}

/// Sends a GET request and returns the status and the body of the response.
///
/// # Errors
///
/// Returns the error of the connection, or `InvalidData` if the URL or the response is invalid.
pub async fn get_bytes(url: &str) -> io::Result<(u16, Vec<u8>)> {
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let rest = url.strip_prefix("http://").ok_or_else(invalid)?;
    let (address, path) = rest.split_once('/').ok_or_else(invalid)?;
    let mut stream = TcpStream::connect(address).await?;
    let request = format!("GET /{path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await?;
    let mut headers = [httparse::EMPTY_HEADER; 16];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(&bytes) {
        Ok(httparse::Status::Complete(start)) => {
            Ok((response.code.ok_or_else(invalid)?, bytes[start..].to_vec()))
        }
        _ => Err(invalid()),
    }
}
