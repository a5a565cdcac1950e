use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use log::{info, warn};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::mpsc;

use crate::{
    node::{
        command::Command,
        request::{self, Summary},
        shared::Shared,
        state_snapshot::{RemainingQuarantine, StateSnapshot},
    },
    route::{Compiler, QUARANTINE_PERIOD},
    spread::{Action, Disseminator},
    ticket::{self, Content, Item, Number, State},
    wire::{Body, Sender},
};

/// The interval between two ticks of the ticket dissemination.
const TICK: Duration = Duration::from_millis(100);

/// The number of refused tickets that are kept for the admin API.
const MAX_REFUSED: usize = 64;

/// The arguments of the actor.
pub(super) struct Arguments {
    /// Disseminates tickets between the members.
    pub(super) disseminator: Disseminator,
    /// The ticket state, empty at the start.
    pub(super) state: State,
    /// Sends frames to members.
    pub(super) sender: Sender,
    /// Sends commands to the packet loop.
    pub(super) commands: mpsc::Sender<Command>,
    /// The published values; the actor publishes the route table.
    pub(super) shared: Arc<Shared>,
    /// Receives a message when the state is confirmed.
    pub(super) coordinator: ActorRef<request::Coordinator>,
}

/// The actor that holds the ticket state and compiles the route table.
pub(super) struct Tickets;

/// The state of the actor.
pub(super) struct ActorState {
    arguments: Arguments,
    compiler: Compiler,
    recompile_at: Option<Instant>,
    is_confirming: bool,
    actions: Vec<Action>,
    refused: Vec<(Option<Number>, Arc<str>)>,
}

