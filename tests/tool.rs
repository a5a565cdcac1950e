//! The tool must print the answers of daemons, check files, and exit with the documented codes.

use std::{fs, net::SocketAddr, process::Command, sync::Arc};

use banyanwharf::{
    admin::{
        AcceptedTicket, BaseTarget, Explanation, Flows, Member, PlatformStatus, Request, Server,
        Status, Target, TargetFlows, TicketReport, TicketState, Tickets, Zone, channel,
    },
    load::Class,
    member,
    ticket::{TargetState, ZoneState},
};
use serde_json::{Value, json};
use tokio::net::TcpSocket;

/// Test double of a daemon's admin API.
#[derive(Clone, Default)]
struct FakeDaemon {
    members: Vec<Member>,
    /// How often the daemon answers that it does not know the ticket before it is in force.
    unknown_answers: u32,
    /// Whether the daemon refuses tickets.
    refuses: bool,
    is_silent: bool,
}

fn local() -> SocketAddr {
    "127.0.0.1:0".parse().expect("the address is valid")
}

fn member(name: &str, admin: SocketAddr, state: member::Status) -> Member {
    Member {
        name: name.into(),
        region: "montevideo".into(),
        zone: "mvd-cerro".into(),
        peer: "192.0.2.11:7001".parse().expect("the address is valid"),
        admin,
        state,
        incarnation: 7,
        since_seconds: 60,
    }
}

impl FakeDaemon {
    async fn start(self, name: &'static str) -> Server {
        let (sender, mut receiver) = channel();
        tokio::spawn(async move {
            let mut unknown_answers = self.unknown_answers;
            while let Some(request) = receiver.recv().await {
                if !self.is_silent {
                    self.answer(name, &mut unknown_answers, request);
                }
            }
        });
        Server::start(local(), sender).await.expect("the port is free")
    }

    fn answer(&self, name: &str, unknown_answers: &mut u32, request: Request) {
        match request {
            Request::Status(reply) => drop(reply.send(status(name))),
            Request::Members(reply) => drop(reply.send(self.members.clone())),
            Request::Zones(reply) => drop(reply.send(vec![Zone {
                name: "mvd-buceo".into(),
                state: ZoneState::Out,
                ticket: Some(2),
                members_alive: 1,
                targets: 4,
            }])),
            Request::Targets(reply) => drop(reply.send(vec![Target {
                service: "turnos".into(),
                name: "turnos-01".into(),
                zone: "mvd-cerro".into(),
                address: "192.0.2.101:6080".parse().expect("the address is valid"),
                state: TargetState::Draining,
                class: Class::Hot,
                is_ejected: false,
                is_placeable: true,
                weight: 100,
                flows: 12,
                ticket: 1,
            }])),
            Request::Tickets(reply) => drop(reply.send(Tickets {
                digest: "00ff".into(),
                accepted: vec![AcceptedTicket {
                    number: 1,
                    objects: vec!["service/turnos".into(), "policy/careful".into()],
                }],
                refused: vec![],
            })),
            Request::TicketInForce(number, reply) => {
                let state = match () {
                    () if self.refuses => TicketState::Refused("line 3: bad zone".into()),
                    () if *unknown_answers > 0 => TicketState::Unknown,
                    () => TicketState::InForce,
                };
                *unknown_answers = unknown_answers.saturating_sub(1);
                let name = name.into();
                drop(reply.send(TicketReport { name, number, state }));
            }
            Request::Explain(question, reply) => {
                let found = question.service.port() == 443;
                drop(reply.send(Explanation {
                    name: name.into(),
                    service: found.then(|| "turnos".into()),
                    fingerprint: format!("{:?}", question.protocol).into(),
                    slot: 77,
                    primary: Some("entry-2".into()),
                    secondary: None,
                    former: vec!["entry-3".into(), "entry-4".into()],
                    is_unsettled: true,
                    record: None,
                    cached: Some("turnos-01".into()),
                    bases: vec![BaseTarget { ticket: 9, target: Some("turnos-02".into()) }],
                }));
            }
            Request::Flows(reply) => drop(reply.send(Flows {
                owned: 12,
                targets: vec![TargetFlows {
                    service: "turnos".into(),
                    target: "turnos-01".into(),
                    flows: 12,
                }],
                ..Flows::default()
            })),
            // Requests of other daemons, which the tool does not send.
            Request::MemberSnapshot(_) | Request::StateSnapshot(_) | Request::Follow(..) => {}
        }
    }
}

