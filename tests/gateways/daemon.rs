//! A daemon process in gateway mode.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::Command,
    time::{Duration, Instant},
};

use banyanwharf_testkit::{Store, get};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    process::{Child, Command as AsyncCommand},
    time::{sleep, timeout},
};

/// The longest wait for a condition.
pub(crate) const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Offsets of a daemon's other ports from its data port.
const READY_PORT: u16 = 1;
const ADMIN_PORT: u16 = 2;
const PEER_PORT: u16 = 3;
const METRICS_PORT: u16 = 4;

#[derive(Debug)]
pub(crate) struct Daemon {
    pub(crate) data: SocketAddr,
    folder: TempDir,
    settings: Value,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.folder.disable_cleanup(std::thread::panicking());
    }
}

/// Returns the address of daemon `number` with this port.
pub(crate) fn address(number: u8, port: u16) -> SocketAddr {
    (Ipv4Addr::new(127, 0, 8, number), port).into()
}

/// Returns the address of the admin API of the daemon with the data address `data`.
pub(crate) fn admin(data: SocketAddr) -> SocketAddr {
    (data.ip(), data.port() + ADMIN_PORT).into()
}

/// Returns the settings of daemon `number`. Each daemon uses the same ports at its own address.
pub(crate) fn settings(number: u8, zone: &str, port: u16, store: &str, contact: &str) -> Value {
    let at = |offset: u16| address(number, port + offset).to_string();
    json!({
        "mode": "gateway", "name": format!("entry-{number}"), "region": "here", "zone": zone,
        "data": at(0), "ready": at(READY_PORT), "admin": at(ADMIN_PORT), "peer": at(PEER_PORT),
        "metrics": at(METRICS_PORT), "platform": store,
        "keys": [{ "number": 1, "key": "a5".repeat(32) }],
        "contacts": [contact],
        "target_reports": true,
        "log": { "format": "json", "stream": "stdout", "level": "debug" },
    })
}

/// Returns the HTTP status of the readiness check of the daemon with the data address `data`, or 0
/// if it does not respond.
pub(crate) async fn readiness(data: SocketAddr) -> u16 {
    let ready = SocketAddr::from((data.ip(), data.port() + READY_PORT));
    get(&format!("http://{ready}/banyanwharf/ready")).await.map_or(0, |(status, _)| status)
}

/// Runs the tool against a daemon and returns its JSON output, or null if the output is not JSON.
pub(crate) async fn run_tool(admin: SocketAddr, arguments: &str) -> Value {
    let mut command = AsyncCommand::new(env!("CARGO_BIN_EXE_banyanwharf"));
    command.args(arguments.split(' ')).arg(format!("--admin={admin}")).arg("--json");
    let output = command.output().await.expect("the tool runs");
    serde_json::from_slice(&output.stdout).unwrap_or_default()
}

impl Daemon {
    pub(crate) fn start(number: u8, zone: &str, port: u16, store: &Store, contact: u8) -> Daemon {
        Daemon::start_with_store(number, zone, port, store.address(), contact)
    }

    /// Starts a daemon that reaches the store at the address `store`, such as that of a proxy.
    pub(crate) fn start_with_store(
        number: u8,
        zone: &str,
        port: u16,
        store: SocketAddr,
        contact: u8,
    ) -> Daemon {
        let folder = TempDir::new().expect("the folder is created");
        let contact = admin(address(contact, port)).to_string();
        let settings = settings(number, zone, port, &format!("http://{store}"), &contact);
        fs::write(folder.path().join("settings.jsonc"), settings.to_string()).expect("written");
        let log = File::create(folder.path().join("log")).expect("the log file opens");
        let mut command = AsyncCommand::new(env!("CARGO_BIN_EXE_banyanwharfd"));
        command.arg(folder.path().join("settings.jsonc")).stdout(log).kill_on_drop(true);
        let child = command.spawn().expect("the daemon starts");
        Daemon { data: address(number, port), folder, settings, child }
    }

    pub(crate) fn admin(&self) -> SocketAddr {
        admin(self.data)
    }

    pub(crate) fn metrics(&self) -> String {
        format!("http://{}:{}/metrics", self.data.ip(), self.data.port() + METRICS_PORT)
    }

    /// Returns the value of the first metric whose name begins with `name` and whose line contains
    /// `label`; 0 if there is none.
    pub(crate) async fn metric(&self, name: &str, label: &str) -> u64 {
        let address = (self.data.ip(), self.data.port() + METRICS_PORT);
        let mut stream = TcpStream::connect(address).await.expect("the endpoint accepts");
        let request = b"GET /metrics HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n\r\n";
        stream.write_all(request).await.expect("the request is sent");
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("the response is text");
        let mut lines = text.lines();
        let name = format!("banyanwharf_{name}");
        let line = lines.find(|line| line.starts_with(&name) && line.contains(label));
        let value = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
        value.unwrap_or_default()
    }

    pub(crate) fn settings_file(&self) -> PathBuf {
        self.folder.path().join("settings.jsonc")
    }

    /// Runs the tool against the daemon and returns its JSON output.
    pub(crate) async fn run_tool(&self, arguments: &str) -> Value {
        run_tool(self.admin(), arguments).await
    }

    pub(crate) fn settings(&self) -> &Value {
        &self.settings
    }

    pub(crate) fn log(&self) -> String {
        fs::read_to_string(self.folder.path().join("log")).expect("the log file is readable")
    }

    /// Returns the HTTP status of the readiness check, or 0 if the daemon does not respond.
    pub(crate) async fn readiness(&self) -> u16 {
        readiness(self.data).await
    }

    pub(crate) async fn wait_until_ready(&self) {
        wait_until("ready", async || self.readiness().await == 200).await;
    }

    pub(crate) async fn wait_until_logged(&self, text: &str) {
        wait_until(text, async || self.log().contains(text)).await;
    }

    pub(crate) fn signal(&self, signal: &str) {
        let process = self.child.id().expect("the process is running").to_string();
        let status = Command::new("kill").args([signal, &process]).status();
        assert!(status.expect("the kill command runs").success());
    }

    pub(crate) async fn exit_code(&mut self) -> Option<i32> {
        let exit = timeout(CONDITION_TIMEOUT, self.child.wait()).await;
        exit.expect("the process exits in time").expect("the child can be waited for").code()
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if the condition does not hold within [`CONDITION_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < CONDITION_TIMEOUT, "{what}: not within {CONDITION_TIMEOUT:?}");
        sleep(Duration::from_millis(50)).await;
    }
}
