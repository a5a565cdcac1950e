//! Invalid settings must be refused with the right position, and no key may be shown.

use std::{fs, path::PathBuf, time::Duration};

use banyanwharf::{
    settings::{Error, File, Gateway, Level, LocatedError, MAXIMUM_BYTES, Output, Settings},
    ticket::Ticket,
};
use miette::Diagnostic as _;

const FLOW_KEY: &str = "000102030405060708090a0b0c0d0e0f";

fn sample(name: &str) -> (PathBuf, String) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("samples").join(name);
    let text = fs::read_to_string(&path).expect("the sample is readable");
    (path, text)
}

fn located_error(text: &str) -> Box<LocatedError> {
    match Settings::parse("test.jsonc", text) {
        Err(Error::Located(located)) => located,
        other => panic!("expected a located error, got {other:?}"),
    }
}

/// Guards against accepting settings of gateway mode that cannot work.
#[test]
fn gateway_settings_are_checked() {
    let (path, text) = sample("gateway.jsonc");
    let File::Gateway(settings) = File::load(&path).expect("the sample is correct") else {
        panic!("the sample is for gateway mode")
    };
    assert_eq!((&*settings.zone, settings.drain_time), ("mvd-cerro", Duration::from_secs(5)));
    let (path, _) = sample("deployment-a.jsonc");
    assert!(matches!(File::load(&path), Ok(File::Tunnel(_))));
    for (from, to, message) in [
        ("\"gateway\"", "\"router\"", "unknown variant"),
        ("\"zone\": \"mvd-cerro\"", "\"zone\": \"mvd-cero\"", "not in the list of zones"),
        ("\"192.0.2.11:6081\"", "\"0.0.0.0:6081\"", "is unspecified"),
        ("\"192.0.2.11:7001\"", "\"192.0.2.11:6080\"", "already used"),
        ("\"cold_factor\": 1.0", "\"cold_factor\": -1", "out of range"),
        ("\"data\"", "\"dat\"", "unknown field"),
    ] {
        let broken = text.replacen(from, to, 1);
        assert_ne!(broken, text);
        let error = File::parse("gateway", &broken).expect_err("it has a problem");
        let Error::Located(located) = error else { panic!("{error} has no position") };
        assert!(located.message.contains(message), "{}", located.message);
        assert!(located.line > 1);
    }
}

/// Guards against samples that the program refuses.
#[test]
fn samples_load() {
    for (name, zone, slots, services) in
        [("a", "mvd-cerro", 4, ["turnos", "fichas"]), ("b", "caerdydd", 2, ["stondin", "taflen"])]
    {
        let settings = Settings::load(&sample(&format!("deployment-{name}.jsonc")).0)
            .expect("the sample is correct");
        assert_eq!(&*settings.zone, zone);
        assert_eq!(settings.log.level, Level::Info);
        assert_eq!(settings.trace.output, Output::Stderr);
        settings.keyring().expect("the keyring is valid");
        let ticket: Ticket = serde_json5::from_str(&sample(&format!("ticket-{name}.jsonc")).1)
            .expect("the ticket is correct");
        let names: Vec<_> = ticket.services.iter().map(|s| &*s.name).collect();
        assert_eq!(names, services);
        let counts: Vec<_> = ticket.services.iter().map(|s| s.targets.len()).collect();
        assert_eq!(counts, [14, 4]);
        let targets = ticket.services.iter().flat_map(|s| &s.targets);
        for target in targets {
            assert_eq!((target.slots, target.connections), (slots, 2000));
            assert!(settings.zones.contains(&target.zone));
        }
    }
    for name in ["ticket-zone-out.jsonc", "ticket-drain.jsonc"] {
        serde_json5::from_str::<Ticket>(&sample(name).1).expect("the ticket is correct");
    }
}

