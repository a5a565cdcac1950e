use std::{collections::HashSet, net::SocketAddr, ops::RangeInclusive, sync::Arc, time::Duration};

use url::Url;

use crate::{
    settings::{Gateway, Key, PathSegment, Settings, ValidationError},
    wire::KeyNumber,
};

use PathSegment::{Field, Index};

/// The maximum length of a name in bytes. Names are part of the failure detector's datagrams.
const MAXIMUM_NAME_BYTES: usize = 64;

/// The range of the time for which a stopping daemon still forwards packets, in seconds.
const DRAIN_SECONDS: RangeInclusive<f64> = 0.0..=3_600.0;

type Check = Result<(), ValidationError>;

/// Checks all settings of tunnel mode and returns the first error.
pub(super) fn settings(settings: &Settings) -> Check {
    check_name("name", &settings.name)?;
    check_name("region", &settings.region)?;
    check_name("zone", &settings.zone)?;
    check_zones(&settings.zones, &settings.zone)?;
    check_addresses(
        &[("data", settings.data), ("fabric", settings.fabric), ("peer", settings.peer)],
        &[("admin", settings.admin), ("metrics", settings.metrics)],
    )?;
    check_platform(&settings.platform)?;
    check_keys(&settings.keys, settings.sign_with)?;
    check_ranges(settings)
}

/// Checks all settings of gateway mode and returns the first error.
pub(super) fn gateway(settings: &Gateway) -> Check {
    check_name("name", &settings.name)?;
    check_name("region", &settings.region)?;
    check_name("zone", &settings.zone)?;
    check_zones(&settings.zones, &settings.zone)?;
    let mut udp = vec![("data", settings.data.into())];
    udp.extend(settings.peer.map(|peer| ("peer", peer)));
    let mut tcp = vec![("ready", settings.ready)];
    tcp.extend(settings.admin.map(|admin| ("admin", admin)));
    tcp.extend(settings.metrics.map(|metrics| ("metrics", metrics)));
    check_addresses(&udp, &tcp)?;
    check_platform(&settings.platform)?;
    if settings.peer.is_some() || !settings.keys.is_empty() {
        check_keys(&settings.keys, None)?;
    }
    check_seconds("drain_seconds", settings.drain_time, DRAIN_SECONDS)?;
    check_seconds("flow_ttl_seconds", settings.flow_ttl, 1.0..=86_400.0)?;
    check_range(&[Field("cold_factor")], settings.cold_factor, 0.0..=100.0, "times the rate")?;
    check_range(&[Field("cold_slack")], settings.cold_slack, 0.0..=1_000.0, "flows a second")
}

fn error(path: &[PathSegment], message: String, help: &str) -> ValidationError {
    ValidationError { path: path.to_vec(), message, help: help.to_owned() }
}

fn check_name(field: &'static str, text: &str) -> Check {
    if is_name(text) {
        return Ok(());
    }
    Err(invalid_name(&[Field(field)], text))
}

fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
    !text.is_empty() && text.len() <= MAXIMUM_NAME_BYTES && text.bytes().all(is_allowed)
}

fn invalid_name(path: &[PathSegment], text: &str) -> ValidationError {
    error(
        path,
        format!("{text:?} is not a name"),
        "use 1 to 64 ASCII letters, digits, '-', '.' and '_'",
    )
}

fn check_zones(zones: &[Arc<str>], own_zone: &Arc<str>) -> Check {
    let mut names = HashSet::new();
    for (index, zone) in zones.iter().enumerate() {
        let path = [Field("zones"), Index(index)];
        if !is_name(zone) {
            return Err(invalid_name(&path, zone));
        }
        if !names.insert(zone) {
            let message = format!("zone {zone:?} is listed twice");
            return Err(error(&path, message, "list each zone once"));
        }
    }
    if !names.is_empty() && !names.contains(own_zone) {
        return Err(error(
            &[Field("zone")],
            format!("zone {own_zone:?} is not in the list of zones"),
            "correct the zone, or add it to `zones`",
        ));
    }
    Ok(())
}

