//! Daemon processes in tunnel mode must serve flows through signals and without the platform.

#![allow(clippy::print_stdout)]

use std::cell::RefCell;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use banyanwharf::ticket::ZoneState;
use banyanwharf_testkit::scenario::*;
use banyanwharf_testkit::{Mode, free_address};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::process::{Child, Command as AsyncCommand};
use tokio::time::{sleep, timeout};

/// The longest wait for a condition. Failure detection takes about 6 s.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(40);

/// A ticket must be in force everywhere after this time.
const TICKET_DEADLINE: Duration = Duration::from_secs(5);

/// Daemon processes, with their settings and logs in a temporary folder.
struct Processes {
    folder: TempDir,
    contacts: RefCell<Vec<SocketAddr>>,
    started: RefCell<Vec<(DaemonConfig, u32)>>,
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.folder.disable_cleanup(std::thread::panicking());
    }
}

impl Processes {
    /// Returns the configuration and the process id of a started daemon.
    fn find(&self, name: &str) -> (DaemonConfig, u32) {
        let started = self.started.borrow();
        started
            .iter()
            .find(|(config, _)| config.name == name)
            .expect("the daemon was started")
            .clone()
    }

    fn admin(&self, number: u64) -> SocketAddr {
        self.find(&format!("entry-{number}")).0.admin
    }
}

fn signal(signal: &str, process: u32) {
    let status = Command::new("kill").args([signal, &process.to_string()]).status();
    assert!(status.expect("the kill command runs").success(), "{signal} to {process}");
}

impl Cluster for Processes {
    type Daemon = Child;

    async fn start(&self, config: DaemonConfig) -> Result<Child> {
        let path = self.folder.path().join(&config.name);
        let settings = json!({
            "name": config.name, "region": config.region, "zone": config.zone, "zones": ZONES,
            "data": config.data, "peer": config.peer, "admin": config.admin, "drain_seconds": 2,
            "fabric": config.fabric, "platform": config.platform, "metrics": free_address()?,
            "contacts": *self.contacts.borrow(), "flow_key": "5a".repeat(16),
            "keys": [{ "number": 1, "key": "a5".repeat(32) }],
        });
        fs::write(&path, settings.to_string())?;
        let log = File::create(path.with_extension("log"))?;
        let mut command = AsyncCommand::new(env!("CARGO_BIN_EXE_banyanwharfd"));
        let child = command.arg(&path).stderr(log).kill_on_drop(true).spawn()?;
        wait_for_answer(config.admin, "status", |status| status[0]["is_ready"] == true).await;
        self.started.borrow_mut().push((config, child.id().expect("the process is running")));
        Ok(child)
    }

    async fn stop(&self, mut daemon: Child) {
        signal("-TERM", daemon.id().expect("the process is running"));
        let exit = timeout(CONDITION_TIMEOUT, daemon.wait())
            .await
            .expect("the process exits in time")
            .expect("the child can be waited for");
        assert_eq!(exit.code(), Some(0));
    }

    async fn kill(&self, mut daemon: Child) {
        daemon.kill().await.expect("the process is running");
    }