/// Guards against accepting an invalid value, and against an error with a wrong position or without
/// help.
#[test]
fn invalid_values_are_located() {
    // Each case: a part of the sample, its replacement, the text at the position of the error, a
    // part of the message and a part of the help.
    #[rustfmt::skip] // One case a line.
    let cases = [
        ("\"region\"", "\"regoin\"", "\"regoin\"", "unknown field `regoin`", "spelling"),
        ("  \"region\": \"montevideo\",\n", "", "{", "missing field `region`", "samples/"),
        ("\"montevideo\"", "7", "7", "invalid type: integer `7`", "docs/settings.md"),
        ("\"montevideo\"", "\"\"", "\"\"", "region: \"\" is not a name", "1 to 64"),
        ("\"entry-cerro-1\"", "\"a b\"", "\"a b\"", "name: \"a b\"", "1 to 64"),
        ("\"zone\": \"mvd-cerro\"", "\"zone\": \"mvd\"", "\"mvd\"", "not in the list", "`zones`"),
        ("\"mvd-prado\"", "\"mvd-cerro\"", "\"mvd-cerro\", \"mvd-ciu", "zones[1]: zone", "once"),
        ("192.0.2.11:6080", "192.0.2.11", "\"192.0.2.11\"", "invalid socket address", "port"),
        ("192.0.2.11:6080", "0.0.0.0:6080", "\"0.0.0.0:6080\"", "data: address", "one address"),
        ("192.0.2.11:7001", "[::]:7001", "\"[::]:7001\"", "unspecified", "one address"),
        ("192.0.2.11:7001", "224.0.0.1:7001", "\"224.0.0.1:7001\"", "multicast", "unicast"),
        ("192.0.2.11:7001", "192.0.2.11:0", "\"192.0.2.11:0\"", "port 0", "1 to 65535"),
        ("192.0.2.11:7001", "192.0.2.11:6080", "\"192.0.2.11:6080\",\n  // TCP", "`data`", "own"),
        ("192.0.2.11:7003", "192.0.2.11:7002", "\"192.0.2.11:7002\",\n\n", "`admin`", "own"),
        ("http://192.0.2.2:8500", "192.0.2.2", "\"192.0.2.2\"", "relative URL", "http://"),
        ("http://192.0.2.2:8500", "https://x", "\"https://x\"", "scheme \"https\"", "http://"),
        ("http://192.0.2.2:8500", "http://a@b", "\"http://a@b\"", "user name", "http://"),
        ("http://192.0.2.2:8500", "http://b?a=1", "\"http://b?a", "query", "http://"),
        (FLOW_KEY,
            "00ff", "\"****\"", "key has 4 characters, expected 32", "random"),
        ("0f10", "0g10", "\"*********", "not a hex digit", "random"),
        ("[\n    { \"number\": 1", "[{ \"number\": 300", "300", "300", "docs/settings.md"),
        ("{ \"number\": 1", "{ \"number\": -1", "-1", "-1", "docs/settings.md"),
        ("{ \"number\": 1", "{ \"number\": 1.5", "1.5", "1.5", "docs/settings.md"),
        ("\"owned_flows\": 1000000", "\"owned_flows\": 9", "9", "limits.owned_flows: 9", "1000 to"),
        ("\"cached_flows\": 1000000", "\"cached_flows\": 9", "9", "limits.cached", "1000 to"),
        ("\"pending_packets\": 4096", "\"pending_packets\": 1", "1,", "limits.pending", "packets"),
        ("\"new_flows_per_second\": 20000", "\"new_flows_per_second\": 0", "0,", "new_", "a second"),
        ("\"caller_share\": 0.01", "\"caller_share\": 1.5", "1.5", "limits.caller", "to 1"),
        ("\"caller_share\": 0.01", "\"caller_share\": NaN", "NaN", "NaN of the new", "to 1"),
        ("\"drain_seconds\": 30", "\"drain_seconds\": 4000", "4000", "4000 seconds", "0 to 3600"),
        ("_per_second\": 2048", "_per_second\": 1", "1", "control.bytes", "256 to"),
        ("\"burst_bytes\": 65536", "\"burst_bytes\": 1", "1", "control.burst", "2048 to"),
        ("262144", "1", "1,", "handover_bytes_per_second: 1 bytes", "1024 to"),
        ("\"ratio\": 0.0001", "\"ratio\": -0.5", "-0.5", "trace.ratio", "0 to 1"),
        ("\"info\"", "\"loud\"", "\"loud\"", "unknown variant `loud`", "docs/settings.md"),
        ("\"name\":", "\"name\"", "\"name\" \"entry", "syntax error: expected", "JSON with comments"),
        ("\"log\":", "\"log\"", "\"log\" {", "syntax error: expected", "JSON with comments"),
        ("\"data\":", "\"name\": \"x\", \"data\":", "{", "duplicate field `name`", "one of"),
    ];
    let text = sample("deployment-a.jsonc").1;
    for (old, new, place, message, help) in cases {
        assert!(text.contains(old), "{old} is not in the sample");
        let located = located_error(&text.replacen(old, new, 1));
        let masked = located.text.inner();
        let found = &masked[located.span.offset()..];
        assert!(
            found.starts_with(place),
            "{new}: the position is {}",
            &found[..found.len().min(60)]
        );
        assert!(located.message.contains(message), "{new}: {}", located.message);
        assert!(located.help.contains(help), "{new}: {}", located.help);
        let line = masked[..located.span.offset()].split('\n').count();
        assert_eq!(located.line, line, "{new}");
    }
}

