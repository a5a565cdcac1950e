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

/// How often targets are read and classes are decided.
const TICK: Duration = Duration::from_secs(1);

/// Readings that run at the same time.
const MAX_READINGS: usize = 32;

/// The part of the control budget for reports, in bytes a second.
const REPORT_RATE: f64 = 512.0;

/// The burst of reports in bytes. One report to each member of a region of 275 takes about 14 KB.
const REPORT_BURST: f64 = 32_768.0;

/// What the actor starts with.
pub(super) struct Arguments {
    /// The classes of the targets.
    pub(super) monitor: Monitor,
    /// The region whose members place flows.
    pub(super) region: Arc<str>,
    /// Reads endpoints.
    pub(super) endpoint: EndpointClient,
    /// Sends frames to members.
    pub(super) sender: Sender,
    /// The packet loop.
    pub(super) commands: mpsc::Sender<Command>,
    /// The view and the routes.
    pub(super) shared: Arc<Shared>,
    /// The daemon's own id.
    pub(super) own: crate::member::Id,
}

/// The actor that decides the classes of the targets.
pub(super) struct Targets;

/// The state of the actor.
pub(super) struct State {
    arguments: Arguments,
    budget: TokenBucket,
    readings: Arc<Semaphore>,
    reports: Vec<Report>,
}

impl Actor for Targets {
    type Msg = request::Targets;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        own: ActorRef<request::Targets>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        own.send_interval(TICK, || request::Targets::Tick);
        Ok(State {
            arguments,
            budget: TokenBucket::new(REPORT_RATE, REPORT_BURST, Instant::now()),
            readings: Arc::new(Semaphore::new(MAX_READINGS)),
            reports: Vec::new(),
        })
    }

    async fn handle(
        &self,
        own: ActorRef<request::Targets>,
        request: request::Targets,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let now = Instant::now();
        match request {
            request::Targets::Tick => state.tick(now, &own).await,
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
    async fn tick(&mut self, now: Instant, own: &ActorRef<request::Targets>) {
        let view = self.arguments.shared.view.load_full();
        self.read(&view, own);
        self.report(now, &view);
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

    /// Starts to read the targets that this daemon is the reader of.
    fn read(&self, view: &View, own: &ActorRef<request::Targets>) {
        let routes = self.arguments.shared.routes.load_full();
        for target in routes.targets() {
            if target.health.is_none() && target.load.is_none() {
                continue;
            }
            if !self.arguments.monitor.is_reader(view, &self.arguments.region, target) {
                continue;
            }
            let Ok(permit) = self.readings.clone().try_acquire_owned() else {
                return;
            };
            let endpoint = self.arguments.endpoint.clone();
            let (id, health, load) = (target.id, target.health.clone(), target.load.clone());
            let own = own.clone();
            tokio::spawn(async move {
                let reading = read(&endpoint, health.as_deref(), load.as_deref()).await;
                drop(permit);
                let _ = own.cast(request::Targets::Read(id, reading));
            });
        }
    }

    /// Sends the reports that are due to the members of the region, within the budget.
    fn report(&mut self, now: Instant, view: &View) {
        let reports = std::mem::take(&mut self.reports);
        if reports.is_empty() {
            return;
        }
        for (id, member) in view.iter() {
            let is_live = matches!(member.status, Status::Alive | Status::Suspect);
            if id == self.arguments.own || !is_live || member.info.region != self.arguments.region {
                continue;
            }
            if !self.budget.take(now, 0.0) {
                return;
            }
            let sent = self.arguments.sender.send(member.info.peer, Body::Load(reports.clone()));
            self.budget.force(now, sent as f64);
        }
    }
}

/// Reads a target's endpoints. An endpoint that does not answer counts as unhealthy.
async fn read(endpoint: &EndpointClient, health: Option<&str>, load: Option<&str>) -> Reading {
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
