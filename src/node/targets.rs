use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use log::info;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::{Semaphore, mpsc};

use crate::{
    load::{Class, Monitor, Reading, Report},
    member::{Status, View},
    node::{command::Command, request, shared::Shared},
    platform::{EndpointClient, Health},
    util::TokenBucket,
    wire::{Body, Sender},
};

/// The interval at which targets are read and load classes are decided.
const TICK: Duration = Duration::from_secs(1);

/// The largest number of targets that are read at the same time.
const MAX_CONCURRENT_READINGS: usize = 32;

/// The share of the control traffic budget for load reports.
const REPORT_BYTES_PER_SECOND: f64 = 512.0;

/// The burst size for load reports. One report to each member of a region with 275 members takes
/// about 14 KB.
const REPORT_BURST_BYTES: f64 = 32_768.0;

/// The arguments of the actor.
pub(super) struct Arguments {
    /// Decides the load classes of the targets.
    pub(super) monitor: Monitor,
    /// The region whose members place flows.
    pub(super) region: Arc<str>,
    /// Reads the health and load endpoints.
    pub(super) endpoint: EndpointClient,
    /// Sends frames to members.
    pub(super) sender: Sender,
    /// Sends commands to the packet loop.
    pub(super) commands: mpsc::Sender<Command>,
    /// The published values; the actor publishes the load classes.
    pub(super) shared: Arc<Shared>,
    /// The daemon's own member id.
    pub(super) own_id: crate::member::Id,
}

/// The actor that reads targets, exchanges load reports and decides the load classes.
pub(super) struct Targets;

/// The state of the actor.
pub(super) struct State {
    arguments: Arguments,
    report_budget: TokenBucket,
    reading_permits: Arc<Semaphore>,
    reports: Vec<Report>,
}

impl Actor for Targets {
    type Msg = request::Targets;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<request::Targets>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        myself.send_interval(TICK, || request::Targets::Tick);
        Ok(State {
            arguments,
            report_budget: TokenBucket::new(
                REPORT_BYTES_PER_SECOND,
                REPORT_BURST_BYTES,
                Instant::now(),
            ),
            reading_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_READINGS)),
            reports: Vec::new(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<request::Targets>,
        request: request::Targets,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = Instant::now();
        match request {
            request::Targets::Tick => state.tick(now, &myself).await,
            request::Targets::Read(target, reading) => {
                let report = state.arguments.monitor.on_reading(now, target, &reading);
                state.reports.extend(report);
            }
            request::Targets::Reports(reports) => {
                for report in &reports {
                    state.arguments.monitor.on_report(now, report);
                }
            }
            request::Targets::Observed(observations) => {
                for (target, observation) in observations {
                    state.arguments.monitor.on_observation(now, target, observation);
                }
            }
        }
        Ok(())
    }
}

impl State {
    async fn tick(&mut self, now: Instant, myself: &ActorRef<request::Targets>) {
        let view = self.arguments.shared.view.load_full();
        self.start_readings(&view, myself);
        self.send_reports(now, &view);
        let routes = self.arguments.shared.routes.load_full();
        let changes = self.arguments.monitor.take_changes(now, &routes);
        if changes.is_empty() {
            return;
        }
        for change in &changes {
            if let Some(target) = routes.target(change.target) {
                info!("target {} is {:?}", target.name, change.class);
            }
        }
        let monitor = &self.arguments.monitor;
        let classes = routes.targets().map(|target| (target.id, monitor.class(target.id)));
        let classes = classes.filter(|(_, class)| *class != Class::Normal).collect();
        self.arguments.shared.classes.store(Arc::new(classes));
        let _ = self.arguments.commands.send(Command::SetClasses(changes)).await;
    }

    /// Starts reading the endpoints of the targets that are assigned to this daemon.
    fn start_readings(&self, view: &View, myself: &ActorRef<request::Targets>) {
        let routes = self.arguments.shared.routes.load_full();
        for target in routes.targets() {
            if target.health.is_none() && target.load.is_none() {
                continue;
            }
            if !self.arguments.monitor.is_reader(view, &self.arguments.region, target) {
                continue;
            }
            let Ok(permit) = self.reading_permits.clone().try_acquire_owned() else {
                return;
            };
            let endpoint = self.arguments.endpoint.clone();
            let (id, health, load) = (target.id, target.health.clone(), target.load.clone());
            let myself = myself.clone();
            tokio::spawn(async move {
                let reading = read_endpoints(&endpoint, health.as_deref(), load.as_deref()).await;
                drop(permit);
                let _ = myself.cast(request::Targets::Read(id, reading));
            });
        }
    }

    /// Sends the collected reports to the members of the region, within the rate limit.
    fn send_reports(&mut self, now: Instant, view: &View) {
        let reports = std::mem::take(&mut self.reports);
        if reports.is_empty() {
            return;
        }
        for (id, member) in view.iter() {
            let is_live = matches!(member.status, Status::Alive | Status::Suspect);
            if id == self.arguments.own_id
                || !is_live
                || member.info.region != self.arguments.region
            {
                continue;
            }
            if !self.report_budget.take(now, 0.0) {
                return;
            }
            let sent = self.arguments.sender.send(member.info.peer, Body::Load(reports.clone()));
            self.report_budget.debit(now, sent as f64);
        }
    }
}

/// Reads the endpoints of a target. An endpoint that does not answer counts as unhealthy.
async fn read_endpoints(
    endpoint: &EndpointClient,
    health: Option<&str>,
    load: Option<&str>,
) -> Reading {
    let mut reading = Reading::default();
    if let Some(url) = health {
        reading.healthy = Some(matches!(endpoint.health(url).await, Ok(Health::Healthy)));
    }
    if let Some(url) = load {
        match endpoint.load(url).await {
            Ok(load) => {
                reading.start = load.start;
                reading.busy = load.busy;
                reading.queued = load.queued;
                reading.slots = load.slots;
            }
            Err(_) => reading.healthy = Some(false),
        }
    }
    reading
}