/// Guards against a daemon that does not start because a time is not a whole number of seconds, or is
/// written with a decimal point.
#[test]
fn times_may_be_fractions() {
    let (_, text) = sample("gateway.jsonc");
    let with = |drain: &str, ttl: &str| {
        let text = text.replace("\"drain_seconds\": 5", &format!("\"drain_seconds\": {drain}"));
        text.replace("\"flow_ttl_seconds\": 60", &format!("\"flow_ttl_seconds\": {ttl}"))
    };
    for (drain, ttl, expected) in
        [("6.5", "59.5", [6_500, 59_500]), ("6.0", "60.0", [6_000, 60_000]), ("0", "1", [0, 1_000])]
    {
        let settings = Gateway::parse("test.jsonc", &with(drain, ttl)).expect("valid settings");
        assert_eq!([settings.drain_time, settings.flow_ttl], expected.map(Duration::from_millis));
    }
    for (drain, ttl, message) in [
        ("3600.5", "60", "drain_seconds: 3600.5 seconds is out of range"),
        ("5", "0.5", "flow_ttl_seconds: 0.5 seconds is out of range"),
        ("-0.5", "60", "-0.5 s is not a time"),
        ("5", "1e30", "s is not a time"),
        ("NaN", "60", "NaN s is not a time"),
        ("\"6.5\"", "60", "expected a number"),
    ] {
        let error = Gateway::parse("test.jsonc", &with(drain, ttl)).expect_err("invalid settings");
        let Error::Located(located) = error else { panic!("{error} has no position") };
        assert!(located.message.contains(message), "{}", located.message);
    }
    let (_, text) = sample("deployment-a.jsonc");
    let text = text.replace("\"drain_seconds\": 30", "\"drain_seconds\": 2.5");
    let settings = Settings::parse("test.jsonc", &text).expect("valid settings");
    assert_eq!(settings.drain_time, Duration::from_millis(2_500));
}

