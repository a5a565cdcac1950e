use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use log::{info, warn};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use crate::{
    admin::Cursor,
    cookie::{
        ApplyOutcome, Delta, Directory, Listing, OperatorState, Position, Presence, Revision,
        Tuning, View,
    },
    gateway::{
        Changes, Consistency, Read, Rejected, followed::Followed, peer_state::PeerState,
        shared::Shared,
    },
};

/// The largest number of rejected items that are remembered, so that each is logged once.
const MAXIMUM_REJECTED: usize = 1000;

/// What the keeper can be told.
#[derive(Debug)]
pub(super) enum Request {
    /// Everything that operators published was read.
    Operator(Read<OperatorState>),
    /// Changes that operators published were read.
    Changes(Read<Changes>),
    /// All targets were read.
    Targets(Read<Listing>, Consistency),
    /// The store's revision was read, and is that of the last read of the targets.
    Unchanged(Revision),
    /// Another daemon has sent what it knows.
    Peer(PeerState),
    /// Returns what is known, for another daemon.
    State(RpcReplyPort<PeerState>),
    /// Returns what has changed since a position, for a daemon that follows this one.
    Delta(Cursor, RpcReplyPort<Followed>),
    /// The followed daemon has sent what has changed. Returns the revision up to which operators'
    /// changes are known, or `None` if it cannot be followed.
    Follow(Delta, RpcReplyPort<Option<Revision>>),
    /// A call failed.
    Failed,
    /// The process was paused, so nothing that is known proves that something is missing.
    Paused,
}

/// The actor that owns the directory.
pub(super) struct Keeper;

/// The state of the actor.
pub(super) struct State {
    directory: Directory,
    /// Distinguishes the starts of the daemon for those that follow it.
    incarnation: u64,
    shared: Arc<Shared>,
    /// The revisions of the rejected items that were logged.
    rejected: HashMap<String, Revision>,
}

/// What the actor starts with.
pub(super) struct Arguments {
    pub(super) tuning: Tuning,
    pub(super) shared: Arc<Shared>,
}

impl Actor for Keeper {
    type Msg = Request;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        _own: ActorRef<Request>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let Arguments { tuning, shared } = arguments;
        let (directory, incarnation) = (Directory::new(tuning), rand::random());
        Ok(State { directory, incarnation, shared, rejected: HashMap::new() })
    }

    async fn handle(
        &self,
        _own: ActorRef<Request>,
        request: Request,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(Instant::now(), request);
        Ok(())
    }
}

impl State {
    fn handle(&mut self, now: Instant, request: Request) {
        match request {
            Request::Operator(read) => {
                self.log_rejected(&read.rejected);
                self.directory.confirm_config(now);
                self.directory.apply_operator_state(now, &read.value);
            }
            Request::Changes(read) => {
                self.log_rejected(&read.rejected);
                self.directory.confirm_config(now);
                for (revision, change) in read.value.changes {
                    self.directory.apply_change(now, revision, change);
                }
                self.directory.advance_operator_revision(read.value.revision);
            }
            Request::Targets(read, consistency) => {
                self.log_rejected(&read.rejected);
                let revision = read.value.revision;
                let applied = self.directory.apply_listing(now, read.value);
                if applied == ApplyOutcome::Old {
                    info!(
                        read = revision, known = self.directory.revision(),
                        consistency:? = consistency;
                        "read of the targets is older than what is known and is ignored"
                    );
                }
            }
            Request::Unchanged(revision) => {
                self.directory.confirm_listing(now, revision);
            }
            Request::Peer(state) => {
                let age = Duration::from_millis(state.age_ms.unwrap_or(u64::MAX));
                self.directory.apply_peer(now, age, &state.operator, state.listing);
            }
            Request::State(reply) => {
                let state = PeerState {
                    operator: self.directory.operator_state(now),
                    listing: self.directory.listing(),
                    age_ms: self.directory.age(now).map(|age| age.as_millis() as u64),
                };
                if reply.send(state).is_err() {
                    info!("the client that asked for the state has gone");
                }
                return;
            }
            Request::Delta(cursor, reply) => {
                let position = match cursor.incarnation {
                    Some(incarnation) if incarnation == self.incarnation => {
                        Position::Followed(cursor.sequence)
                    }
                    _ => Position::Read(cursor.revision),
                };
                let delta = self.directory.delta(now, position);
                if reply.send(Followed { incarnation: self.incarnation, delta }).is_err() {
                    info!("the daemon that follows this one has gone");
                }
                return;
            }
            Request::Follow(delta, reply) => {
                let is_in_force = self.directory.apply_delta(now, delta) != ApplyOutcome::Old;
                let known = is_in_force.then(|| self.directory.operator_revision());
                if reply.send(known).is_err() {
                    warn!("the task that follows a daemon has ended");
                }
            }
            Request::Failed | Request::Paused => self.directory.record_failure(now),
        }
        let view = self.directory.view(now);
        log_changes(&self.shared.view.load(), &view);
        self.shared.publish(view);
    }

    fn log_rejected(&mut self, rejected: &[Rejected]) {
        for Rejected { key, revision, error } in rejected {
            if self.rejected.get(key) == Some(revision) {
                continue;
            }
            if self.rejected.len() >= MAXIMUM_REJECTED {
                self.rejected.clear();
            }
            self.rejected.insert(key.clone(), *revision);
            let source = error.source().map(ToString::to_string).unwrap_or_default();
            warn!(key = key, revision = revision, cause = source;
                "item of the store is ignored: {error}");
        }
    }
}

/// Writes a line for each change of what the daemon believes.
fn log_changes(former: &View, view: &View) {
    if former.version() != view.version() {
        info!(
            version = view.version().unwrap_or(0), former = former.version().unwrap_or(0);
            "configuration is in force"
        );
    }
    if former.is_settled != view.is_settled && former.is_complete() {
        info!(is_settled = view.is_settled; "trust in missing entries has changed");
    }
    for entry in view.entries() {
        let before = former.target(entry.cookie);
        let state = (entry.presence, entry.is_usable);
        if before.map(|before| (before.presence, before.is_usable)) == Some(state) {
            continue;
        }
        let target = &entry.target;
        let standing = match entry.presence {
            Presence::Present => "present",
            Presence::Lapsed => "lapsed",
            Presence::Gone => "gone",
        };
        info!(
            target_id = &*target.name, service = &*target.service, zone = &*target.zone,
            availability:? = target.availability, standing = standing, usable = entry.is_usable,
            cookie = entry.cookie, revision = target.revision, read = view.revision;
            "target has changed"
        );
    }
}
