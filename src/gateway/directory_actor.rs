use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use log::{info, warn};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};

use crate::{
    admin::Cursor,
    cookie::{
        ApplyOutcome, Delta, Directory, Entry, Listing, ListingUpdate, OperatorState, Position,
        Presence, Revision, Tuning, Version, View, ZonesOut,
    },
    gateway::{
        Changes, MAXIMUM_CHANGE_LINES, ReadOutcome, RejectedItem, follow_response::FollowResponse,
        peer_state::PeerState, shared::Shared,
    },
};

/// The largest number of rejected items that are remembered. A remembered item is not logged again
/// until its revision changes.
const MAXIMUM_LOGGED_REJECTIONS: usize = 1000;

/// The largest number of characters of an error in a log line. An error may contain a value of the
/// rejected item.
const MAXIMUM_ERROR_CHARS: usize = 300;

/// A message to the actor.
#[derive(Debug)]
pub(super) enum Request {
    /// The operator state, that is, the configuration and the zones out of service, was read from
    /// the store as a whole.
    OperatorStateRead(ReadOutcome<OperatorState>),
    /// The watch of the operators' items has returned the changes since the last read.
    OperatorChangesRead(ReadOutcome<Changes>),
    /// The zones out of service were read from the store without the configuration.
    ZonesOutRead(ReadOutcome<ZonesOut>),
    /// All targets were read from the store.
    TargetsRead(ReadOutcome<Listing>),
    /// The watch of the targets has returned the changes since the last read.
    TargetsUpdated(ReadOutcome<ListingUpdate>),
    /// The state of another daemon was fetched in place of reads of the store.
    PeerStateFetched(PeerState),
    /// Returns the state of this daemon, for a daemon that cannot read the store or for the admin
    /// API.
    GetState(RpcReplyPort<PeerState>),
    /// Returns the changes since a cursor for a daemon that follows this one.
    GetDelta(Cursor, RpcReplyPort<FollowResponse>),
    /// Applies changes from the zone reader. Returns the revision up to which this daemon has read
    /// the operators' changes, or `None` if the changes were ignored and the zone reader cannot be
    /// followed.
    ApplyDelta(Delta, RpcReplyPort<Option<Revision>>),
    /// A call to the store failed.
    StoreCallFailed,
    /// This daemon no longer follows a zone reader. The store may have been unavailable since the
    /// last read of the zone reader, without a failed call of this daemon.
    FollowingEnded,
    /// The process was paused. The known state may be outdated, so that a missing entry does not
    /// prove that its target has ended.
    ProcessPaused,
}

/// The actor that owns the [`Directory`] and publishes the [`View`].
pub(super) struct DirectoryActor;

/// The state of the actor.
pub(super) struct State {
    directory: Directory,
    /// A random number that is drawn when the daemon starts. Followers detect by it that the daemon
    /// was restarted.
    incarnation: u64,
    shared: Arc<Shared>,
    /// The keys of the rejected items that were logged, with the logged revision.
    logged_rejections: HashMap<String, Revision>,
    /// The lower version of the configuration in the store that was logged.
    withheld_version: Option<Version>,
}

/// The arguments of the actor.
pub(super) struct Arguments {
    pub(super) tuning: Tuning,
    pub(super) shared: Arc<Shared>,
}