/// Guards against an error that does not point at the second of two equal key numbers, and against
/// errors that show a key.
#[test]
fn keys_are_checked_and_never_shown() {
    let text = sample("deployment-a.jsonc").1;
    let key = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
    let second =
        text.replace("],\n\n  // All", &format!("{{ number: 1, key: '{key}' }}],\n// All"));
    let located = located_error(&second);
    assert_eq!(located.message, "keys[1].number: key number 1 is used twice");
    assert_eq!(&second[located.span.offset()..][..1], "1");
    let unknown = located_error(&text.replace("\"keys\": [", "\"sign_with\": 9, \"keys\": ["));
    assert_eq!(unknown.message, "sign_with: key 9 is not in the list of keys");
    let none = text.replace(&format!("{{ \"number\": 1, \"key\": \"{key}\" }},"), "");
    assert!(located_error(&none).message.contains("keys: list of keys is empty"));

    let settings = Settings::parse("a", &text).expect("the sample is correct");
    assert_eq!(settings.flow_key.bytes()[15], 15);
    let unquoted = text.replace(&format!("\"{key}\""), "12345678901234567890123456789012");
    let moved = text.replace("\"montevideo\"", &format!("[\"{key}\"]"));
    let misspelt = text.replace("\"flow_key\":", "flow_key");
    let mut shown = format!("{settings:?}");
    for text in [second, unquoted, moved, misspelt] {
        let error = Settings::parse("a", &text).expect_err("the text is wrong");
        shown += &format!("{error} {error:?} ");
        shown += &format!("{:?}", miette::Report::new(error));
    }
    for part in ["0001020304", "0a0b0c0d0e", "1234567890", "[0, 1, 2"] {
        assert!(!shown.contains(part), "{part} is shown: {shown}");
    }
}

/// Guards against an error about a missing or oversized file that does not name the file.
#[test]
fn unreadable_files_are_named() {
    let error = Settings::load(&PathBuf::from("missing.jsonc")).expect_err("there is no file");
    assert!(error.to_string().contains("missing.jsonc") && error.help().is_some());
    let error = Settings::parse("big", &" ".repeat(MAXIMUM_BYTES + 1)).expect_err("it is long");
    assert!(error.to_string().contains("big have 65537 bytes"));
}

/// Guards against panics and wrong spans for arbitrary and deeply nested text.
#[test]
fn mutated_settings_never_panic() {
    let text = sample("deployment-a.jsonc").1;
    for deep in ["[", "{\"a\":", "/*", "[1,"] {
        let _ = Settings::parse("deep", &deep.repeat(MAXIMUM_BYTES / deep.len()));
    }
    bolero::check!().with_type::<(u16, u8, Vec<u8>)>().for_each(|(position, removed, inserted)| {
        let mut bytes = text.clone().into_bytes();
        let start = usize::from(*position) % bytes.len();
        let end = (start + usize::from(*removed)).min(bytes.len());
        bytes.splice(start..end, inserted.iter().copied());
        let text = String::from_utf8_lossy(&bytes);
        if let Err(Error::Located(located)) = Settings::parse("mutated", &text) {
            let masked = located.text.inner();
            assert_eq!(masked.len(), text.len());
            let end = located.span.offset() + located.span.len();
            assert!(masked.get(located.span.offset()..end).is_some());
        }
    });
}

/// Guards against a daemon that starts with invalid settings or reports them without a position.
#[test]
fn daemon_checks_settings() {
    let folder = tempfile::tempdir().expect("the folder is created");
    let path = folder.path().join("settings.jsonc");
    let sample =
        std::fs::read_to_string("samples/deployment-a.jsonc").expect("the sample is readable");
    let check = |arguments: &[&str], code: i32, parts: [&str; 2]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_banyanwharfd"));
        command.args(arguments).arg(&path).env("NO_COLOR", "1");
        let output = command.output().expect("the daemon runs");
        let notes = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {notes}");
        assert!(parts.iter().all(|part| notes.contains(part)), "{parts:?}: {notes}");
    };
    check(&["--check"], 1, ["could not be read", "settings.jsonc"]);
    for (old, new, part) in [
        ("\"region\"", "\"regoin\"", "unknown field `regoin`"),
        ("mvd-cerro\",\n", "mvd-sur\",\n", "not in the list of zones"),
        ("\"drain_seconds\": 30", "\"drain_seconds\": 9999", "the range is 0 to 3600 seconds"),
    ] {
        std::fs::write(&path, sample.replacen(old, new, 1)).expect("the folder is writable");
        check(&["--check"], 1, [part, "settings.jsonc:"]);
        check(&[], 1, [part, "settings.jsonc:"]);
    }
    std::fs::write(&path, &sample).expect("the folder is writable");
    check(&["--check"], 0, ["", ""]);
    // No interface of a test machine has the sample's address.
    check(&[], 1, ["data", "192.0.2.11"]);
}
