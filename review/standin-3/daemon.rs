//! The daemons as processes, and the platform's check of their readiness.

use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The program of the deploy file, relative to the root of the repository.
const PROGRAM: &str = "target/release/banyanwharfd";

/// The time between two readiness checks, and how long one may take.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// The number of failed readiness checks after which a daemon leaves the rotation.
const MISSES: u32 = 2;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// The option of `prctl` that sets the signal which a process gets when its parent ends.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;

#[derive(Debug, Clone, Copy)]
pub enum Signal {
    Kill = 9,
}

pub struct Daemon {
    pub name: String,
    pub zone: &'static str,
    pub data: SocketAddrV4,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    is_in_rotation: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
}

impl Daemon {
    /// Writes the settings of a daemon, as the platform renders them from `platform/settings.jsonc`,
    /// and starts it.
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &'static str,
        zones: &[&str],
        data: SocketAddrV4,
        store: SocketAddr,
        contacts: &[Ipv4Addr],
    ) -> Daemon {
        let (ip, port) = (data.ip(), data.port());
        let quoted = |texts: Vec<String>| {
            texts.iter().map(|text| format!("\"{text}\"")).collect::<Vec<_>>().join(", ")
        };
        let zone_list = quoted(zones.iter().map(|zone| (*zone).to_owned()).collect());
        let contact_list =
            quoted(contacts.iter().map(|contact| format!("{contact}:{}", port + 2)).collect());
        let text = format!(
            r#"{{
  "mode": "gateway",
  "name": "{name}",
  "region": "cymru",
  "zone": "{zone}",
  "zones": [{zone_list}],
  "data": "{ip}:{port}",
  "ready": "{ip}:{}",
  "admin": "{ip}:{}",
  "peer": "{ip}:{}",
  "metrics": "{ip}:{}",
  "platform": "http://{store}",
  "contacts": [{contact_list}],
  "keys": [{{ "number": 1, "key": "62616e79616e77686172660000000000676174657761790000000000000000ff" }}],
  "drain_seconds": 6,
  "flow_ttl_seconds": 60,
  "cold_factor": 1.5,
  "cold_slack": 5,
  "placement": "expected_work",
  "load_shedding": true,
  "target_reports": true,
  "log": {{ "format": "json", "stream": "stdout" }},
}}
"#,
            port + 1,
            port + 2,
            port + 3,
            port + 4,
        );
        let settings = folder.join(format!("{name}.jsonc"));
        fs::write(&settings, text).expect("the settings can be written");
        let mut daemon = Daemon {
            name: name.to_owned(),
            zone,
            data,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
            is_in_rotation: Arc::new(AtomicBool::new(false)),
            has_ended: Arc::new(AtomicBool::new(false)),
        };
        daemon.spawn();
        daemon.check_readiness();
        daemon
    }

    /// Starts the process.
    pub fn spawn(&mut self) {
        if let Some(mut former) = self.child.take() {
            let _ = former.wait();
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be opened");
        let mut command = Command::new(PROGRAM);
        command.arg(&self.settings).stdin(Stdio::null()).stdout(log);
        // SAFETY: The call is safe between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(SET_PARENT_DEATH_SIGNAL, Signal::Kill as u64);
                Ok(())
            })
        };
        self.child = Some(command.spawn().expect("the daemon starts"));
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // SAFETY: The process is a child that has not been waited for.
            unsafe { kill(child.id() as i32, signal as i32) };
        }
    }

    pub fn is_in_rotation(&self) -> bool {
        self.is_in_rotation.load(Ordering::Relaxed)
    }

    /// Returns the lines of the log that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    fn check_readiness(&self) {
        let ready = SocketAddr::from((*self.data.ip(), self.data.port() + 1));
        let (is_in_rotation, has_ended) = (self.is_in_rotation.clone(), self.has_ended.clone());
        thread::spawn(move || {
            let mut misses = 0;
            while !has_ended.load(Ordering::Relaxed) {
                let begun_at = Instant::now();
                if is_ready(ready) {
                    misses = 0;
                    is_in_rotation.store(true, Ordering::Relaxed);
                } else {
                    misses += 1;
                    if misses >= MISSES {
                        is_in_rotation.store(false, Ordering::Relaxed);
                    }
                }
                thread::sleep(CHECK_PERIOD.saturating_sub(begun_at.elapsed()));
            }
        });
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::Relaxed);
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let check = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, CHECK_TIMEOUT)?;
        stream.set_read_timeout(Some(CHECK_TIMEOUT))?;
        stream.write_all(
            b"GET /banyanwharf/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
        )?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok(&head == b"HTTP/1.1 200")
    };
    check().unwrap_or(false)
}