impl Actor for DirectoryActor {
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
        Ok(State {
            directory,
            incarnation,
            shared,
            logged_rejections: HashMap::new(),
            withheld_version: None,
        })
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
    /// Handles a message. What the store's responses confirm is confirmed as of the arrival of their
    /// first part, since the rest of a large response may arrive seconds after changes that it does
    /// not contain.
    fn handle(&mut self, now: Instant, request: Request) {
        match request {
            Request::OperatorStateRead(read) => {
                self.log_rejected(&read.rejected);
                // A late response of an earlier era shows what is no longer in the store.
                if read.value.revision.era >= self.directory.operator_revision().era {
                    self.directory.confirm_config(read.responded_at);
                }
                self.directory.apply_operator_state(now, &read.value);
            }
            Request::OperatorChangesRead(read) => {
                self.log_rejected(&read.rejected);
                // Another daemon may have passed on the operators' items of a later era meanwhile.
                if read.value.revision.era != self.directory.operator_revision().era {
                    return;
                }
                self.directory.confirm_config(read.responded_at);
                for (revision, change) in read.value.changes {
                    self.directory.apply_change(now, revision, change);
                }
                self.directory.advance_operator_revision(read.value.revision);
            }
            Request::ZonesOutRead(read) => {
                self.log_rejected(&read.rejected);
                self.directory.apply_zones_out(now, &read.value);
            }
            Request::TargetsRead(read) => {
                self.log_rejected(&read.rejected);
                let revision = read.value.revision;
                let applied = self.directory.apply_listing(read.responded_at, read.value);
                self.log_ignored(applied, revision);
            }
            Request::TargetsUpdated(read) => {
                self.log_rejected(&read.rejected);
                let revision = read.value.revision;
                let applied = self.directory.apply_update(read.responded_at, read.value);
                self.log_ignored(applied, revision);
            }
            Request::PeerStateFetched(state) => {
                let age = Duration::from_millis(state.age_ms.unwrap_or(u64::MAX));
                let PeerState { operator, listing, lapsed, .. } = state;
                self.directory.apply_peer(now, age, &operator, listing, &lapsed);
            }
            Request::GetState(reply) => {
                let state = PeerState {
                    operator: self.directory.operator_state(now),
                    listing: self.directory.listing(),
                    lapsed: self.directory.lapsed(),
                    age_ms: self.directory.age(now).map(|age| age.as_millis() as u64),
                };
                if reply.send(state).is_err() {
                    info!("state is not returned: the requester has closed the request");
                }
                return;
            }
            Request::GetDelta(cursor, reply) => {
                let position = match cursor.incarnation {
                    Some(incarnation) if incarnation == self.incarnation => {
                        Position::Followed(cursor.sequence)
                    }
                    _ => Position::Read(cursor.revision),
                };
                let delta = self.directory.delta(now, position);
                if reply.send(FollowResponse { incarnation: self.incarnation, delta }).is_err() {
                    info!("changes are not sent: the follower has closed the request");
                }
                return;
            }
            Request::ApplyDelta(delta, reply) => {
                let is_applied = self.directory.apply_delta(now, delta) != ApplyOutcome::Ignored;
                let known = is_applied.then(|| self.directory.operator_revision());
                if reply.send(known).is_err() {
                    warn!(
                        "result of the applied changes is not returned: the task that follows the \
                         zone reader has stopped"
                    );
                }
            }
            Request::FollowingEnded => self.directory.record_following_ended(now),
            Request::StoreCallFailed | Request::ProcessPaused => self.directory.record_failure(now),
        }
        // A change is in force when it is logged.
        let previous = self.shared.view.load_full();
        self.shared.publish_view(self.directory.view(now));
        let view = self.shared.view.load_full();
        self.log_era(&previous, &view);
        log_changes(now, &previous, &view);
    }

    /// Logs and counts a return of the store from a copy, and logs a version of the configuration that
    /// is not put in force.
    fn log_era(&mut self, previous: &View, view: &View) {
        if previous.read_at.is_some() && previous.revision.era < view.revision.era {
            self.shared.era_changes.fetch_add(1, Ordering::Relaxed);
            warn!(
                era = view.revision.era, former_era = previous.revision.era,
                read = view.revision.number, former_read = previous.revision.number;
                "store has returned from a copy of an earlier state; lost entries are kept until they \
                 are written again or the grace period ends"
            );
        }
        let withheld = self.directory.withheld_version();
        if self.withheld_version == withheld {
            return;
        }
        self.withheld_version = withheld;
        match withheld {
            Some(stored) => warn!(
                version = view.version().unwrap_or(0), stored = stored;
                "configuration in force stays, since the store has returned with a lower version"
            ),
            None => info!(
                version = view.version().unwrap_or(0);
                "store holds the version of the configuration in force or a later one again"
            ),
        }
    }

    /// Logs that a read of the targets at `revision` was ignored, if it was.
    fn log_ignored(&self, applied: ApplyOutcome, revision: Revision) {
        if applied == ApplyOutcome::Ignored {
            info!(
                read:% = revision, known:% = self.directory.revision();
                "read of the targets is ignored: its revision is older than the known one or does not \
                 continue it"
            );
        }
    }

