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
        handoff::{Handoff, Remaining},
        request::{self, Summary},
        shared::Shared,
    },
    route::{Compiler, QUARANTINE_PERIOD},
    spread::{Action, Disseminator},
    ticket::{self, Content, Item, Number, State},
    wire::{Body, Sender},
};

/// How often the disseminator's timers run.
const TICK: Duration = Duration::from_millis(100);

/// The refused tickets that are kept for the API.
const MAX_REFUSED: usize = 64;

/// What the actor starts with.
pub(super) struct Arguments {
    /// The dissemination.
    pub(super) disseminator: Disseminator,
    /// The ticket state, empty at the start.
    pub(super) state: State,
    /// Sends frames to members.
    pub(super) sender: Sender,
    /// The packet loop.
    pub(super) commands: mpsc::Sender<Command>,
    /// Where the routes are published.
    pub(super) shared: Arc<Shared>,
    /// Hears that the state is confirmed.
    pub(super) coordinator: ActorRef<request::Coordinator>,
}

/// The actor that holds the ticket state.
pub(super) struct Tickets;

/// The state of the actor.
pub(super) struct Inner {
    arguments: Arguments,
    compiler: Compiler,
    recompile_at: Option<Instant>,
    is_confirming: bool,
    actions: Vec<Action>,
    refused: Vec<(Option<Number>, Arc<str>)>,
}

impl Actor for Tickets {
    type Msg = request::Tickets;
    type State = Inner;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        own: ActorRef<request::Tickets>,
        arguments: Arguments,
    ) -> Result<Inner, ActorProcessingErr> {
        own.send_interval(TICK, || request::Tickets::Tick);
        Ok(Inner {
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
        _own: ActorRef<request::Tickets>,
        request: request::Tickets,
        state: &mut Inner,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(Instant::now(), request).await;
        Ok(())
    }
}

impl Inner {
    async fn handle(&mut self, now: Instant, request: request::Tickets) {
        let Arguments { disseminator, state, .. } = &mut self.arguments;
        let mut is_changed = false;
        match request {
            request::Tickets::Tick => self.tick(now),
            request::Tickets::Received { from, message } => {
                disseminator.on_message(now, from, message, state, &mut self.actions);
            }
            request::Tickets::Published(texts) => self.publish(now, &texts),
            request::Tickets::Merge(handoff) => {
                let quarantines = handoff.quarantines.into_iter();
                let quarantines = quarantines.map(|left| left.quarantine(now, QUARANTINE_PERIOD));
                self.compiler.merge_quarantines(quarantines.collect());
                let merged = state.merge_snapshot(now, handoff.snapshot);
                for invalid in &merged.invalid {
                    warn!("snapshot of another member has an invalid object: {invalid}");
                }
                is_changed = true;
            }
            request::Tickets::Confirm => {
                disseminator.confirm(now, state, &mut self.actions);
                self.is_confirming = true;
            }
            request::Tickets::Snapshot(reply) => {
                let quarantines = self.compiler.quarantines(now);
                let left = quarantines.iter().map(|quarantine| Remaining::new(now, quarantine));
                let handoff = Handoff { snapshot: state.snapshot(), quarantines: left.collect() };
                let _ = reply.send(handoff);
            }
            request::Tickets::Summary(reply) => {
                let _ = reply.send(self.summary());
            }
        }
        is_changed |= self.act();
        if is_changed || self.recompile_at.is_some_and(|at| now >= at) {
            self.compile(now).await;
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

    /// Applies tickets of the platform. One that cannot be parsed is refused without the others.
    fn publish(&mut self, now: Instant, texts: &[Arc<str>]) {
        let mut tickets = Vec::new();
        for text in texts {
            match ticket::parse("platform", text) {
                Ok(ticket) => tickets.push(ticket),
                Err(error) => self.refuse(number(text), error.to_string().into()),
            }
        }
        let Arguments { disseminator, state, .. } = &mut self.arguments;
        disseminator.on_published(now, tickets, state, &mut self.actions);
    }

    /// Does what the disseminator asks for and returns whether the state has changed.
    fn act(&mut self) -> bool {
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
                    self.refuse(Some(refusal.number()), refusal.to_string().into());
                }
                Action::Invalid(invalid) => {
                    for invalid in invalid {
                        warn!("another member sent an invalid object: {invalid}");
                    }
                }
            }
        }
        is_changed
    }

    fn refuse(&mut self, number: Option<Number>, reason: Arc<str>) {
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

    async fn compile(&mut self, now: Instant) {
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
            warn!("packet loop has ended; the routes are not passed on");
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

/// Returns the number of a ticket that may be invalid otherwise.
fn number(text: &str) -> Option<Number> {
    serde_json::from_str::<serde_json::Value>(text).ok()?.get("number")?.as_u64()
}
