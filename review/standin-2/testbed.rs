//! A small deployment on loopback addresses: store, daemons, backends, routers and clients.

use std::{
    env, fs,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
    path::PathBuf,
    process,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    backend::{self, Backend},
    client::Client,
    daemon::{Daemon, Fields},
    link,
    record::Record,
    router::Router,
    store::Store,
};

pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// `graceS` of the small deployments.
pub const GRACE: Duration = Duration::from_secs(6);
/// The port of the metrics in the template.
const METRICS_PORT: u16 = 9464;
/// The service address of the main route. It only stands in packet headers.
pub const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 200, 0, 1), 8443);

/// The machines of a deployment, by zone.
pub struct Plan {
    pub daemons: Vec<&'static str>,
    pub backends: Vec<&'static str>,
    pub clients: Vec<&'static str>,
    /// The rate of the links between daemons and store, in Mbit/s.
    pub link_mbps: Option<f64>,
    /// The number of backends, the last ones, that are not started at first.
    pub later_backends: usize,
    /// How long a start leaves a backend cold.
    pub cold_for: Duration,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            daemons: vec!["za", "za"],
            backends: vec!["za", "za"],
            clients: vec!["za"],
            link_mbps: None,
            later_backends: 0,
            cold_for: Duration::ZERO,
        }
    }
}

pub struct Testbed {
    pub store: Arc<Store>,
    pub daemons: Vec<Daemon>,
    pub backends: Vec<Arc<Backend>>,
    pub clients: Vec<Arc<Client>>,
    pub router: Arc<Router>,
    pub record: Arc<Record>,
    folder: PathBuf,
}