    fn log_rejected(&mut self, rejected: &[RejectedItem]) {
        for RejectedItem { key, revision, error } in rejected {
            if self.logged_rejections.get(key) == Some(revision) {
                continue;
            }
            if self.logged_rejections.len() >= MAXIMUM_LOGGED_REJECTIONS {
                self.logged_rejections.clear();
            }
            self.logged_rejections.insert(key.clone(), *revision);
            let source = error.source().map(ToString::to_string).unwrap_or_default();
            let excerpt = |text: String| text.chars().take(MAXIMUM_ERROR_CHARS).collect::<String>();
            let (error, cause) = (excerpt(error.to_string()), excerpt(source));
            warn!(key = key, revision:% = revision, cause = cause;
                "item of the store is ignored: {error}");
        }
    }
}

/// Logs the changes between two views: the version of the configuration, whether missing store
/// entries prove that their targets have ended, and the state of each target.
///
/// A line also says how long the previous state had not been confirmed, in milliseconds (0 if it never
/// was). A change may have been in the store for this time. Lines about targets also have the
/// revision up to which targets had been read; a change up to it was missed.
fn log_changes(now: Instant, previous: &View, view: &View) {
    let age_ms = |at: Option<Instant>| {
        at.map_or(0, |at| now.saturating_duration_since(at).as_millis() as u64)
    };
    if previous.version() != view.version() {
        info!(
            version = view.version().unwrap_or(0), former = previous.version().unwrap_or(0),
            revision:% = view.config_revision(), unconfirmed_ms = age_ms(previous.confirmed_at);
            "configuration is in force"
        );
    }
    // A zone that is taken out of service changes targets through the operators' items.
    let former = Former {
        read: previous.revision,
        unconfirmed_ms: age_ms(previous.read_at),
        operators_unconfirmed_ms: age_ms(previous.confirmed_at),
    };
    if previous.is_absence_conclusive != view.is_absence_conclusive && previous.is_complete() {
        info!(is_settled = view.is_absence_conclusive;
            "meaning of missing store entries has changed: they prove that \
             targets have ended if is_settled is true");
    }
    let state = |entry: &Entry| (entry.presence, entry.is_usable);
    let changed: Vec<&Entry> = view
        .entries()
        .iter()
        .filter(|entry| previous.target(entry.cookie).map(state) != Some(state(entry)))
        .collect();
    if changed.len() <= MAXIMUM_CHANGE_LINES {
        for entry in changed {
            log_target(entry, view.revision, &former);
        }
        return;
    }
    let count = |presence| changed.iter().filter(|entry| entry.presence == presence).count();
    let first: Vec<&str> =
        changed.iter().take(MAXIMUM_CHANGE_LINES).map(|entry| &*entry.target.name).collect();
    info!(
        count = changed.len(), present = count(Presence::Present),
        unreadable = count(Presence::Unreadable),
        lapsed = count(Presence::Lapsed), gone = count(Presence::Gone),
        usable = changed.iter().filter(|entry| entry.is_usable).count(),
        first = first.join(" "), read:% = view.revision, former_read:% = former.read,
        unconfirmed_ms = former.unconfirmed_ms,
        operators_unconfirmed_ms = former.operators_unconfirmed_ms;
        "targets have changed"
    );
}

/// How far and how recently the previous view was confirmed.
struct Former {
    /// The store's revision at the last read of the targets.
    read: Revision,
    /// The milliseconds since that read.
    unconfirmed_ms: u64,
    /// The milliseconds since the last confirmation of the operators' items.
    operators_unconfirmed_ms: u64,
}

fn log_target(entry: &Entry, read: Revision, former: &Former) {
    let target = &entry.target;
    let presence = match entry.presence {
        Presence::Present => "present",
        Presence::Unreadable => "unreadable",
        Presence::Lapsed => "lapsed",
        Presence::Gone => "gone",
    };
    info!(
        target_id = &*target.name, service = &*target.service, zone = &*target.zone,
        availability:? = target.availability, standing = presence, usable = entry.is_usable,
        cookie = entry.cookie, revision:% = target.revision, read:% = read,
        former_read:% = former.read, unconfirmed_ms = former.unconfirmed_ms,
        operators_unconfirmed_ms = former.operators_unconfirmed_ms;
        "target has changed"
    );
}
