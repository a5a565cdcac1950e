use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    record::{Random, Record, mix},
    store::Store,
};

/// Offsets of a daemon's other ports from its data port.
const READY: u16 = 1;
const CONTROL: u16 = 2;
const INTERNAL: u16 = 3;
const METRICS: u16 = 4;
/// The offset of the port of backends.
pub const BACKEND: u16 = 5;

/// Returns a data port with which all ports of a run are free.
pub fn free_port(seed: u64) -> Result<u16, String> {
    let mut random = Random::new(seed);
    for _ in 0..200 {
        let port = 20_000 + (random.below(1_000) * 10) as u16;
        let is_free = (0..8).all(|offset| {
            let address = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, port + offset);
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        });
        if is_free {
            return Ok(port);
        }
    }
    Err("no free ports".to_owned())
}

/// A daemon process of the project.
pub struct Daemon {
    pub name: String,
    pub zone: String,
    pub data: SocketAddrV4,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Daemon {
    /// Writes the settings of a daemon, as the platform fills in the template of the deploy file.
    pub fn new(
        number: u8,
        zone: &str,
        port: u16,
        seeds: &[u8],
        store: &Store,
        folder: &Path,
        record: &Record,
    ) -> Result<Daemon, String> {
        let ip = Ipv4Addr::new(127, 0, 8, number);
        let name = format!("front-{zone}-{number}");
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("\"127.0.8.{seed}:{}\"", port + CONTROL)).collect();
        let settings = format!(
            "{{\"mode\":\"gateway\",\"name\":\"{name}\",\"region\":\"here\",\"zone\":\"{zone}\",\
             \"zones\":[\"zone-a\",\"zone-b\",\"zone-c\"],\
             \"data\":\"{ip}:{port}\",\"ready\":\"{ip}:{}\",\"admin\":\"{ip}:{}\",\
             \"peer\":\"{ip}:{}\",\"metrics\":\"{ip}:{}\",\"platform\":\"http://{}\",\
             \"contacts\":[{}],\
             \"keys\":[{{\"number\":1,\"key\":\"62616e79616e77686172660000000000676174657761790000000000000000ff\"}}],\
             \"drain_seconds\":6,\"flow_ttl_seconds\":60,\"cold_factor\":1.5,\"cold_slack\":5,\
             \"log\":{{\"format\":\"json\",\"stream\":\"stdout\"}}}}",
            port + READY,
            port + CONTROL,
            port + INTERNAL,
            port + METRICS,
            store.address,
            seeds.join(",")
        );
        let path = folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings).map_err(|error| format!("settings: {error}"))?;
        Ok(Daemon {
            log: folder.join(format!("{name}.log")),
            name,
            zone: zone.to_owned(),
            data: SocketAddrV4::new(ip, port),
            settings: path,
            child: None,
            record: record.clone(),
        })
    }

    pub fn start(&mut self) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| format!("log: {error}"))?;
        let mut command = Command::new("target/release/banyanwharfd");
        command.arg(&self.settings).stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
        let child = command.spawn().map_err(|error| format!("daemon: {error}"))?;
        self.record.line(&format!("daemon {} is started, process {}", self.name, child.id()));
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGTERM.
    pub fn terminate(&mut self) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
            self.record.line(&format!("daemon {} gets SIGTERM", self.name));
        }
    }

    /// Waits for the end of the process, and sends SIGKILL after `graceS`.
    pub fn wait_for_end(&mut self) {
        let deadline = Instant::now() + Duration::from_secs(6);
        while !self.has_ended() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("daemon {} is killed", self.name));
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|code| code.is_some()))
    }

    pub fn wait_until_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(15);
        while !is_ready(self.data) {
            if Instant::now() > deadline {
                return Err(format!("daemon {} does not become ready", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn is_ready(data: SocketAddrV4) -> bool {
    let address = SocketAddr::from((*data.ip(), data.port() + READY));
    let timeout = Duration::from_millis(400);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, timeout) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(timeout));
    let request = "GET /banyanwharf/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
    if stream.write_all(request.as_bytes()).is_err() {
        return false;
    }
    let mut head = [0; 12];
    stream.read_exact(&mut head).is_ok() && &head[9..] == b"200"
}

#[derive(Clone)]
struct Checked {
    data: SocketAddrV4,
    is_in_rotation: bool,
    misses: u32,
}

/// The platform's routers of one zone: daemons in rotation, with the hash `steady`.
#[derive(Clone)]
pub struct Router {
    daemons: Arc<Mutex<Vec<Checked>>>,
    record: Record,
}

impl Router {
    pub fn new(record: &Record) -> Router {
        Router { daemons: Arc::default(), record: record.clone() }
    }

    /// Checks a daemon twice a second from now on.
    pub fn add(&self, data: SocketAddrV4) {
        self.daemons.lock().unwrap().push(Checked { data, is_in_rotation: false, misses: 0 });
        let router = self.clone();
        thread::spawn(move || {
            loop {
                let started_at = Instant::now();
                let is_ready = is_ready(data);
                router.record_check(data, is_ready);
                thread::sleep(Duration::from_millis(500).saturating_sub(started_at.elapsed()));
            }
        });
    }

    fn record_check(&self, data: SocketAddrV4, is_ready: bool) {
        let mut daemons = self.daemons.lock().unwrap();
        let Some(daemon) = daemons.iter_mut().find(|daemon| daemon.data == data) else {
            return;
        };
        daemon.misses = if is_ready { 0 } else { daemon.misses + 1 };
        let is_in = is_ready || (daemon.is_in_rotation && daemon.misses < 2);
        if daemon.is_in_rotation != is_in {
            let verb = if is_in { "enters" } else { "leaves" };
            self.record.line(&format!("{data} {verb} the rotation"));
        }
        daemon.is_in_rotation = is_in;
    }

    /// Returns the daemon that gets the packets of a flow.
    pub fn daemon(
        &self,
        client: (Ipv4Addr, u16),
        service: (Ipv4Addr, u16),
    ) -> Option<SocketAddrV4> {
        let daemons = self.daemons.lock().unwrap();
        let count = daemons.iter().filter(|daemon| daemon.is_in_rotation).count();
        let use_all = count * 2 < daemons.len() && count > 0;
        let usable = daemons.iter().filter(|daemon| daemon.is_in_rotation || use_all);
        let flow = u64::from(client.0.to_bits()) << 16 | u64::from(client.1);
        let service = u64::from(service.0.to_bits()) << 16 | u64::from(service.1);
        usable
            .map(|daemon| daemon.data)
            .max_by_key(|data| mix(mix(flow ^ service << 7) ^ u64::from(data.ip().to_bits())))
    }
}
