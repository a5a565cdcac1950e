use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use log::{error, info, warn};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::mpsc;

use crate::{
    member::{Detector, Output, Ranking, Status},
    node::{command::Command, request, shared::Shared},
    wire::{Body, Sender},
};

/// How often the detector's timers run.
const TICK: Duration = Duration::from_millis(100);

/// What the actor starts with.
pub(super) struct Arguments {
    /// The failure detector.
    pub(super) detector: Detector,
    /// The region whose members own flows.
    pub(super) region: Arc<str>,
    /// Sends frames to members.
    pub(super) sender: Sender,
    /// The packet loop.
    pub(super) commands: mpsc::Sender<Command>,
    /// Where the view is published.
    pub(super) shared: Arc<Shared>,
    /// Hears that the view is confirmed.
    pub(super) coordinator: ActorRef<request::Coordinator>,
}

/// The actor that holds the view of the members and ranks the owners.
pub(super) struct Members;

/// The state of the actor.
pub(super) struct State {
    arguments: Arguments,
    /// The ranking; none until the daemon has joined.
    ranking: Option<Ranking>,
    zones_out: Arc<HashSet<Arc<str>>>,
    outputs: Vec<Output>,
    is_replaced: bool,
}

impl Actor for Members {
    type Msg = request::Members;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        own: ActorRef<request::Members>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        own.send_interval(TICK, || request::Members::Tick);
        let zones_out = arguments.shared.zones_out.load_full();
        let mut state =
            State { arguments, ranking: None, zones_out, outputs: Vec::new(), is_replaced: false };
        state.publish(Instant::now()).await;
        Ok(state)
    }

    async fn handle(
        &self,
        _own: ActorRef<request::Members>,
        request: request::Members,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(Instant::now(), request).await;
        Ok(())
    }
}

impl State {
    async fn handle(&mut self, now: Instant, request: request::Members) {
        let detector = &mut self.arguments.detector;
        match request {
            request::Members::Tick => {
                detector.on_tick(now, &mut self.outputs);
                if detector.is_replaced() && !self.is_replaced {
                    self.is_replaced = true;
                    error!("another process has taken over this daemon's name; stop one of them");
                }
                let zones_out = self.arguments.shared.zones_out.load_full();
                if zones_out != self.zones_out {
                    self.zones_out = zones_out;
                    self.outputs.push(Output::ViewChanged);
                }
            }
            request::Members::Received { from, address, message } => {
                detector.on_message(now, from, address, message, &mut self.outputs);
            }
            request::Members::Contacts(contacts) => detector.set_contacts(now, contacts),
            request::Members::Merge(snapshot) => {
                detector.merge_snapshot(now, snapshot);
                self.outputs.push(Output::ViewChanged);
            }
            request::Members::Joined => {
                self.join(now);
                self.outputs.push(Output::ViewChanged);
            }
            request::Members::Confirm => detector.confirm(now),
            request::Members::Leave => {
                detector.announce_leaving(now);
                self.outputs.push(Output::ViewChanged);
            }
            request::Members::Left => detector.announce_left(now),
            request::Members::IsDeparted(reply) => {
                let _ = reply.send(detector.is_departed());
            }
            request::Members::Snapshot(reply) => {
                let _ = reply.send(detector.snapshot(now));
            }
        }
        self.act(now).await;
    }

    async fn act(&mut self, now: Instant) {
        let mut is_changed = false;
        for output in std::mem::take(&mut self.outputs) {
            match output {
                Output::Send { address, message, .. } => {
                    self.arguments.sender.send(address, Body::Member(message));
                }
                Output::ViewChanged => is_changed = true,
                Output::Confirmed { complete } => {
                    if !complete {
                        warn!(
                            "member view could not be confirmed after a pause; it stays in force"
                        );
                    }
                    let _ = self.arguments.coordinator.cast(request::Coordinator::ViewConfirmed);
                }
            }
        }
        if is_changed {
            self.publish(now).await;
        }
    }

    /// Ranks the owners for the first time. The owners without this daemon are the former ones, so
    /// that the daemon asks them for the flows it now owns.
    fn join(&mut self, now: Instant) {
        let Arguments { detector, region, .. } = &self.arguments;
        let (view, own) = (detector.view(), detector.id());
        self.ranking = Some(Ranking::after_join(now, view, own, region, &self.zones_out));
    }

    /// Publishes the view and hands the ranking to the packet loop.
    async fn publish(&mut self, now: Instant) {
        let view = Arc::new(self.arguments.detector.view().clone());
        let former = self.arguments.shared.view.swap(view.clone());
        log_changes(&former, &view);
        let Some(ranking) = &mut self.ranking else {
            return;
        };
        ranking.update(now, &view, &self.arguments.region, &self.zones_out);
        let ranking = Arc::new(ranking.clone());
        if self.arguments.commands.send(Command::SetMembers { view, ranking }).await.is_err() {
            warn!("packet loop has ended; the member view is not passed on");
        }
    }
}

/// Writes a line for each member whose state has changed.
fn log_changes(former: &crate::member::View, view: &crate::member::View) {
    for (id, member) in view.iter() {
        let before = former.get(id).map(|member| member.status);
        if before == Some(member.status) {
            continue;
        }
        let name = &member.info.name;
        match member.status {
            Status::Suspect | Status::Failed => {
                warn!("member {name} in {} is {:?}", member.info.zone, member.status);
            }
            Status::Alive | Status::Leaving | Status::Left => {
                info!("member {name} in {} is {:?}", member.info.zone, member.status);
            }
        }
    }
}
