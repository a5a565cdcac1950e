//! The platform client must return a typed error whatever the server does, and must not call more
//! often than allowed.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use banyanwharf::platform::{
    Backoff, Client, EndpointClient, Error, Health, Platform, Schedule, Timeouts, VmState,
};
use http_body_util::{Either, Full};
use hyper::{
    Request, Response,
    body::{Body, Bytes, Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket};

/// A response body in parts of one space, one every 40 ms, followed by a list of VMs.
struct Slow {
    /// The number of parts before the list.
    parts: u32,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl Slow {
    const PERIOD: Duration = Duration::from_millis(40);

    fn new(parts: u32) -> Slow {
        Slow { parts, sleep: Box::pin(tokio::time::sleep(Slow::PERIOD)) }
    }
}

impl Body for Slow {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.sleep.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        let next = tokio::time::Instant::now() + Slow::PERIOD;
        self.sleep.as_mut().reset(next);
        let Some(parts) = self.parts.checked_sub(1) else {
            return Poll::Ready(None);
        };
        self.parts = parts;
        let text = if parts == 0 { VMS } else { " " };
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(text.as_bytes())))))
    }
}

/// A response body that never ends.
struct Stalled;

impl Body for Stalled {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Pending
    }
}

const TICKETS: &str = r#"{"index": 12, "tickets": [{"number": 7, "x": [1 , 2]}, 9], "more": true}"#;
const VMS: &str = r#"{"index": 3, "vms": [{"name": "entry-1", "region": "r", "zone": "z",
    "peer": "192.0.2.1:7001", "admin": "[2001:db8::1]:7002", "state": "leaving", "new": 1},
    {"name": "entry-2"}, 7]}"#;
const LOAD: &str = r#"{"start": "s1", "slots": 4, "busy": 2, "queued": 0, "connections": 310}"#;

async fn respond(
    request: Request<Incoming>,
) -> Result<Response<Either<Full<Bytes>, Either<Stalled, Slow>>>, Infallible> {
    let path = request.uri().path_and_query().map_or("", |p| p.as_str());
    let (status, text) = match path {
        "/v1/tickets?index=5&wait_ms=9000" => {
            // A long poll that takes longer than the response timeout, but not longer than its wait
            // time.
            tokio::time::sleep(Duration::from_millis(300)).await;
            (200, TICKETS.to_owned())
        }
        "/p/v1/vms?index=0&wait_ms=0" => (200, VMS.to_owned()),
        "/v1/vms?index=6&wait_ms=0" => (429, String::new()),
        "/v1/vms?index=7&wait_ms=0" => (410, String::new()),
        "/v1/vms?index=8&wait_ms=0" => (503, String::new()),
        "/v1/vms?index=9&wait_ms=0" => (302, String::new()),
        "/v1/vms?index=10&wait_ms=0" => (200, "{\"index\": -1".to_owned()),
        "/v1/vms?index=11&wait_ms=0" => (200, " ".repeat(1_100_000)),
        "/v1/vms?index=12&wait_ms=0" => {
            return Ok(Response::new(Either::Right(Either::Left(Stalled))));
        }
        "/v1/vms?index=14&wait_ms=0" => {
            return Ok(Response::new(Either::Right(Either::Right(Slow::new(50)))));
        }
        "/v1/vms?index=15&wait_ms=0" => {
            return Ok(Response::new(Either::Right(Either::Right(Slow::new(1_000)))));
        }
        "/v1/vms?index=13&wait_ms=0" => std::future::pending().await,
        "/healthy" => (200, "well".to_owned()),
        "/sick" => (503, String::new()),
        "/load" => (200, LOAD.to_owned()),
        "/big" => (200, format!("{{\"start\": \"{}\"}}", "x".repeat(20_000))),
        _ => (404, String::new()),
    };
    let mut response = Response::new(Either::Left(Full::from(text)));
    *response.status_mut() = status.try_into().expect("the status is valid");
    Ok(response)
}

/// Starts the server and returns its URL.
async fn start_server() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the port is free");
    let address = listener.local_addr().expect("the socket is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(respond);
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    format!("http://{address}")
}

/// Returns timeouts for calls that are expected to time out.
fn short_timeouts() -> Timeouts {
    let short = Duration::from_millis(100);
    Timeouts { connect: short, response: short, transfer: Duration::from_millis(600) }
}

fn client(url: &str, timeouts: Timeouts) -> Client {
    Client::new(url.parse().expect("the URL is valid"), timeouts)
}