impl Actor for Tickets {
    type Msg = request::Tickets;
    type State = ActorState;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<request::Tickets>,
        arguments: Arguments,
    ) -> Result<ActorState, ActorProcessingErr> {
        myself.send_interval(TICK, || request::Tickets::Tick);
        Ok(ActorState {
            arguments,
            compiler: Compiler::new(),
            recompile_at: None,
            is_confirming: false,
            actions: Vec::new(),
            refused: Vec::new(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<request::Tickets>,
        request: request::Tickets,
        state: &mut ActorState,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(Instant::now(), request).await;
        Ok(())
    }
}

impl ActorState {
    async fn handle(&mut self, now: Instant, request: request::Tickets) {
        let Arguments { disseminator, state, .. } = &mut self.arguments;
        let mut is_changed = false;
        match request {
            request::Tickets::Tick => self.tick(now),
            request::Tickets::Received { from, message } => {
                disseminator.on_message(now, from, message, state, &mut self.actions);
            }
            request::Tickets::Published(texts) => self.apply_published(now, &texts),
            request::Tickets::Merge(snapshot) => {
                let quarantines = snapshot.quarantines.into_iter();
                let quarantines =
                    quarantines.map(|remaining| remaining.quarantine(now, QUARANTINE_PERIOD));
                self.compiler.merge_quarantines(quarantines.collect());
                let merged = state.merge_snapshot(now, snapshot.snapshot);
                for invalid in &merged.invalid {
                    warn!("invalid object in the snapshot of a peer is ignored: {invalid}");
                }
                is_changed = true;
            }
            request::Tickets::Confirm => {
                disseminator.confirm(now, state, &mut self.actions);
                self.is_confirming = true;
            }
            request::Tickets::Snapshot(reply) => {
                let quarantines = self.compiler.quarantines(now);
                let remaining =
                    quarantines.iter().map(|quarantine| RemainingQuarantine::new(now, quarantine));
                let snapshot =
                    StateSnapshot { snapshot: state.snapshot(), quarantines: remaining.collect() };
                let _ = reply.send(snapshot);
            }
            request::Tickets::Summary(reply) => {
                let _ = reply.send(self.summary());
            }
        }
        is_changed |= self.run_actions();
        if is_changed || self.recompile_at.is_some_and(|at| now >= at) {
            self.compile_routes(now).await;
        }
        if self.is_confirming && self.arguments.disseminator.is_confirmed(now) {
            self.is_confirming = false;
            let _ = self.arguments.coordinator.cast(request::Coordinator::StateConfirmed);
        }
    }

    fn tick(&mut self, now: Instant) {
        let Arguments { disseminator, state, shared, .. } = &mut self.arguments;
        let view = shared.view.load();
        disseminator.on_tick(now, &view, state, &mut self.actions);
        let is_reader = disseminator.is_reader(&view);
        shared.is_reader.send_if_modified(|value| std::mem::replace(value, is_reader) != is_reader);
    }

    /// Applies tickets from the platform. A ticket that cannot be parsed is refused; the others are
    /// still applied.
    fn apply_published(&mut self, now: Instant, texts: &[Arc<str>]) {
        let mut tickets = Vec::new();
        for text in texts {
            match ticket::parse("platform", text) {
                Ok(ticket) => tickets.push(ticket),
                Err(error) => self.record_refusal(ticket_number(text), error.to_string().into()),
            }
        }
        let Arguments { disseminator, state, .. } = &mut self.arguments;
        disseminator.on_published(now, tickets, state, &mut self.actions);
    }

    /// Carries out the pending actions and returns whether the ticket state has changed.
    fn run_actions(&mut self) -> bool {
        let mut is_changed = false;
        let view = self.arguments.shared.view.load_full();
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send { to, message } => {
                    if let Some(member) = view.get(to) {
                        self.arguments.sender.send(member.info.peer, Body::Spread(message));
                    }
                }
                Action::Changed { .. } => is_changed = true,
                Action::InForce(number) => info!("ticket {number} is in force"),
                Action::Refused(refusal) => {
                    self.record_refusal(Some(refusal.number()), refusal.to_string().into());
                }
                Action::Invalid(invalid) => {
                    for invalid in invalid {
                        warn!("invalid object from another member is ignored: {invalid}");
                    }
                }
            }
        }
        is_changed
    }

    fn record_refusal(&mut self, number: Option<Number>, reason: Arc<str>) {
        let refused = (number, reason);
        if self.refused.contains(&refused) {
            return;
        }
        warn!(
            "ticket {} is refused: {}",
            refused.0.map_or("?".into(), |n| n.to_string()),
            refused.1
        );
        if self.refused.len() >= MAX_REFUSED {
            self.refused.remove(0);
        }
        self.refused.push(refused);
    }

    async fn compile_routes(&mut self, now: Instant) {
        let compilation = self.compiler.compile(now, &self.arguments.state);
        for issue in &compilation.issues {
            warn!("objects in force clash: {issue}");
        }
        self.recompile_at = compilation.recompile_at;
        let shared = &self.arguments.shared;
        shared.routes.store(compilation.table.clone());
        let zones_out = self.arguments.state.zones_out().cloned().collect();
        shared.zones_out.store(Arc::new(zones_out));
        let command = Command::SetRoutes(compilation.table);
        if self.arguments.commands.send(command).await.is_err() {
            warn!("packet loop has ended; it does not receive the new routes");
        }
    }

    fn summary(&self) -> Summary {
        let state = &self.arguments.state;
        let hashes = state.summary();
        let zones = state.items_in_force().filter_map(|item| match &*item.content {
            Content::Zone(zone) => Some((zone.name.clone(), (item.number, zone.state))),
            _ => None,
        });
        let object = |item: &Item| (item.number, item.content.object().to_string().into());
        Summary {
            history: state.history().clone(),
            digest: format!("{:016x}{:016x}", hashes.root, hashes.history).into(),
            highest: state.history().applied.last(),
            objects: state.items_in_force().map(object).collect(),
            refused: self.refused.clone(),
            zones: zones.collect(),
        }
    }
}

/// Returns the number of a ticket whose other fields may be invalid.
fn ticket_number(text: &str) -> Option<Number> {
    serde_json::from_str::<serde_json::Value>(text).ok()?.get("number")?.as_u64()
}