fn status(name: &str) -> Status {
    Status {
        name: name.into(),
        region: "montevideo".into(),
        zone: "mvd-cerro".into(),
        version: "0.1.0".into(),
        state: member::Status::Alive,
        incarnation: 7,
        is_ready: true,
        is_stale: false,
        uptime_seconds: 3600,
        members_alive: 4,
        highest_ticket: Some(9),
        digest: "00ff".into(),
        platform: PlatformStatus {
            is_reader: true,
            index: 12,
            failures: 0,
            last_success_seconds: None,
        },
    }
}

/// Runs the tool and returns its exit code, standard output and standard error.
async fn run_tool(arguments: &[&str], admin: &[SocketAddr]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_banyanwharf"));
    command.args(arguments).env("NO_COLOR", "1");
    for address in admin {
        command.arg(format!("--admin={address}"));
    }
    let output = tokio::task::spawn_blocking(move || command.output()).await;
    let output = output.expect("the lock is not poisoned").expect("the tool runs");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    let code = output.status.code().expect("the tool exits by itself");
    (code, text(output.stdout), text(output.stderr))
}

/// Returns an address without a listener; no other socket takes it while the returned one is open.
fn unused_address() -> (SocketAddr, TcpSocket) {
    let socket = TcpSocket::new_v4().expect("the socket is created");
    socket.bind(local()).expect("the port is free");
    (socket.local_addr().expect("the socket is bound"), socket)
}

/// Guards against output that lacks a value, and against a wrong exit code.
#[tokio::test(flavor = "multi_thread")]
async fn tool_prints_answers() {
    let admin = "192.0.2.11:7002".parse().expect("the address is valid");
    let members = vec![member("entry-1", admin, member::Status::Leaving)];
    let daemon = FakeDaemon { members, ..FakeDaemon::default() };
    let server = daemon.start("entry-1").await;
    let (closed, _socket) = unused_address();
    let addresses = [closed, server.address()];
    let caller = "192.0.2.200:40000";
    let explain = ["explain", caller, "203.0.113.10:443"];
    let cases: [(&[&str], i32, &[&str]); 8] = [
        (&["members"], 0, &["NAME", "entry-1", "leaving", "60s", "192.0.2.11:7002"]),
        (&["zones"], 0, &["mvd-buceo", "out", "TARGETS"]),
        (&["targets"], 0, &["turnos-01", "draining", "hot", "no", "yes", "12"]),
        (&["flows"], 0, &["pending packets    0", "turnos-01"]),
        (&["tickets"], 0, &["digest 00ff", "accepted", "sets service/turnos, policy/careful"]),
        (&explain, 0, &["turnos", "Tcp", "entry-3, entry-4", "base of ticket 9   turnos-02"]),
        (&["explain", "--udp", caller, "203.0.113.10:443"], 0, &["Udp"]),
        (&["explain", caller, "203.0.113.10:80"], 1, &["service            -"]),
    ];
    for (arguments, code, parts) in cases {
        let (found, text, notes) = run_tool(arguments, &addresses).await;
        assert_eq!((found, &*notes), (code, ""), "{arguments:?}: {text}");
        for part in parts {
            assert!(text.contains(part), "{arguments:?}: {part} is not in {text}");
        }
        let arguments = [arguments, &["--json"]].concat();
        let (found, text, _) = run_tool(&arguments, &addresses).await;
        assert_eq!(found, code);
        serde_json::from_str::<Value>(&text).expect("JSON");
    }
    let (code, text, notes) = run_tool(&["status"], &addresses).await;
    assert_eq!(code, 2, "one daemon does not answer");
    assert!(text.contains("platform success   never") && notes.contains("refused"), "{notes}");
    let (code, text, _) = run_tool(&["status", "--json"], &addresses[1..]).await;
    assert_eq!(code, 0);
    let answers: Vec<Status> = serde_json::from_str(&text).expect("JSON");
    assert_eq!(answers, [status("entry-1")]);

    let (code, text, notes) = run_tool(&["members"], &addresses[..1]).await;
    assert_eq!((code, &*text), (2, ""));
    for part in ["no daemon answered", &addresses[0].to_string(), "--admin", "refused"] {
        assert!(notes.contains(part), "{part} is not in {notes}");
    }
    for usage in [&["nonsense"][..], &[], &["explain", "x", "y"], &["ticket", "wait", "-1"]] {
        assert_eq!(run_tool(usage, &[]).await.0, 2, "{usage:?}");
    }
    assert_eq!(run_tool(&["--help"], &[]).await.0, 0);
}

