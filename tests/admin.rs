//! The admin API must return the answers of the node, and bound the cost of a client.
//!
//! These tests start no process: between fork and exec a new process holds a copy of every socket,
//! which would keep the port of a stopped server in use.

use std::{net::SocketAddr, time::Duration};

use banyanwharf::admin::{ApiClient as _, Error, Flows, Limits, Request, Server, channel, connect};
use serde_json::value::to_raw_value;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

fn local() -> SocketAddr {
    "127.0.0.1:0".parse().expect("the address is valid")
}

fn flows() -> Flows {
    Flows { owned: 12, ..Flows::default() }
}

/// Starts a server whose node answers some requests and drops the others.
async fn start() -> Server {
    start_with(Limits::default()).await
}

async fn start_with(limits: Limits) -> Server {
    let (sender, mut receiver) = channel();
    tokio::spawn(async move {
        while let Some(request) = receiver.recv().await {
            match request {
                Request::Flows(reply) => drop(reply.send(flows())),
                Request::MemberSnapshot(reply) => {
                    drop(reply.send(to_raw_value(&[1, 2]).expect("numbers are JSON")))
                }
                _ => {}
            }
        }
    });
    let server = Server::start_with(local(), sender, limits).await;
    server.expect("the port is free")
}

/// Guards against an API that loses answers, hangs when the node does not answer, or keeps its port
/// after it has stopped.
#[tokio::test]
async fn api_answers() {
    let server = start().await;
    let timeout = Duration::from_secs(20);
    let client = connect(server.address(), timeout).expect("the client is valid");
    assert_eq!(client.flows().await.expect("the API answers"), flows());
    assert_eq!(client.member_snapshot().await.expect("the API answers").get(), "[1,2]");
    let error = client.state_snapshot().await.expect_err("the node drops it");
    assert!(error.to_string().contains("does not answer"), "{error}");

    let (sender, receiver) = channel();
    let busy = Server::start(local(), sender.clone()).await.expect("the port is free");
    let other = Server::start(busy.address(), sender).await;
    assert!(matches!(other, Err(Error::Bind { .. })));
    let client = connect(busy.address(), timeout).expect("the client is valid");
    drop(receiver);
    let error = client.status().await.expect_err("there is no node");
    assert!(error.to_string().contains("busy or stopping"), "{error}");
    let address = busy.address();
    busy.stop().await;
    Server::start(address, channel().0).await.expect("the port is free again");
}

/// Guards against oversized requests, batches and unknown methods that cost the daemon work.
#[tokio::test]
async fn api_limits_requests() {
    use http_body_util::{BodyExt as _, Full};
    use hyper_util::{client::legacy::Client, rt::TokioExecutor};
    let server = start().await;
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<hyper::body::Bytes>>();
    let call = |method: &str, padding: usize| {
        let padding = " ".repeat(padding);
        format!(r#"{{"jsonrpc":"2.0","id":1,"method":"{method}"{padding}}}"#)
    };
    for (body, status, part) in [
        (call("flows", 0), 200, "\"owned\":12"),
        (call("stop", 0), 200, "Method not found"),
        (format!("[{}]", call("flows", 0)), 200, "not supported"),
        (call("flows", 20_000), 413, ""),
        ("{".to_owned(), 200, "error"),
    ] {
        let request = hyper::Request::post(format!("http://{}/", server.address()))
            .header("content-type", "application/json")
            .body(Full::from(body.clone()))
            .expect("the request is valid");
        let response = client.request(request).await.expect("the server responds");
        let found = response.status().as_u16();
        let bytes = response.into_body().collect().await.expect("the body is complete").to_bytes();
        let text = String::from_utf8_lossy(&bytes);
        assert!(found == status && text.contains(part), "{body:.40}: {found} {text}");
    }
}

/// Guards against clients that exhaust the connections with idle ones or with incomplete requests.
#[tokio::test]
async fn api_closes_connections() {
    let limits = Limits {
        max_connections: 4,
        close_after: Duration::from_millis(500),
        abort_after: Duration::from_secs(1),
    };
    let server = start_with(limits).await;
    let call = r#"{"jsonrpc":"2.0","id":1,"method":"flows"}"#;
    let header =
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: 41";
    let mut open = Vec::new();
    for sent in
        ["", &header[..30], &format!("{header}\r\n\r\n{{"), &format!("{header}\r\n\r\n{call}")]
    {
        let stream = TcpStream::connect(server.address()).await;
        let mut stream = stream.expect("the server accepts connections");
        stream.write_all(sent.as_bytes()).await.expect("the request is sent");
        open.push(stream);
    }
    let client = connect(server.address(), Duration::from_secs(60)).expect("the client is valid");
    assert_eq!(client.flows().await.expect("the API answers"), flows());
    let mut response = String::new();
    open[3].read_to_string(&mut response).await.expect("the response is read");
    assert!(response.contains("\"owned\":12"), "{response}");
}
