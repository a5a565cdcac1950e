//! Configurations as operators publish them.

use serde_json::{Value, json};

/// Returns a configuration with a route from each port to a service. Cold targets support
/// `cold_rate` new flows a second; 0 means that no rate is configured.
pub(crate) fn config(version: u64, services: &[(u16, &str)], cold_rate: f64) -> Value {
    let route = |(port, service): &(u16, &str)| {
        json!({
            "name": format!("r-{port}"), "host": "198.18.0.1", "prefix": format!("/{port}/"),
            "routeType": "safe", "timeoutMs": 2000, "targetLatencyMs": 100, "priority": 1,
            "service": service, "attempts": 2,
        })
    };
    let service = |name: &str| {
        json!({
            "name": name, "healthPath": "/health", "maxConns": 100, "protocol": "h1",
            "tls": false, "warmupS": 2.0, "warmupPerS": cold_rate,
        })
    };
    json!({
        "version": version, "routes": services.iter().map(route).collect::<Vec<_>>(),
        "services": [service("web"), service("files")],
        "limits": { "idleTimeoutMs": 15_000 },
    })
}
