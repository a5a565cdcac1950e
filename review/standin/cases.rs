use std::{
    collections::HashMap,
    fs,
    net::{Ipv4Addr, SocketAddrV4},
    path::{Path, PathBuf},
    sync::atomic::Ordering,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    backend::Backend,
    client::{Clients, Habit},
    daemon::{BACKEND, Daemon, Router, free_port},
    record::Record,
    store::Store,
};

/// The address and port of the route.
const SERVICE: (Ipv4Addr, u16) = (Ipv4Addr::new(127, 0, 100, 1), 443);

/// `stabilityMs` of the sites.
const STABILITY: Duration = Duration::from_millis(4000);
/// `drainMs` of the sites.
const DRAIN: Duration = Duration::from_millis(3000);

/// The age of stale reads where it is not the point of a case.
const USUAL_LAG: Duration = Duration::from_millis(800);

/// A folder that is removed at the end of the run.
struct Folder(PathBuf);

impl Folder {
    fn create() -> Result<Folder, String> {
        let path = std::env::temp_dir().join(format!("banyanwharf-review-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|error| format!("temporary folder: {error}"))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_some() {
            println!("logs are in {}", self.0.display());
        } else {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Returns the service address of route `number`.
fn route(number: u16) -> (Ipv4Addr, u16) {
    (SERVICE.0, SERVICE.1 + number)
}

/// The configuration `version` with one service, to which `routes` routes lead.
fn config(version: u16, routes: u16, warmup_per_s: f64) -> String {
    let routes: Vec<String> = (0..routes)
        .map(|number| {
            let (host, port) = route(number);
            format!(
                "{{\"name\":\"r-{number}\",\"host\":\"{host}\",\"prefix\":\"/{port}/\",\
                 \"routeType\":\"safe\",\"timeoutMs\":2500,\"targetLatencyMs\":120,\
                 \"priority\":2,\"service\":\"web\",\"attempts\":2}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"web\",\
         \"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false,\
         \"warmupS\":2.0,\"warmupPerS\":{warmup_per_s:.1}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// A small deployment.
struct Site {
    folder: Folder,
    record: Record,
    store: Store,
    port: u16,
    router: Router,
    backends: Vec<Backend>,
    next_backend: u64,
}

impl Site {
    fn start(folder: &Path, stale_lags: &[Duration], warmup_per_s: f64) -> Result<Site, String> {
        let record = Record::create(&folder.join("record.txt"))?;
        let store = Store::start(stale_lags)?;
        store.put("op/config", &config(1, 1, warmup_per_s));
        let port = free_port(u64::from(std::process::id()))?;
        let router = Router::new(&record);
        let folder = Folder::create()?;
        Ok(Site { folder, record, store, port, router, backends: Vec::new(), next_backend: 0 })
    }

    fn add_backend(&mut self, zone: &str, warmup: Duration) -> Result<Backend, String> {
        self.next_backend += 1;
        let index = self.next_backend;
        let ip = Ipv4Addr::new(127, 0, 5, index as u8);
        let backend = Backend::start(
            0x7f3a_9000 + index,
            SocketAddrV4::new(ip, self.port + BACKEND),
            ("web", zone),
            self.port,
            warmup,
            &self.store,
            &self.record,
        )?;
        self.backends.push(backend.clone());
        Ok(backend)
    }

    fn daemon(&self, number: u8, zone: &str, seeds: &[u8]) -> Result<Daemon, String> {
        Daemon::new(number, zone, self.port, seeds, &self.store, &self.folder.0, &self.record)
    }

    fn clients(&self, number: u8, habit: Habit) -> Result<Clients, String> {
        self.clients_of(number, SERVICE, habit, &self.router)
    }

    fn clients_of(
        &self,
        number: u8,
        service: (Ipv4Addr, u16),
        habit: Habit,
        router: &Router,
    ) -> Result<Clients, String> {
        let address = SocketAddrV4::new(Ipv4Addr::new(127, 0, 9, number), self.port);
        let seed = u64::from(std::process::id()) << 8 | u64::from(number);
        Clients::start(address, service, habit, router, &self.record, seed)
    }
}

fn finish(site: &Site, clients: &mut [Clients], broken: usize) -> Result<usize, String> {
    let (mut answered, mut failed) = (0, 0);
    for clients in clients {
        clients.stop();
        answered += clients.answered.load(Ordering::Relaxed);
        failed += clients.failed.load(Ordering::Relaxed);
    }
    site.record.line(&format!("answered {answered}, failed {failed}, rule broken {broken} times"));
    site.record.flush();
    println!("answered {answered}, failed {failed}");
    if answered == 0 {
        return Err("no request was answered".to_owned());
    }
    Ok(broken)
}

/// FLOW: a backend starts again under its id while the store is down.
pub fn restart(folder: &Path, has_trouble: bool) -> Result<usize, String> {
    let mut site = Site::start(folder, &[USUAL_LAG], 0.0)?;
    for _ in 0..8 {
        site.add_backend("zone-a", Duration::ZERO)?;
    }
    let mut daemons = Vec::new();
    for number in 1..=5 {
        daemons.push(site.daemon(number, "zone-a", &[1, 2, 3])?);
    }
    for daemon in &mut daemons {
        daemon.start()?;
        site.router.add(daemon.data);
    }
    for daemon in &daemons {
        daemon.wait_until_ready()?;
    }
    sleep(Duration::from_secs(5));
    let habit = Habit {
        flows: 640,
        pause: Duration::from_secs(4),
        lifetime: Duration::from_secs(6),
        open_interval: Duration::from_millis(2),
    };
    let mut clients = [site.clients(1, habit)?];
    sleep(Duration::from_secs(8));
    // When the store was last silent.
    let mut outages: Vec<(Instant, Instant)> = Vec::new();
    let mut starts: Vec<(u64, Instant)> = Vec::new();
    for round in 0..4 {
        if has_trouble {
            site.record.line("the store is silent");
            site.store.set_silent(true);
            let began_at = Instant::now();
            sleep(Duration::from_millis(300));
            let backend = &site.backends[round];
            backend.crash();
            sleep(Duration::from_millis(100));
            backend.restart();
            starts.push((backend.number, Instant::now()));
            sleep(Duration::from_millis(4100));
            site.store.set_silent(false);
            site.record.line("the store answers again");
            outages.push((began_at, Instant::now()));
        } else {
            sleep(Duration::from_millis(4500));
        }
        sleep(Duration::from_secs(17));
    }
    let ended = daemons.iter_mut().map(Daemon::has_ended).filter(|ended| *ended).count();
    if ended > 0 {
        site.record.line(&format!("{ended} daemons have ended"));
    }
    for clients in &mut clients {
        clients.stop();
    }
    let mut broken = 0;
    for reset in &clients[0].seen.lock().unwrap().resets {
        if !reset.is_of_system || !reset.was_open || !reset.is_in_window {
            continue;
        }
        let (ip, port) = reset.client;
        let holder = site.backends.iter().find(|backend| backend.holds(reset.client));
        let Some(holder) = holder else {
            site.record.line(&format!("{ip}:{port}: the backend does not hold the flow"));
            continue;
        };
        let is_core_stable = outages
            .iter()
            .all(|(began_at, ended_at)| reset.at < *began_at || reset.at >= *ended_at + STABILITY);
        let is_backend_calm = starts.iter().all(|(number, at)| {
            *number != holder.number || reset.at < *at || reset.at >= *at + STABILITY
        });
        let at = site.record.seconds(reset.at);
        site.record.line(&format!(
            "{ip}:{port} was reset by the system at {at:.3}, open at {}; core stable \
             {is_core_stable}, backend calm {is_backend_calm}",
            holder.id()
        ));
        broken += usize::from(is_core_stable && is_backend_calm);
    }
    finish(&site, &mut clients, broken)
}

/// Counts the opening packets that clients sent later than `drainMs` after the acknowledgement that
/// the backend which took them is draining.
fn count_late_openings(site: &Site, clients: &[Clients]) -> usize {
    let mut opened = HashMap::new();
    for clients in clients {
        opened.extend(clients.seen.lock().unwrap().opened.drain());
    }
    let mut broken = 0;
    for backend in &site.backends {
        let Some(since) = backend.draining_since() else {
            continue;
        };
        for opening in backend.openings() {
            let sent_at = opened.get(&opening.client).copied().unwrap_or(opening.at);
            if sent_at > since + DRAIN {
                broken += 1;
                let (ip, port) = opening.client;
                site.record.line(&format!(
                    "{ip}:{port} was sent {} ms after the acknowledgement that {} is draining, \
                     and reached it",
                    (sent_at - since).as_millis(),
                    backend.id()
                ));
            }
        }
    }
    broken
}

/// DRAIN: stale reads of the store are seconds old.
pub fn drain(folder: &Path, has_trouble: bool) -> Result<usize, String> {
    const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
    const BACKENDS: usize = 14;
    let lag = if has_trouble { Duration::from_secs(4) } else { USUAL_LAG };
    let mut site = Site::start(folder, &[lag], 0.0)?;
    for zone in ZONES {
        for _ in 0..BACKENDS {
            site.add_backend(zone, Duration::ZERO)?;
        }
    }
    let routers = ZONES.map(|_| Router::new(&site.record));
    let mut daemons = Vec::new();
    for number in 1..=6 {
        let zone = (number as usize - 1) / 2;
        let mut daemon = site.daemon(number, ZONES[zone], &[1, 3, 5])?;
        daemon.start()?;
        routers[zone].add(daemon.data);
        daemons.push(daemon);
    }
    for daemon in &daemons {
        daemon.wait_until_ready()?;
    }
    sleep(Duration::from_secs(8));
    let habit = Habit {
        flows: 50,
        pause: Duration::ZERO,
        lifetime: Duration::ZERO,
        open_interval: Duration::from_millis(6),
    };
    let mut clients = Vec::new();
    for (index, router) in routers.iter().enumerate() {
        clients.push(site.clients_of(index as u8 + 1, SERVICE, habit, router)?);
    }
    sleep(Duration::from_secs(2));
    // One backend of each zone drains and leaves, then nothing changes for a while.
    for round in 0..7 {
        for zone in 0..3 {
            site.backends[zone * BACKENDS + round].drain().ok_or("no acknowledgement")?;
        }
        sleep(Duration::from_secs(5));
        for zone in 0..3 {
            site.backends[zone * BACKENDS + round].leave();
        }
        sleep(Duration::from_millis(7900));
    }
    for clients in &mut clients {
        clients.stop();
    }
    let broken = count_late_openings(&site, &clients);
    finish(&site, &mut clients, broken)
}

/// FLOW: the pages of one read are of different age, while backends are added.
pub fn pages(folder: &Path, has_trouble: bool) -> Result<usize, String> {
    const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
    const BACKENDS: usize = 60;
    let lags = [Duration::from_millis(50), Duration::from_secs(1)];
    let mut site = Site::start(folder, if has_trouble { &lags } else { &[USUAL_LAG] }, 0.0)?;
    for index in 0..BACKENDS {
        site.add_backend(ZONES[index % 3], Duration::ZERO)?;
    }
    let routers = ZONES.map(|_| Router::new(&site.record));
    let mut daemons = Vec::new();
    for number in 1..=6 {
        let zone = (number as usize - 1) / 2;
        let mut daemon = site.daemon(number, ZONES[zone], &[1, 3, 5])?;
        daemon.start()?;
        routers[zone].add(daemon.data);
        daemons.push(daemon);
    }
    for daemon in &daemons {
        daemon.wait_until_ready()?;
    }
    sleep(Duration::from_secs(8));
    let habit = Habit {
        flows: 100,
        pause: Duration::from_millis(200),
        lifetime: Duration::from_secs(4),
        open_interval: Duration::from_millis(10),
    };
    let mut clients = Vec::new();
    for (index, router) in routers.iter().enumerate() {
        clients.push(site.clients_of(index as u8 + 1, SERVICE, habit, router)?);
    }
    sleep(Duration::from_secs(5));
    // Six backends are added over 2 s; later they drain and leave again.
    for _ in 0..8 {
        let first = site.backends.len();
        for index in 0..6 {
            site.add_backend(ZONES[index % 3], Duration::ZERO)?;
            sleep(Duration::from_millis(333));
        }
        sleep(Duration::from_secs(3));
        for backend in &site.backends[first..] {
            backend.drain().ok_or("no acknowledgement")?;
        }
        sleep(Duration::from_secs(5));
        for backend in &site.backends[first..] {
            backend.leave();
        }
        sleep(Duration::from_millis(500));
    }
    for clients in &mut clients {
        clients.stop();
    }
    let late = count_late_openings(&site, &clients);
    site.record.line(&format!("{late} openings at draining backends were late"));
    println!("{late} openings at draining backends were late (DRAIN)");
    let mut broken = 0;
    for clients in &clients {
        for reset in &clients.seen.lock().unwrap().resets {
            if !reset.is_of_system || !reset.was_open || !reset.is_in_window {
                continue;
            }
            let holder = site.backends.iter().find(|backend| backend.held(reset.client, reset.at));
            if let Some(holder) = holder {
                broken += 1;
                let ((ip, port), at) = (reset.client, site.record.seconds(reset.at));
                site.record.line(&format!(
                    "{ip}:{port} was reset by the system at {at:.3} through {:?}, open at {}",
                    reset.daemon,
                    holder.id()
                ));
            }
        }
    }
    finish(&site, &mut clients, broken)
}

/// FAILBACK: all daemons are killed while backends are replaced.
pub fn cold(folder: &Path, has_trouble: bool) -> Result<usize, String> {
    const WARMUP_PER_S: f64 = 10.0;
    const LIMIT: f64 = WARMUP_PER_S * 1.5 + 5.0;
    let warmup = Duration::from_secs(2);
    let mut site = Site::start(folder, &[USUAL_LAG], WARMUP_PER_S)?;
    for _ in 0..3 {
        site.add_backend("zone-a", Duration::ZERO)?;
    }
    let mut daemons = Vec::new();
    for number in 1..=8 {
        let zone = match number {
            7 => "zone-b",
            8 => "zone-c",
            _ => "zone-a",
        };
        daemons.push(site.daemon(number, zone, &[1, 7, 8])?);
    }
    for daemon in &mut daemons {
        daemon.start()?;
        if daemon.zone == "zone-a" {
            site.router.add(daemon.data);
        }
    }
    for daemon in &daemons {
        daemon.wait_until_ready()?;
    }
    sleep(Duration::from_secs(10));
    let long = Habit {
        flows: 600,
        pause: Duration::from_millis(600),
        lifetime: Duration::from_secs(20),
        open_interval: Duration::from_millis(2),
    };
    let fresh_flows = Habit {
        flows: 200,
        pause: Duration::ZERO,
        lifetime: Duration::ZERO,
        open_interval: Duration::from_millis(8),
    };
    let mut clients = [site.clients(1, long)?, site.clients(2, fresh_flows)?];
    sleep(Duration::from_secs(5));
    let mut fresh: Vec<Backend> = Vec::new();
    for round in 0..5 {
        if has_trouble {
            for daemon in &mut daemons {
                daemon.kill();
            }
            sleep(Duration::from_millis(1000));
            for daemon in &mut daemons {
                daemon.start()?;
            }
        }
        // A release: the new backend starts first, then the old one drains.
        fresh.push(site.add_backend("zone-a", warmup)?);
        sleep(Duration::from_millis(300));
        let old = site.backends[round].clone();
        old.drain();
        sleep(Duration::from_secs(8));
        old.leave();
        sleep(Duration::from_secs(6));
    }
    for clients in &mut clients {
        clients.stop();
    }
    let mut opened = HashMap::new();
    for clients in &clients {
        opened.extend(clients.seen.lock().unwrap().opened.drain());
    }
    let mut broken = 0;
    for backend in &fresh {
        let ends_at = backend.started_at() + warmup;
        let openings = backend.openings();
        let mut worst = 0;
        for (index, first) in openings.iter().enumerate() {
            let sent_after = opened.get(&first.client).copied().unwrap_or(first.at);
            let until = sent_after + Duration::from_secs(1);
            let inside = openings[index..]
                .iter()
                .filter(|opening| {
                    opening.at < ends_at
                        && opening.at <= until
                        && opened.get(&opening.client).is_some_and(|at| *at >= sent_after)
                })
                .count();
            worst = worst.max(inside);
        }
        let has_broken = worst as f64 > LIMIT;
        broken += usize::from(has_broken);
        site.record.line(&format!(
            "cold backend {}: at most {worst} openings in one second, limit {LIMIT}",
            backend.id()
        ));
        println!("cold backend {}: {worst} in one second, limit {LIMIT}", backend.id());
    }
    finish(&site, &mut clients, broken)
}

/// FLOW: routes are added while the daemons are stopped and started in turn.
pub fn new_route(folder: &Path, has_trouble: bool) -> Result<usize, String> {
    let mut site = Site::start(folder, &[USUAL_LAG], 0.0)?;
    for _ in 0..4 {
        site.add_backend("zone-a", Duration::ZERO)?;
    }
    let mut daemons = Vec::new();
    for number in 1..=5 {
        daemons.push(site.daemon(number, "zone-a", &[1, 2, 3])?);
    }
    for daemon in &mut daemons {
        daemon.start()?;
        site.router.add(daemon.data);
    }
    for daemon in &daemons {
        daemon.wait_until_ready()?;
    }
    sleep(Duration::from_secs(8));
    let habit = Habit {
        flows: 30,
        pause: Duration::from_millis(100),
        lifetime: Duration::from_secs(5),
        open_interval: Duration::from_millis(8),
    };
    let mut old = vec![site.clients(1, habit)?];
    let mut new: Vec<Clients> = Vec::new();
    let mut broken = 0;
    let mut routes = 1;
    for round in 0..17 {
        let leaving = round % daemons.len();
        if has_trouble {
            daemons[leaving].terminate();
        }
        // The operator adds a route each 0.33 s for 2 s, and clients use each from then on.
        let mut added: Vec<Clients> = Vec::new();
        for _ in 0..6 {
            let service = route(routes);
            routes += 1;
            site.record.line(&format!("the operator adds the route {service:?}"));
            site.store.put("op/config", &config(routes, routes, 0.0));
            added.push(site.clients_of(routes as u8, service, habit, &site.router)?);
            sleep(Duration::from_millis(330));
        }
        sleep(Duration::from_millis(900));
        for mut clients in added {
            clients.stop();
            for reset in &clients.seen.lock().unwrap().resets {
                let holder = site.backends.iter().find(|backend| backend.holds(reset.client));
                if let Some(holder) = holder
                    && reset.is_of_system
                    && reset.was_open
                    && reset.is_in_window
                {
                    broken += 1;
                    let ((ip, port), at) = (reset.client, site.record.seconds(reset.at));
                    site.record.line(&format!(
                        "{ip}:{port} was reset by the system at {at:.3} through {:?}, open at {}",
                        reset.daemon,
                        holder.id()
                    ));
                }
            }
            new.push(clients);
        }
        if has_trouble {
            daemons[leaving].wait_for_end();
            daemons[leaving].start()?;
            daemons[leaving].wait_until_ready()?;
        }
        sleep(Duration::from_millis(1800));
    }
    new.append(&mut old);
    finish(&site, &mut new, broken)
}