/// Guards against a response timeout that ends a long poll early, and against a client that changes
/// the text of a ticket.
#[tokio::test]
async fn lists_are_read() {
    let url = start_server().await;
    let wait = Duration::from_secs(9);
    let tickets = client(&url, short_timeouts()).tickets(5, wait).await;
    let tickets = tickets.expect("the list is read");
    assert_eq!((tickets.index, tickets.more), (12, true));
    assert_eq!(&*tickets.tickets[0], r#"{"number": 7, "x": [1 , 2]}"#);
    assert_eq!(&*tickets.tickets[1], "9");
    for base in ["/p", "/p/"] {
        let vms = client(&format!("{url}{base}"), Timeouts::default()).vms(0, Duration::ZERO).await;
        let vms = vms.expect("the list is read");
        assert_eq!((vms.index, vms.vms.len(), vms.malformed), (3, 1, 2));
        assert_eq!(vms.vms[0].state, VmState::Leaving);
        assert_eq!(vms.vms[0].admin.port(), 7002);
    }
}

/// Guards against a client that waits forever for a faulty server or reports the wrong kind of
/// error.
#[tokio::test]
async fn failures_have_types() {
    let url = start_server().await;
    let default_client = client(&url, Timeouts::default());
    let short_client = client(&url, short_timeouts());
    let error = async |index| {
        let client = if index < 12 { &default_client } else { &short_client };
        let result = client.vms(index, Duration::ZERO).await;
        result.expect_err("the server misbehaves")
    };
    assert!(matches!(error(6).await, Error::RateLimited));
    assert!(matches!(error(7).await, Error::Gone { index: 7 }));
    assert!(matches!(error(8).await, Error::Unavailable { .. }));
    assert!(matches!(error(9).await, Error::Status { status, .. } if status == 302));
    assert!(matches!(error(10).await, Error::Malformed { .. }));
    assert!(matches!(error(11).await, Error::TooLong { .. }));
    assert!(matches!(error(12).await, Error::Timeout { .. }));
    assert!(matches!(error(13).await, Error::Timeout { .. }));
    assert!(matches!(error(15).await, Error::Timeout { .. }));
    // Bound, so that no other socket takes the port, but not listening.
    let closed = TcpSocket::new_v4().expect("the socket is created");
    let local = "127.0.0.1:0".parse().expect("the address is valid");
    closed.bind(local).expect("the port is free");
    let address = closed.local_addr().expect("the socket is bound");
    let client = client(&format!("http://{address}"), Timeouts::default());
    let error = client.vms(0, Duration::ZERO).await.expect_err("no server");
    assert!(matches!(error, Error::Connect { .. }), "{error}");
    assert!(error.to_string().contains(&address.to_string()));
}

/// Guards against a call that is given up although its response arrives, only slowly because it is
/// large or the link is slow.
#[tokio::test]
async fn slow_response_is_read_while_it_makes_progress() {
    let url = start_server().await;
    // 50 parts of 40 ms take longer than the first part and any further one may take.
    let timeouts = Timeouts {
        connect: Duration::from_millis(100),
        response: Duration::from_millis(900),
        transfer: Duration::from_secs(60),
    };
    let vms = client(&url, timeouts).vms(14, Duration::ZERO).await;
    assert_eq!(vms.expect("the list is read").vms.len(), 1);
}

/// Guards against reporting a failure of the endpoint as a failure of the target.
#[tokio::test]
async fn endpoints_are_read() {
    let url = start_server().await;
    let endpoint = EndpointClient::new(Timeouts::default());
    let health = async |path| endpoint.health(&format!("{url}{path}")).await;
    assert_eq!(health("/healthy").await.expect("the health is read"), Health::Healthy);
    assert_eq!(health("/sick").await.expect("the health is read"), Health::Unhealthy);
    assert_eq!(health("/big").await.expect("the health is read"), Health::Healthy);
    assert!(matches!(health("/none").await, Err(Error::Status { .. })));
    let load = async |path| endpoint.load(&format!("{url}{path}")).await;
    let read = load("/load").await.expect("the load is read");
    assert_eq!((read.start.as_deref(), read.busy), (Some("s1"), 2));
    assert!(matches!(load("/healthy").await, Err(Error::Malformed { .. })));
    assert!(matches!(load("/sick").await, Err(Error::Unavailable { .. })));
    assert!(matches!(load("/big").await, Err(Error::TooLong { .. })));
    for bad in ["", "ftp://127.0.0.1/", "not a url", "/health"] {
        assert!(matches!(endpoint.load(bad).await, Err(Error::Url { .. })), "{bad}");
    }
}

/// Guards against calls more frequent than the minimum interval, retry delays out of bounds, and
/// delays that stay long after the platform has recovered.
#[test]
fn schedule_keeps_its_bounds() {
    bolero::check!().with_type::<(u64, Vec<(u8, u16)>)>().for_each(|(seed, steps)| {
        let backoff = Backoff::default();
        let start = Instant::now();
        let mut now = start;
        let mut schedule = Schedule::new(backoff, *seed, now);
        let mut last = None;
        let mut failures = 0u32;
        for (kind, millis) in steps {
            now = schedule.next_start().max(now);
            assert!(last.is_none_or(|last| now >= last + backoff.minimum_interval));
            last = Some(now);
            schedule.record_start(now);
            now += Duration::from_millis(u64::from(*millis));
            let url = String::new();
            let (first, error) = match kind % 4 {
                0 => (Duration::ZERO, Error::Gone { index: 1 }),
                1 => (backoff.initial_limited_delay, Error::RateLimited),
                2 => (backoff.initial_delay, Error::Unavailable { url }),
                _ => {
                    schedule.record_success();
                    failures = 0;
                    assert!(schedule.may_start(now.max(last.unwrap() + backoff.minimum_interval)));
                    continue;
                }
            };
            schedule.record_failure(now, &error);
            let full = first.saturating_mul(1 << failures.min(16)).min(backoff.maximum_delay);
            failures = if first.is_zero() { 0 } else { failures + 1 };
            assert_eq!(schedule.failures(), failures);
            assert!(schedule.next_start().max(now) >= now + full / 2);
            assert!(schedule.next_start() <= now + full.max(backoff.minimum_interval));
        }
    });
    let delays: Vec<_> = (0..8)
        .map(|seed| {
            let now = Instant::now();
            let mut schedule = Schedule::new(Backoff::default(), seed, now);
            schedule.record_start(now);
            schedule.record_failure(now, &Error::RateLimited);
            schedule.next_start() - now
        })
        .collect();
    assert!(delays.iter().any(|delay| *delay != delays[0]), "{delays:?}");
}
