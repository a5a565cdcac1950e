use std::{
    net::{SocketAddr, UdpSocket},
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use log::info;
use ractor::{Actor, ActorRef};
use rand::RngExt as _;
use tokio::{sync::oneshot, task::AbortHandle};

use crate::{
    cookie::{Forwarder, Tuning},
    gateway::{
        Codec, Error, Result, Source, keeper, keeper::Keeper, metrics, packets::PacketLoop, reader,
        readiness, shared::Shared,
    },
    settings,
    telemetry::{Metrics, Server},
    util::Listener,
};

/// How long the fabric needs to send elsewhere: two misses at two checks a second, and one check
/// that was on its way.
const WITHDRAWAL: Duration = Duration::from_millis(1700);

/// A running daemon in gateway mode.
pub struct Gateway {
    settings: settings::Gateway,
    shared: Arc<Shared>,
    keeper: ActorRef<keeper::Request>,
    tasks: Vec<AbortHandle>,
    _ready: Listener,
    _scrape: Option<Server>,
    /// Ends the packet loop when it is dropped.
    _stop: oneshot::Sender<()>,
}

impl Gateway {
    /// Starts a daemon. It forwards packets when it has read configuration and targets;
    /// `ready_path` is the path at which the fabric asks.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be opened.
    pub async fn start(
        settings: settings::Gateway,
        source: impl Source,
        codec: impl Codec,
        ready_path: &'static str,
    ) -> Result<Gateway> {
        let tuning = tuning(&settings);
        let shared = Arc::new(Shared::default());
        let data = SocketAddr::V4(settings.data);
        let bind_error = |source| Error::Bind { name: "data", address: data, source };
        let socket = UdpSocket::bind(data).map_err(bind_error)?;
        socket.set_nonblocking(true).map_err(bind_error)?;
        let arguments = keeper::Arguments { tuning: tuning.clone(), shared: shared.clone() };
        let (keeper, _) = Actor::spawn(None, Keeper, arguments).await?;
        let packet_loop = PacketLoop {
            codec,
            forwarder: Forwarder::new(settings.zone.clone(), tuning),
            shared: shared.clone(),
            keeper: keeper.clone(),
            caller_port: settings.data.port(),
            socket,
        };
        let source = Arc::new(source);
        let mut random = rand::rng();
        let (seed, other) = (random.random(), random.random());
        let (stop, stopped) = oneshot::channel();
        packet_loop.spawn(stopped).map_err(Error::Thread)?;
        let tasks = [
            tokio::spawn(reader::targets(source.clone(), keeper.clone(), shared.clone(), seed)),
            tokio::spawn(reader::operator(source, keeper.clone(), shared.clone(), other)),
        ];
        let mut tasks: Vec<AbortHandle> =
            tasks.iter().map(tokio::task::JoinHandle::abort_handle).collect();
        let metrics = Metrics::new()?;
        let scrape = match settings.metrics {
            Some(address) => Some(metrics.serve(address).await?),
            None => None,
        };
        tasks.push(tokio::spawn(metrics::run(metrics, shared.clone())).abort_handle());
        let ready = readiness::serve(settings.ready, ready_path, shared.clone()).await?;
        info!(name = &*settings.name, zone = &*settings.zone; "daemon started");
        Ok(Gateway { settings, shared, keeper, tasks, _ready: ready, _scrape: scrape, _stop: stop })
    }

    /// Puts changed settings in force and returns the names of those that need a new start.
    pub fn reload(&mut self, settings: settings::Gateway) -> Vec<&'static str> {
        let former = &self.settings;
        let changed = [
            ("name", former.name != settings.name),
            ("zone", former.zone != settings.zone),
            ("data", former.data != settings.data),
            ("ready", former.ready != settings.ready),
            ("admin", former.admin != settings.admin),
            ("metrics", former.metrics != settings.metrics),
            ("peer", former.peer != settings.peer),
            ("platform", former.platform != settings.platform),
            ("flow_ttl_seconds", former.flow_ttl_seconds != settings.flow_ttl_seconds),
            ("cold_factor", former.cold_factor != settings.cold_factor),
            ("cold_slack", former.cold_slack != settings.cold_slack),
        ];
        self.settings.drain_seconds = settings.drain_seconds;
        self.settings.contacts = settings.contacts;
        self.settings.log = settings.log;
        changed.into_iter().filter(|(_, is_changed)| *is_changed).map(|(name, _)| name).collect()
    }

    /// Stops gracefully: the daemon says at once that it is not ready, and forwards packets until
    /// the fabric sends elsewhere.
    pub async fn stop(self) {
        self.shared.is_leaving.store(true, Ordering::Relaxed);
        let begun = Instant::now();
        let drain = Duration::from_secs(u64::from(self.settings.drain_seconds));
        tokio::time::sleep(WITHDRAWAL.min(drain)).await;
        info!(after_ms = begun.elapsed().as_millis() as u64; "daemon stops");
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        self.keeper.kill();
    }
}

fn tuning(settings: &settings::Gateway) -> Tuning {
    Tuning {
        cold_factor: settings.cold_factor,
        cold_slack: settings.cold_slack,
        gone_memory: Duration::from_secs(u64::from(settings.flow_ttl_seconds)),
        ..Tuning::default()
    }
}