/// Guards against a wait that ends too early, waits for a failed member, or never ends.
#[tokio::test(flavor = "multi_thread")]
async fn tool_waits_for_a_ticket() {
    use member::Status::{Alive, Failed, Suspect};
    let start = |unknown_answers, refuses, is_silent| {
        let daemon = FakeDaemon { unknown_answers, refuses, is_silent, ..FakeDaemon::default() };
        daemon.start("entry")
    };
    let quick = start(0, false, false).await;
    let late = start(2, false, false).await;
    let lagging = start(u32::MAX, false, false).await;
    let refusing = start(0, true, false).await;
    let (gone, _socket) = unused_address();
    let lists = [
        vec![("a", quick.address(), Alive), ("b", late.address(), Alive)],
        vec![("a", quick.address(), Alive), ("s", gone, Suspect), ("f", gone, Failed)],
        vec![("a", quick.address(), Alive), ("lame", lagging.address(), Alive)],
        vec![("no", refusing.address(), Alive), ("lame", lagging.address(), Alive)],
        vec![("a", quick.address(), Alive), ("dead", gone, Alive)],
    ];
    let wanted: [(i32, &[&str]); 5] = [
        (0, &["in force at 2 of 2 members"]),
        (0, &["in force at 1 of 2 members", "unreachable"]),
        (1, &["in force at 1 of 2 members", "lame", "lagging"]),
        (1, &["refused", "line 3: bad zone"]),
        (1, &["dead", "no answer", "refused"]),
    ];
    for (list, (code, parts)) in lists.into_iter().zip(wanted) {
        let members = list.iter().map(|&(name, admin, state)| member(name, admin, state));
        let members = members.collect();
        let daemon = FakeDaemon { members, ..FakeDaemon::default() };
        let server = daemon.start("entry-1").await;
        // The short timeout is only used where a member never has the ticket in force.
        let timeout = if code == 0 { "30" } else { "1" };
        let arguments = ["ticket", "wait", "7", "--timeout", timeout];
        let (found, text, notes) = run_tool(&arguments, &[server.address()]).await;
        assert_eq!(found, code, "{text}{notes}");
        for part in parts {
            assert!(text.contains(part), "{part} is not in {text}");
        }
        let arguments = [&arguments[..3], &["--json", "--timeout=0"]].concat();
        let (found, text, _) = run_tool(&arguments, &[server.address()]).await;
        let outcome: Value = serde_json::from_str(&text).expect("JSON");
        assert_eq!(outcome["is_in_force"], json!(found == 0));
        assert_eq!(outcome["number"], json!(7));
    }
    assert_eq!(run_tool(&["ticket", "wait", "7"], &[gone]).await.0, 2);
}

