use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use log::{info, warn};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::sync::mpsc;

use crate::{
    member::Id,
    node::{
        command::Command,
        coordinator,
        handoff::{Handoff, Remaining},
        shared::Shared,
    },
    route::{Compiler, QUARANTINE},
    spread::{Action, Message, Spreader},
    ticket::{self, Content, Item, Number, State, ZoneState},
    wire::{Body, Sender},
};

/// How often the spreader's timers run.
const TICK: Duration = Duration::from_millis(100);

/// The refused tickets that are kept for the API.
const MAX_REFUSED: usize = 64;

/// What the actor [`Tickets`] can be told.
#[derive(Debug)]
pub(super) enum Request {
    /// Runs the timers.
    Tick,
    /// A message of another member's spreader has arrived.
    Received {
        /// The sender.
        from: Id,
        /// The message.
        message: Message,
    },
    /// The platform has published these tickets.
    Published(Vec<Arc<str>>),
    /// Another member's state has arrived.
    Merge(Handoff),
    /// The process was paused, so the state must be confirmed.
    Confirm,
    /// Returns the state for a joiner.
    Snapshot(RpcReplyPort<Handoff>),
    /// Returns what the API shows of the tickets.
    Summary(RpcReplyPort<Summary>),
}

/// What the API shows of the tickets.
#[derive(Debug, Clone, Default)]
pub(super) struct Summary {
    /// The numbers in force and refused.
    pub(super) history: ticket::History,
    /// The hash of the state; equal in daemons with the same state.
    pub(super) digest: Arc<str>,
    /// The highest number in force.
    pub(super) highest: Option<Number>,
    /// The objects in force with the number that set each.
    pub(super) objects: Vec<(Number, Arc<str>)>,
    /// Why tickets were refused, newest last.
    pub(super) refused: Vec<(Option<Number>, Arc<str>)>,
    /// The states of the zones that tickets have set, with the numbers.
    pub(super) zones: BTreeMap<Arc<str>, (Number, ZoneState)>,
}

/// What the actor starts with.
pub(super) struct Arguments {
    /// The dissemination.
    pub(super) spreader: Spreader,
    /// The ticket state, empty at the start.
    pub(super) state: State,
    /// Sends frames to members.
    pub(super) sender: Sender,
    /// The packet loop.
    pub(super) commands: mpsc::Sender<Command>,
    /// Where the routes are published.
    pub(super) shared: Arc<Shared>,
    /// Hears that the state is confirmed.
    pub(super) coordinator: ActorRef<coordinator::Request>,
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
    type Msg = Request;
    type State = Inner;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        own: ActorRef<Request>,
        arguments: Arguments,
    ) -> Result<Inner, ActorProcessingErr> {
        own.send_interval(TICK, || Request::Tick);
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
        _own: ActorRef<Request>,
        request: Request,
        state: &mut Inner,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(Instant::now(), request).await;
        Ok(())
    }
}

impl Inner {
    async fn handle(&mut self, now: Instant, request: Request) {
        let Arguments { spreader, state, .. } = &mut self.arguments;
        let mut is_changed = false;
        match request {
            Request::Tick => self.tick(now),
            Request::Received { from, message } => {
                spreader.on_message(now, from, message, state, &mut self.actions);
            }
            Request::Published(texts) => self.publish(now, &texts),
            Request::Merge(handoff) => {
                let quarantines = handoff.quarantines.into_iter();
                let quarantines = quarantines.map(|left| left.quarantine(now, QUARANTINE));
                self.compiler.adopt(quarantines.collect());
                let merged = state.merge_snapshot(now, handoff.snapshot);
                for invalid in &merged.invalid {
                    warn!("snapshot of another member has an invalid object: {invalid}");
                }
                is_changed = true;
            }
            Request::Confirm => {
                spreader.confirm(now, state, &mut self.actions);
                self.is_confirming = true;
            }
            Request::Snapshot(reply) => {
                let quarantines = self.compiler.quarantines(now);
                let left = quarantines.iter().map(|quarantine| Remaining::new(now, quarantine));
                let handoff = Handoff { snapshot: state.snapshot(), quarantines: left.collect() };
                let _ = reply.send(handoff);
            }
            Request::Summary(reply) => {
                let _ = reply.send(self.summary());
            }
        }
        is_changed |= self.act();
        if is_changed || self.recompile_at.is_some_and(|at| now >= at) {
            self.compile(now).await;
        }
        if self.is_confirming && self.arguments.spreader.is_confirmed(now) {
            self.is_confirming = false;
            let _ = self.arguments.coordinator.cast(coordinator::Request::StateConfirmed);
        }
    }

    fn tick(&mut self, now: Instant) {
        let Arguments { spreader, state, shared, .. } = &mut self.arguments;
        let view = shared.view.load();
        spreader.on_tick(now, &view, state, &mut self.actions);
        let is_reader = spreader.is_reader(&view);
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
        let Arguments { spreader, state, .. } = &mut self.arguments;
        spreader.on_published(now, tickets, state, &mut self.actions);
    }

    /// Does what the spreader asks for and returns whether the state has changed.
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
        let zones = state.newest().filter_map(|item| match &*item.content {
            Content::Zone(zone) => Some((zone.name.clone(), (item.number, zone.state))),
            _ => None,
        });
        let object = |item: &Item| (item.number, item.content.object().to_string().into());
        Summary {
            history: state.history().clone(),
            digest: format!("{:016x}{:016x}", hashes.root, hashes.history).into(),
            highest: state.history().applied.last(),
            objects: state.newest().map(object).collect(),
            refused: self.refused.clone(),
            zones: zones.collect(),
        }
    }
}

/// Returns the number of a ticket that may be invalid otherwise.
fn number(text: &str) -> Option<Number> {
    serde_json::from_str::<serde_json::Value>(text).ok()?.get("number")?.as_u64()
}