impl Testbed {
    /// Starts all machines and waits until every daemon is in rotation.
    pub fn start(plan: &Plan, config: &str, record: &Arc<Record>) -> Result<Testbed> {
        let folder = env::temp_dir().join(format!("banyanwharf-review-2-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let network = free_network(plan.daemons.len())?;
        let ip = |kind: u8, index: usize| Ipv4Addr::new(127, network, kind, 10 + index as u8);
        let store = Store::start(SocketAddr::from((ip(0, 0), 0)))?;
        store.put("op/config", config.as_bytes());
        let mut backends = Vec::new();
        for (index, zone) in plan.backends.iter().enumerate() {
            let config = backend::Config {
                number: 0x7f3a_9100 + index as u64,
                service: "board",
                zone,
                address: SocketAddrV4::new(ip(2, index), free_port(ip(2, index))?),
                client_port: 0,
                heartbeat: HEARTBEAT,
                cold_for: plan.cold_for,
            };
            backends.push(config);
        }
        let first = ip(1, 0);
        let ports = [free_port(first)?, free_port(first)?, free_port(first)?, free_port(first)?];
        let [data_port, ready_port, control_port, peer_port] = ports;
        let mut zones: Vec<&'static str> = plan.daemons.clone();
        zones.dedup();
        let seeds =
            (0..plan.daemons.len().min(3)).map(|index| format!("{}:{control_port}", ip(1, index)));
        let seeds: Vec<String> = seeds.collect();
        let mut daemons = Vec::new();
        for (index, zone) in plan.daemons.iter().enumerate() {
            let platform = match plan.link_mbps {
                Some(mbps) => {
                    link::start(SocketAddr::from((ip(1, index), 0)), store.address(), mbps)?
                }
                None => store.address(),
            };
            let fields = Fields {
                name: format!("front-{zone}-{index}"),
                zone,
                zones: zones.clone(),
                ip: ip(1, index),
                data_port,
                ready_port,
                control_port,
                peer_port,
                platform: platform.to_string(),
                seeds: seeds.clone(),
                grace_s: GRACE.as_secs().to_string(),
            };
            daemons.push(Daemon::new(fields, &folder, record.clone()));
        }
        let addresses = daemons.iter().map(|daemon| {
            let fields = &daemon.fields;
            (fields.zone, fields.address(data_port), fields.address(ready_port))
        });
        let router = Router::start(addresses.collect());
        let mut clients = Vec::new();
        for (index, zone) in plan.clients.iter().enumerate() {
            let address = SocketAddrV4::new(ip(3, index), data_port);
            clients.push(Client::start(address, zone, router.clone(), record.clone())?);
        }
        let backends: Vec<Arc<Backend>> = backends
            .into_iter()
            .map(|config| backend::Config { client_port: data_port, ..config })
            .map(|config| Backend::new(config, store.clone(), record.clone()))
            .collect();
        let mut testbed =
            Testbed { store, daemons, backends, clients, router, record: record.clone(), folder };
        for backend in &testbed.backends[..plan.backends.len() - plan.later_backends] {
            backend.start(Duration::ZERO)?;
        }
        thread::sleep(Duration::from_millis(100));
        for daemon in &mut testbed.daemons {
            daemon.start()?;
        }
        for index in 0..testbed.daemons.len() {
            if !testbed.wait_for_rotation(index, Duration::from_secs(15)) {
                for line in testbed.daemons[index].log_lines(&[""], 5) {
                    record.add(format!("log of {}: {line}", testbed.daemons[index].fields.name));
                }
                return Err("a daemon is not ready 15 s after its start".into());
            }
        }
        record.add("all daemons are in rotation");
        Ok(testbed)
    }

    /// Waits until a daemon is in rotation; returns false if it is not within `time`.
    pub fn wait_for_rotation(&self, index: usize, time: Duration) -> bool {
        let until = Instant::now() + time;
        while !self.router.is_in_rotation(index) {
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Publishes a configuration; the return is the store's acknowledgement.
    pub fn publish(&self, version: u64, config: &str) {
        let revision = self.store.put("op/config", config.as_bytes());
        self.record.add(format!(
            "configuration {version} is acknowledged: {} bytes, revision {revision}",
            config.len()
        ));
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the second byte of the loopback addresses. Each machine has an address of its own, and runs
/// beside each other use other ones: the metrics port of the template is the same everywhere.
fn free_network(daemons: usize) -> Result<u8> {
    let first = process::id() % 90;
    let is_free = |network: &u8| {
        (0..daemons as u8).all(|index| {
            TcpListener::bind((Ipv4Addr::new(127, *network, 1, 10 + index), METRICS_PORT)).is_ok()
        })
    };
    let mut networks = (0..90).map(|offset| 100 + ((first + offset) % 90) as u8);
    networks.find(is_free).ok_or_else(|| "no free loopback addresses".into())
}

/// Returns a port that is free for UDP and TCP at an address. Each call returns another one.
fn free_port(ip: Ipv4Addr) -> Result<u16> {
    static USED: Mutex<Vec<(Ipv4Addr, u16)>> = Mutex::new(Vec::new());
    for _ in 0..100 {
        let socket = UdpSocket::bind((ip, 0))?;
        let port = socket.local_addr()?.port();
        let mut used = USED.lock().unwrap();
        if TcpListener::bind((ip, port)).is_ok()
            && !used.contains(&(ip, port))
            && port != METRICS_PORT
        {
            used.push((ip, port));
            return Ok(port);
        }
    }
    Err("no free port".into())
}

/// Returns a configuration with the main route and `idle` further routes.
pub fn config(version: u64, idle: usize) -> String {
    config_with_rate(version, idle, 0.0)
}

/// Returns a configuration whose service has cold backends that bear `rate` requests a second.
pub fn config_with_rate(version: u64, idle: usize, rate: f64) -> String {
    let route = |name: &str, host: Ipv4Addr, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{host}\",\"prefix\":\"/8443/\",\"routeType\":\"{kind}\",\
             \"timeoutMs\":8000,\"targetLatencyMs\":500,\"priority\":2,\"service\":\"board\",\"attempts\":2}}"
        )
    };
    let mut routes = vec![route("r-main", *SERVICE.ip(), "download")];
    for index in 0..idle {
        routes.push(route(
            &format!("r-idle{index:05}"),
            idle_service(index).ip().to_owned(),
            "safe",
        ));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"board\",\"healthPath\":\"/health\",\
         \"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":2.0,\"warmupPerS\":{rate:.1}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// Returns the service address of an idle route.
pub fn idle_service(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 201, (index / 250) as u8, (index % 250) as u8 + 1), 8443)
}
