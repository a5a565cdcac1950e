use std::{sync::Arc, time::Duration};

use log::warn;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::mpsc;

use crate::node::{command::Command, members, shared::Shared, targets, tickets};

/// The actors that the coordinator tells of pauses.
#[derive(Debug, Clone)]
pub(super) struct Links {
    /// The member view.
    pub(super) members: ActorRef<members::Request>,
    /// The ticket state.
    pub(super) tickets: ActorRef<tickets::Request>,
    /// The target classes.
    pub(super) targets: ActorRef<targets::Request>,
}

/// What the actor [`Coordinator`] can be told.
#[derive(Debug)]
pub(super) enum Request {
    /// The other actors have started.
    Link(Box<Links>),
    /// The daemon has the first state and may forward.
    Joined,
    /// The process was paused for about this time.
    Paused(Duration),
    /// The member view is confirmed, or nobody answered in time.
    ViewConfirmed,
    /// The ticket state is confirmed, or nobody answered in time.
    StateConfirmed,
}

/// The actor that lets the packet loop go on after a start or a pause.
pub(super) struct Coordinator;

/// The state of the actor.
pub(super) struct State {
    commands: mpsc::Sender<Command>,
    shared: Arc<Shared>,
    links: Option<Links>,
    is_joined: bool,
    is_view_confirmed: bool,
    is_state_confirmed: bool,
}

impl Actor for Coordinator {
    type Msg = Request;
    type State = State;
    type Arguments = (mpsc::Sender<Command>, Arc<Shared>);

    async fn pre_start(
        &self,
        _own: ActorRef<Request>,
        (commands, shared): (mpsc::Sender<Command>, Arc<Shared>),
    ) -> Result<State, ActorProcessingErr> {
        Ok(State {
            commands,
            shared,
            links: None,
            is_joined: false,
            is_view_confirmed: true,
            is_state_confirmed: true,
        })
    }

    async fn handle(
        &self,
        _own: ActorRef<Request>,
        request: Request,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(request).await;
        Ok(())
    }
}

impl State {
    async fn handle(&mut self, request: Request) {
        match request {
            Request::Link(links) => self.links = Some(*links),
            Request::Joined => {
                self.is_joined = true;
                self.resume().await;
            }
            Request::Paused(gap) => self.confirm(gap),
            Request::ViewConfirmed => {
                self.is_view_confirmed = true;
                self.resume().await;
            }
            Request::StateConfirmed => {
                self.is_state_confirmed = true;
                self.resume().await;
            }
        }
    }

    fn confirm(&mut self, gap: Duration) {
        warn!(
            "process was paused for {} ms; forwarding waits for a confirmed view",
            gap.as_millis()
        );
        let Some(links) = &self.links else { return };
        self.shared.is_ready.send_replace(false);
        self.is_view_confirmed = links.members.cast(members::Request::Confirm).is_err();
        self.is_state_confirmed = links.tickets.cast(tickets::Request::Confirm).is_err();
    }

    async fn resume(&mut self) {
        if self.is_joined && self.is_view_confirmed && self.is_state_confirmed {
            let _ = self.commands.send(Command::Resume).await;
            self.shared.is_ready.send_replace(true);
        }
    }
}
