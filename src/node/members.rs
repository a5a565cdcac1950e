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

/// The interval between two ticks of the failure detector.
const TICK: Duration = Duration::from_millis(100);

/// The arguments of the actor.
pub(super) struct Arguments {
    /// The failure detector.
    pub(super) detector: Detector,
    /// The region whose members may own flows.
    pub(super) region: Arc<str>,
    /// Sends frames to members.
    pub(super) sender: Sender,
    /// Sends commands to the packet loop.
    pub(super) commands: mpsc::Sender<Command>,
    /// The published values; the actor publishes the member view.
    pub(super) shared: Arc<Shared>,
    /// Receives a message when the view is confirmed.
    pub(super) coordinator: ActorRef<request::Coordinator>,
}

/// The actor that runs the failure detector and ranks the owners of the hash slots.
pub(super) struct Members;

/// The state of the actor.
pub(super) struct State {
    arguments: Arguments,
    /// The ranking of the owners; `None` until the daemon has joined.
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
        myself: ActorRef<request::Members>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        myself.send_interval(TICK, || request::Members::Tick);
        let zones_out = arguments.shared.zones_out.load_full();
        let mut state =
            State { arguments, ranking: None, zones_out, outputs: Vec::new(), is_replaced: false };
        state.publish(Instant::now()).await;
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<request::Members>,
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
                    error!("another process uses the name of this daemon; stop one of the two");
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
                self.init_ranking(now);
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
        self.run_outputs(now).await;
    }

    async fn run_outputs(&mut self, now: Instant) {
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

    /// Ranks the owners for the first time. The owners that the slots have without this daemon
    /// become the former owners, so that the daemon queries them for the flows that it now owns.
    fn init_ranking(&mut self, now: Instant) {
        let Arguments { detector, region, .. } = &self.arguments;
        let (view, own_id) = (detector.view(), detector.id());
        self.ranking = Some(Ranking::after_join(now, view, own_id, region, &self.zones_out));
    }

    /// Publishes the view, updates the ranking and sends both to the packet loop.
    async fn publish(&mut self, now: Instant) {
        let view = Arc::new(self.arguments.detector.view().clone());
        let former = self.arguments.shared.view.swap(view.clone());
        log_status_changes(&former, &view);
        let Some(ranking) = &mut self.ranking else {
            return;
        };
        ranking.update(now, &view, &self.arguments.region, &self.zones_out);
        let ranking = Arc::new(ranking.clone());
        if self.arguments.commands.send(Command::SetMembers { view, ranking }).await.is_err() {
            warn!("packet loop has ended; it does not receive the new member view");
        }
    }
}

/// Logs each member whose status has changed.
fn log_status_changes(former: &crate::member::View, view: &crate::member::View) {
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