fn check_addresses(
    udp: &[(&'static str, SocketAddr)],
    tcp: &[(&'static str, SocketAddr)],
) -> Check {
    for (field, address) in udp.iter().chain(tcp) {
        check_address(field, *address)?;
    }
    check_distinct(udp)?;
    check_distinct(tcp)
}

fn check_address(field: &'static str, address: SocketAddr) -> Check {
    let refuse = |message: String, help| Err(error(&[Field(field)], message, help));
    if address.ip().is_unspecified() {
        return refuse(
            format!("address {address} is unspecified"),
            "name one address of the VM, since other VMs send to it",
        );
    }
    if address.ip().is_multicast() {
        return refuse(
            format!("address {address} is a multicast address"),
            "name a unicast address",
        );
    }
    if address.port() == 0 {
        return refuse(format!("address {address} has port 0"), "name a port from 1 to 65535");
    }
    Ok(())
}

fn check_distinct(addresses: &[(&'static str, SocketAddr)]) -> Check {
    for (index, (field, address)) in addresses.iter().enumerate() {
        let earlier = addresses[..index].iter().find(|(_, a)| a == address);
        if let Some((other, _)) = earlier {
            return Err(error(
                &[Field(field)],
                format!("address {address} is already used by `{other}`"),
                "give each purpose its own address or port",
            ));
        }
    }
    Ok(())
}

fn check_platform(url: &Url) -> Check {
    let refuse = |message: String| {
        let help = "write a URL such as \"http://192.0.2.1:8500\"";
        Err(error(&[Field("platform")], message, help))
    };
    if url.scheme() != "http" {
        return refuse(format!("scheme {:?} is not \"http\"", url.scheme()));
    }
    if !url.username().is_empty() || url.password().is_some() {
        return refuse("URL has a user name or password".to_owned());
    }
    if url.query().is_some() || url.fragment().is_some() {
        return refuse("URL has a query or fragment".to_owned());
    }
    Ok(())
}

fn check_keys(keys: &[Key], sign_with: Option<KeyNumber>) -> Check {
    if keys.is_empty() {
        let message = "list of keys is empty".to_owned();
        return Err(error(&[Field("keys")], message, "add at least one key"));
    }
    let mut numbers = HashSet::new();
    for (index, key) in keys.iter().enumerate() {
        if !numbers.insert(key.number) {
            return Err(error(
                &[Field("keys"), Index(index), Field("number")],
                format!("key number {} is used twice", key.number),
                "give each key its own number; by default the highest one signs",
            ));
        }
    }
    if let Some(number) = sign_with
        && !numbers.contains(&number)
    {
        let message = format!("key {number} is not in the list of keys");
        return Err(error(&[Field("sign_with")], message, "name one of the keys"));
    }
    Ok(())
}

fn check_ranges(settings: &Settings) -> Check {
    let limits = &settings.limits;
    let control = &settings.control;
    let integers: [(&[PathSegment], u32, RangeInclusive<u32>, &str); 7] = [
        (&[Field("limits"), Field("owned_flows")], limits.owned_flows, 1_000..=20_000_000, "flows"),
        (
            &[Field("limits"), Field("cached_flows")],
            limits.cached_flows,
            1_000..=20_000_000,
            "flows",
        ),
        (
            &[Field("limits"), Field("pending_packets")],
            limits.pending_packets,
            16..=65_536,
            "packets",
        ),
        (
            &[Field("limits"), Field("new_flows_per_second")],
            limits.new_flows_per_second,
            1..=10_000_000,
            "flows a second",
        ),
        (
            &[Field("control"), Field("bytes_per_second")],
            control.bytes_per_second,
            256..=10_000_000,
            "bytes a second",
        ),
        (
            &[Field("control"), Field("burst_bytes")],
            control.burst_bytes,
            2_048..=10_000_000,
            "bytes",
        ),
        (
            &[Field("handover_bytes_per_second")],
            settings.handover_bytes_per_second,
            1_024..=100_000_000,
            "bytes a second",
        ),
    ];
    for (path, value, range, unit) in integers {
        check_range(path, value, range, unit)?;
    }
    check_seconds("drain_seconds", settings.drain_time, DRAIN_SECONDS)?;
    check_range(
        &[Field("limits"), Field("caller_share")],
        limits.caller_share,
        0.000_001..=1.0,
        "of the new flows",
    )?;
    check_range(
        &[Field("trace"), Field("ratio")],
        settings.trace.ratio,
        0.0..=1.0,
        "of the packets",
    )
}

fn check_seconds(field: &'static str, time: Duration, range: RangeInclusive<f64>) -> Check {
    check_range(&[Field(field)], time.as_secs_f64(), range, "seconds")
}

fn check_range<T>(path: &[PathSegment], value: T, range: RangeInclusive<T>, unit: &str) -> Check
where
    T: PartialOrd + std::fmt::Display,
{
    if range.contains(&value) {
        return Ok(());
    }
    let (low, high) = range.into_inner();
    Err(error(
        path,
        format!("{value} {unit} is out of range"),
        &format!("the range is {low} to {high} {unit}"),
    ))
}