    fn control_bytes(&self, _: &Child) -> u64 {
        0
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if the condition does not hold within [`CONDITION_TIMEOUT`].
async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < CONDITION_TIMEOUT, "{what}: not within {CONDITION_TIMEOUT:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Runs the tool against a daemon and returns its exit code and its JSON output.
async fn run_tool(admin: SocketAddr, arguments: &str) -> (Option<i32>, Value) {
    let mut command = AsyncCommand::new(env!("CARGO_BIN_EXE_banyanwharf"));
    command.args(arguments.split(' ')).arg(format!("--admin={admin}")).arg("--json");
    let output = command.output().await.expect("the tool runs");
    (output.status.code(), serde_json::from_slice(&output.stdout).unwrap_or_default())
}

/// Waits until the output of the tool fulfils a condition.
async fn wait_for_answer(admin: SocketAddr, arguments: &str, wanted: impl Fn(&Value) -> bool) {
    wait_until(arguments, async || wanted(&run_tool(admin, arguments).await.1)).await;
}

/// Waits until the list of members or zones contains a name with a state.
async fn wait_until_listed(admin: SocketAddr, list: &str, name: &str, state: &str) {
    let is_wanted = |item: &Value| item["name"] == name && item["state"] == state;
    wait_for_answer(admin, list, |list| list.as_array().is_some_and(|l| l.iter().any(is_wanted)))
        .await;
}

async fn start_testbed(seed: u64) -> Testbed<Processes> {
    let folder = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR")).expect("the folder is created");
    println!("seed {seed}, logs in {}", folder.path().display());
    let (contacts, started) = Default::default();
    let plan = Plan { seed, ..Plan::default() };
    let mut world = Testbed::start(Processes { folder, contacts, started }, plan)
        .expect("the test doubles start");
    world.add_daemons().await.expect("the daemons start");
    for number in 1..=4 {
        let admin = world.cluster.admin(number);
        wait_for_answer(admin, "status", |status| status[0]["members_alive"] == 4).await;
    }
    world
}

/// Opens flows that stay open until the end of the test.
async fn open_long_flows(world: &Testbed<Processes>, flows: usize) {
    world.open_flows(flows, Duration::from_secs(1), None);
    let open = || world.callers.iter().map(|caller| caller.record().open).sum::<u64>();
    wait_until("all flows are open", async || open() == flows as u64).await;
}

/// Finishes all flows and checks the records of the test doubles.
async fn finish_and_check(world: Testbed<Processes>, zone: Option<&str>) -> Report {
    world.finish(Duration::from_secs(1)).await;
    let report = world.report(zone);
    println!("{}", json!(report));
    assert!(report.violations().is_empty(), "{:?}", report.violations());
    world.stop().await;
    report
}

/// Compares the output of the tool with the state of the test doubles.
async fn check_tool(world: &Testbed<Processes>) {
    let admin = world.cluster.admin(1);
    let get = async |arguments: &str| {
        let (code, answer) = run_tool(admin, arguments).await;
        assert_eq!(code, Some(0), "{arguments}: {answer}");
        answer
    };
    let length = |answer: &Value| answer.as_array().map_or(0, Vec::len);
    let outcome = get("ticket wait 2").await;
    assert!(outcome["is_in_force"] == true && length(&outcome["members"]) == 4, "{outcome}");
    assert_eq!(run_tool(admin, "ticket wait 99 --timeout 0").await.0, Some(1));
    assert_eq!(get("status").await[0]["highest_ticket"], 2);
    assert_eq!(get("tickets").await["accepted"][1]["objects"], json!(["service/fichas"]));
    assert_eq!(length(&get("targets").await), world.targets.len());
    assert_eq!(length(&get("members").await), 4);
    let zones = get("zones").await;
    assert_eq!((length(&zones), &zones[0]["members_alive"]), (4, &json!(1)), "{zones}");
    let targets: Option<u64> = (0..4).map(|index| zones[index]["targets"].as_u64()).sum();
    assert_eq!(targets, Some(18), "{zones}");
    wait_until("two owners hold each flow", async || {
        let mut owned = 0;
        for number in 1..=4 {
            let (_, flows) = run_tool(world.cluster.admin(number), "flows").await;
            owned += flows["owned"].as_u64().unwrap_or_default();
        }
        owned == 2 * 60
    })
    .await;
    let mut targets = world.targets.iter();
    let target =
        targets.find(|target| target.read(|record| record.open > 0)).expect("a target has a flow");
    let caller = target.read(|record| record.flows[0].1);
    let question = format!("explain {caller} {}", service_address(&target.config().service));
    let primary = get(&question).await["primary"].as_str().unwrap_or_default().to_owned();
    let (_, answer) = run_tool(world.cluster.find(&primary).0.admin, &question).await;
    assert_eq!(answer["record"], *target.config().name, "{answer}");
    assert_eq!(run_tool(admin, "explain 10.0.0.1:1 10.0.0.2:2").await.0, Some(1));
}

/// Guards against flows that break when daemons are killed, paused and stopped, and against packets
/// that a paused daemon sends to a zone out of service after it continues.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_survive_signals() {
    let mut world = start_testbed(1).await;
    open_long_flows(&world, 60).await;
    check_tool(&world).await;
    world.open_flows(300, Duration::from_secs(30), Some(Duration::from_secs(1)));

    let zone = world.kill_daemon().await;
    let (paused, process) = world.cluster.find("entry-2");
    let observer = world.cluster.admin(4);
    wait_until_listed(observer, "members", "entry-1", "failed").await;
    world.add_daemon(&zone).await.expect("a new daemon starts");

    let data = ["entry-4", "entry-5", "entry-3"].map(|name| world.cluster.find(name).0.data);
    signal("-STOP", process);
    // The fabric still sends to the paused daemon, so packets for all targets queue in its sockets.
    wait_until_listed(observer, "members", "entry-2", "failed").await;
    world.fabric.set_daemons(data);
    let out_at = Instant::now();
    world.set_zone(ZONES[2], ZoneState::Out).await;
    world.fabric.set_daemons([data[0], data[1]]);
    sleep(TICKET_DEADLINE.saturating_sub(out_at.elapsed())).await;
    world.fabric.set_daemons([data[0], data[1], paused.data]);
    sleep(Duration::from_millis(500)).await;
    signal("-CONT", process);
    wait_until_listed(observer, "members", "entry-2", "alive").await;
    wait_until_listed(paused.admin, "zones", ZONES[2], "out").await;
    sleep(Duration::from_secs(3)).await;
    let back_at = Instant::now();
    for target in world.targets.iter().filter(|target| target.config().zone == ZONES[2]) {
        let late = target.read(|record| record.packets_between(out_at + TICKET_DEADLINE, back_at));
        assert!(late.is_empty(), "{}: {late:?}", target.config().name);
    }
    world.set_zone(ZONES[2], ZoneState::In).await;
    world.stop_daemon().await;
    let report = finish_and_check(world, Some(ZONES[2])).await;
    assert!(report.given_up_with_zone > 0 && report.flows > 200, "{report:?}");
}

/// Guards against a daemon that cannot join, and against flows that break, while the platform is
/// unavailable.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_serve_without_the_platform() {
    let mut world = start_testbed(2).await;
    let admin = world.cluster.admin(4);
    assert_eq!(run_tool(admin, "ticket wait 2").await.0, Some(0));
    world.platform.set_mode(Mode::Unavailable);
    world.cluster.contacts.borrow_mut().push(admin);
    open_long_flows(&world, 40).await;
    let zone = world.kill_daemon().await;
    world.add_daemon(&zone).await.expect("a new daemon starts");
    let joining = world.cluster.admin(5);
    assert_eq!(run_tool(joining, "ticket wait 2").await.0, Some(0));
    let (_, status) = run_tool(joining, "status").await;
    assert_eq!(status[0]["highest_ticket"], SERVICES.len(), "{status}");
    assert_eq!(status[0]["platform"]["last_success_seconds"], Value::Null, "{status}");
    assert_eq!(finish_and_check(world, None).await.flows, 40);
}
