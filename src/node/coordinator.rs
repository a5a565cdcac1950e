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
/// checks of the member view and of the ticket state have finished.
pub(super) struct Coordinator;

/// The state of the actor.
pub(super) struct ActorState {
    commands: mpsc::Sender<Command>,
    shared: Arc<Shared>,
    actors: Option<Actors>,
    is_joined: bool,
    /// Whether no check of the member view is in progress.
    is_view_checked: bool,
    /// Whether no check of the ticket state is in progress.
    is_state_checked: bool,
}

impl Actor for Coordinator {
    type Msg = request::Coordinator;
    type State = ActorState;
    type Arguments = (mpsc::Sender<Command>, Arc<Shared>);

    async fn pre_start(
        &self,
        _myself: ActorRef<request::Coordinator>,
        (commands, shared): (mpsc::Sender<Command>, Arc<Shared>),
    ) -> Result<ActorState, ActorProcessingErr> {
        Ok(ActorState {
            commands,
            shared,
            actors: None,
            is_joined: false,
            is_view_checked: true,
            is_state_checked: true,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<request::Coordinator>,
        request: request::Coordinator,
        state: &mut ActorState,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(request).await;
        Ok(())
    }
}

impl ActorState {
    async fn handle(&mut self, request: request::Coordinator) {
        match request {
            request::Coordinator::SetActors(actors) => self.actors = Some(*actors),
            request::Coordinator::Joined => {
                self.is_joined = true;
                self.resume_if_checked().await;
            }
            request::Coordinator::Paused(gap) => self.request_confirmation(gap),
            request::Coordinator::ViewCheckFinished => {
                self.is_view_checked = true;
                self.resume_if_checked().await;
            }
            request::Coordinator::StateCheckFinished => {
                self.is_state_checked = true;
                self.resume_if_checked().await;
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
        self.is_view_checked = actors.members.cast(request::Members::Confirm).is_err();
        self.is_state_checked = actors.tickets.cast(request::Tickets::Confirm).is_err();
    }

    async fn resume_if_checked(&mut self) {
        if self.is_joined && self.is_view_checked && self.is_state_checked {
            let _ = self.commands.send(Command::Resume).await;
            self.shared.is_ready.send_replace(true);
        }
    }
}
