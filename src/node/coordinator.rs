use std::{sync::Arc, time::Duration};

use log::warn;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::mpsc;

use crate::node::{
    command::Command,
    request::{self, Actors},
    shared::Shared,
};

/// The actor that resumes forwarding once the daemon has joined, and again after a pause once the
/// member view and the ticket state are confirmed.
pub(super) struct Coordinator;

/// The state of the actor.
pub(super) struct State {
    commands: mpsc::Sender<Command>,
    shared: Arc<Shared>,
    actors: Option<Actors>,
    is_joined: bool,
    is_view_confirmed: bool,
    is_state_confirmed: bool,
}

impl Actor for Coordinator {
    type Msg = request::Coordinator;
    type State = State;
    type Arguments = (mpsc::Sender<Command>, Arc<Shared>);

    async fn pre_start(
        &self,
        _myself: ActorRef<request::Coordinator>,
        (commands, shared): (mpsc::Sender<Command>, Arc<Shared>),
    ) -> Result<State, ActorProcessingErr> {
        Ok(State {
            commands,
            shared,
            actors: None,
            is_joined: false,
            is_view_confirmed: true,
            is_state_confirmed: true,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<request::Coordinator>,
        request: request::Coordinator,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(request).await;
        Ok(())
    }
}

impl State {
    async fn handle(&mut self, request: request::Coordinator) {
        match request {
            request::Coordinator::SetActors(actors) => self.actors = Some(*actors),
            request::Coordinator::Joined => {
                self.is_joined = true;
                self.resume_if_confirmed().await;
            }
            request::Coordinator::Paused(gap) => self.request_confirmation(gap),
            request::Coordinator::ViewConfirmed => {
                self.is_view_confirmed = true;
                self.resume_if_confirmed().await;
            }
            request::Coordinator::StateConfirmed => {
                self.is_state_confirmed = true;
                self.resume_if_confirmed().await;
            }
        }
    }

    fn request_confirmation(&mut self, gap: Duration) {
        warn!(
            "process was paused for {} ms; forwarding waits for a confirmed view",
            gap.as_millis()
        );
        let Some(actors) = &self.actors else { return };
        self.shared.is_ready.send_replace(false);
        self.is_view_confirmed = actors.members.cast(request::Members::Confirm).is_err();
        self.is_state_confirmed = actors.tickets.cast(request::Tickets::Confirm).is_err();
    }

    async fn resume_if_confirmed(&mut self) {
        if self.is_joined && self.is_view_confirmed && self.is_state_confirmed {
            let _ = self.commands.send(Command::Resume).await;
            self.shared.is_ready.send_replace(true);
        }
    }
}