/// Guards against a check that accepts an invalid file, and against a trace tree that lacks or
/// repeats spans.
#[tokio::test(flavor = "multi_thread")]
async fn tool_reads_files() {
    let directory = tempfile::tempdir().expect("the directory is created");
    let samples = concat!(env!("CARGO_MANIFEST_DIR"), "/samples");
    let sample = |name: &str| format!("{samples}/{name}");
    let write = |name: &str, text: &str| {
        let path = directory.path().join(name);
        fs::write(&path, text).expect("the directory is writable");
        path.display().to_string()
    };
    let text = fs::read_to_string(sample("deployment-a.jsonc")).expect("the sample exists");
    let wrong = write("wrong.jsonc", &text.replace("\"region\"", "\"regoin\""));
    let ticket = write(
        "ticket.jsonc",
        "{ \"number\": 7,\n \"zones\": [{ \"name\": \"a\", \"state\": \"gone\" }] }",
    );
    let zone = "{ \"name\": \"a\", \"state\": \"in\" }";
    let invalid = format!("{{ \"number\": 7,\n \"zones\": [{zone}, {zone}] }}");
    let invalid = write("invalid.jsonc", &invalid);
    let span = |span: &str, parent: &str, start: u32| {
        format!(
            "{{\"trace\":\"abc1\",\"span\":\"{span}\",{parent}\"name\":\"hop-{span}\",\
             \"daemon\":\"entry-1\",\"start_us\":{start},\"duration_us\":5,\
             \"attributes\":{{\"target\":\"t-{span}\"}}}}\n"
        )
    };
    let spans = [
        span("3", "\"parent\":\"2\",", 120),
        span("1", "", 100),
        span("2", "\"parent\":\"1\",", 110),
        span("9", "\"parent\":\"lost\",", 130),
        span("7", "\"parent\":\"8\",", 140),
        span("8", "\"parent\":\"7\",", 141),
    ];
    let trace = write("spans.jsonl", &spans.concat());
    let tree = "trace abc1, 6 spans\n  hop-1 entry-1 +0 us 5 us target=t-1\n    hop-2 entry-1 +10 \
                us 5 us target=t-2\n      hop-3 entry-1 +20 us 5 us target=t-3\n  hop-9 entry-1 \
                +30 us 5 us target=t-9\n  hop-7 entry-1 +40 us 5 us target=t-7\n    hop-8 entry-1 \
                +41 us 5 us target=t-8\n";
    let missing = directory.path().join("missing").display().to_string();
    let cases: [(&[&str], i32, &str, &[&str]); 13] = [
        (
            &["check", &sample("deployment-a.jsonc")],
            0,
            "settings of entry-cerro-1 are correct",
            &[],
        ),
        (&["check", &sample("ticket-a.jsonc")], 0, "ticket 1 is correct: 2 services", &[]),
        (&["ticket", "check", &sample("ticket-drain.jsonc")], 0, "ticket 3 is correct", &[]),
        (&["check", &wrong], 1, "", &["unknown field `regoin`", "wrong.jsonc:6", "spelling"]),
        (
            &["check", &ticket],
            1,
            "",
            &["unknown variant `gone`", "ticket.jsonc:2", "has the fields"],
        ),
        (&["ticket", "check", &ticket], 1, "", &["ticket.jsonc:2"]),
        (&["ticket", "check", &invalid], 1, "", &["invalid.jsonc:2", "in this object", "refused"]),
        (&["check", &missing], 2, "", &["could not be read"]),
        (&["trace", &trace], 0, tree, &[]),
        (&["trace", &trace, "abc"], 0, tree, &[]),
        (&["trace", &trace, "def"], 1, "no spans", &[]),
        (&["trace", &wrong], 2, "", &["is not a trace file: line 1 is not a span"]),
        (&["trace", "--json", &trace], 0, "\"daemon\": \"entry-1\"", &[]),
    ];
    for (arguments, code, part, notes) in cases {
        let (found, text, errors) = run_tool(arguments, &[]).await;
        assert_eq!(found, code, "{arguments:?}: {text}{errors}");
        assert!(text.contains(part), "{arguments:?}: {text}");
        for note in notes {
            assert!(errors.contains(note), "{arguments:?}: {note} is not in {errors}");
        }
    }
    let key: Arc<str> = "000102030405".into();
    let (_, _, errors) = run_tool(&["check", &wrong], &[]).await;
    assert!(!errors.contains(&*key), "a key is shown: {errors}");
}
