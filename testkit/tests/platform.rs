//! Tests of the platform's test double against the protocol in `docs/platform.md`.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use banyanwharf_testkit::{Mode, Platform, Vm, get};
use serde_json::{Value, json};

async fn read(platform: &Platform, path: &str) -> Option<(u16, Value)> {
    get(&(platform.url() + path)).await.ok()
}

/// Guards against a test double that differs from the documented protocol in paging, watches or
/// the count of calls.
#[tokio::test]
async fn paging_watches_and_call_counts() {
    let platform = Platform::start().unwrap();
    let empty = read(&platform, "/v1/tickets?index=0&wait_ms=0").await;
    assert_eq!(empty, Some((200, json!({"index": 0, "tickets": [], "more": false}))));
    platform.publish(&json!({"number": 7}));
    assert_eq!(platform.publish(&json!({"number": 3})), 2);
    let all = read(&platform, "/v1/tickets?index=0&wait_ms=9000").await.unwrap().1;
    assert_eq!(all["tickets"], json!([{"number": 7}, {"number": 3}]));
    assert_eq!(read(&platform, "/v1/tickets?index=3").await.unwrap().0, 410);

    let (watched, ()) = tokio::join!(read(&platform, "/v1/tickets?index=2&wait_ms=9000"), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        platform.publish(&json!({"number": 9, "note": "x".repeat(600_000)}));
    });
    assert_eq!(watched.unwrap().1["index"], 3);
    platform.publish(&json!({"number": 10, "note": "x".repeat(600_000)}));
    let page = read(&platform, "/v1/tickets?index=2").await.unwrap().1;
    assert_eq!((&page["index"], &page["more"]), (&json!(3), &json!(true)));
    assert_eq!(platform.calls(), 5);

    let vm = Vm {
        name: "a".into(),
        region: "uy".into(),
        zone: "mvd-cerro".into(),
        peer: "127.0.0.1:1".parse().unwrap(),
        admin: "127.0.0.1:2".parse().unwrap(),
        state: "live".into(),
    };
    platform.set_vms(vec![vm.clone()]);
    let vms = read(&platform, "/v1/vms?index=0&wait_ms=9000").await.unwrap().1;
    assert_eq!(vms, json!({"index": 1, "vms": [vm]}));
}

/// Guards against failure modes, delays and call limits that have no effect.
#[tokio::test]
async fn modes_delay_and_call_limit() {
    let platform = Platform::start().unwrap();
    platform.publish(&json!({"number": 1}));
    platform.set_mode(Mode::Stale);
    platform.publish(&json!({"number": 2}));
    let stale = read(&platform, "/v1/tickets?index=0").await.unwrap().1;
    assert_eq!(stale["tickets"], json!([{"number": 1}]));
    let (watched, ()) = tokio::join!(read(&platform, "/v1/tickets?index=1&wait_ms=9000"), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        platform.set_mode(Mode::Unavailable);
    });
    assert_eq!(watched.unwrap().0, 503);
    platform.set_mode(Mode::Unreachable);
    assert_eq!(read(&platform, "/v1/tickets?index=0").await, None);
    platform.set_mode(Mode::Normal);
    platform.set_delay(Duration::from_millis(300));
    let (delayed, _) = tokio::join!(read(&platform, "/v1/tickets?index=1"), async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        platform.publish(&json!({"number": 3}))
    });
    let tickets = &delayed.unwrap().1["tickets"];
    assert_eq!(
        *tickets,
        json!([{"number": 2}, {"number": 3}]),
        "the response came before the delay"
    );
    platform.set_delay(Duration::ZERO);
    platform.set_limit(Some(3));
    let mut statuses = Vec::new();
    for _ in 0..10 {
        statuses.push(read(&platform, "/v1/tickets?index=0").await.unwrap().0);
    }
    assert!(statuses.contains(&429), "{statuses:?}");
    assert!(platform.peak_calls_per_second() >= 5);
}
