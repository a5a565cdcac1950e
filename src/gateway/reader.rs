use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use log::{info, warn};
use ractor::ActorRef;
use tokio::time::{sleep_until, timeout};

use crate::{
    cookie::Revision,
    gateway::{Consistency, ReadPolicy, Source, directory_actor::Request, shared::Shared},
    platform::{Error, Pace, Schedule},
    telemetry::Histogram,
};

/// The time between two reads of the targets. A change of a target must be known within 3 s, and
/// stale reads lag by up to 1 s.
const TARGETS_PERIOD: Duration = Duration::from_millis(500);

/// How long a watch waits. A watch whose connection went silent is found broken after that time and
/// the timeouts of a call, so that the daemon is up to date 4 s after the connection went silent.
const WATCH_WAIT: Duration = Duration::from_millis(2500);

/// How often a reader looks whether it is needed, besides being woken up.
const FOLLOWING_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// The pace of calls while the daemon knows too little to serve: each attempt counts.
const STARTUP_PACE: Pace = Pace {
    floor: Duration::from_millis(20),
    first: Duration::from_millis(150),
    limited: Duration::from_millis(200),
    maximum: Duration::from_millis(200),
};

/// The pace of calls afterwards: a failed call is repeated soon, since the daemon serves with an old
/// view.
const STEADY_PACE: Pace = Pace {
    floor: Duration::from_millis(20),
    first: Duration::from_millis(200),
    limited: Duration::from_millis(400),
    maximum: Duration::from_millis(1000),
};

/// The calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    /// The read or watch of what operators published.
    Operator,
    /// The read of the targets.
    Targets,
}

/// Reads what operators publish until the directory actor has stopped.
pub(super) async fn run_operator_reader(
    source: Arc<impl Source>,
    directory_actor: ActorRef<Request>,
    shared: Arc<Shared>,
    durations: Histogram,
    seed: u64,
) {
    let mut tracker = CallTracker::new(Call::Operator, seed, durations, shared.clone());
    let mut known: Option<Revision> = None;
    loop {
        let was_following =
            wait_while_following(&shared, |wanted| known.is_none_or(|known| wanted > known)).await;
        // A change that the followed daemon knows is there already.
        let wait = if was_following { Duration::ZERO } else { WATCH_WAIT };
        tracker.wait_until_due().await;
        let request = match known {
            None => tracker.record_result(source.read_operator_state().await).map(|read| {
                known = Some(read.value.revision);
                Request::Operator(read)
            }),
            Some(after) => {
                let call = source.watch_operator_changes(after, wait);
                let result = tokio::select! {
                    result = call => result,
                    // The connection may not have survived a pause of the process.
                    () = shared.read_now.notified() => {
                        known = None;
                        continue;
                    }
                };
                if result.is_err() {
                    // Changes may have been missed, so everything is read again.
                    known = None;
                }
                tracker.record_result(result).map(|read| {
                    known = Some(read.value.revision.max(after));
                    shared.watch_revision.fetch_max(read.value.revision, Ordering::Relaxed);
                    Request::Changes(read)
                })
            }
        };
        if directory_actor.cast(request.unwrap_or(Request::Failed)).is_err() {
            return;
        }
    }
}

/// Reads the targets until the directory actor has stopped.
pub(super) async fn run_targets_reader(
    source: Arc<impl Source>,
    directory_actor: ActorRef<Request>,
    shared: Arc<Shared>,
    durations: Histogram,
    seed: u64,
) {
    let mut tracker = CallTracker::new(Call::Targets, seed, durations, shared.clone());
    let mut policy = ReadPolicy::default();
    loop {
        if wait_while_following(&shared, |_| false).await {
            policy = ReadPolicy::default();
        }
        tracker.wait_until_due().await;
        let started_at = Instant::now();
        let result = match policy.next_consistency() {
            Consistency::Stale => read_targets_if_changed(&*source, &shared).await,
            consistency => read_targets(&*source, consistency).await,
        };
        let request = tracker.record_result(result).map(|(revision, request)| {
            let known = shared.watch_revision.load(Ordering::Relaxed);
            policy.record_read(Instant::now(), revision, known);
            request
        });
        let has_succeeded = request.is_some();
        if directory_actor.cast(request.unwrap_or(Request::Failed)).is_err() {
            return;
        }
        if has_succeeded {
            let next = tokio::time::Instant::from_std(started_at + TARGETS_PERIOD);
            // A pause of the process ends the wait.
            let _ = timeout(
                next.saturating_duration_since(tokio::time::Instant::now()),
                shared.read_now.notified(),
            )
            .await;
        }
    }
}

/// Reads the targets if the store's revision is not that of the last read of them. A read of many
/// targets takes several calls, and most of the time nothing has changed.
async fn read_targets_if_changed(
    source: &impl Source,
    shared: &Shared,
) -> Result<(Revision, Request), Error> {
    let revision = source.read_revision().await?;
    if revision == shared.view.load().revision {
        return Ok((revision, Request::TargetsUnchanged(revision)));
    }
    read_targets(source, Consistency::Stale).await
}

async fn read_targets(
    source: &impl Source,
    consistency: Consistency,
) -> Result<(Revision, Request), Error> {
    let read = source.read_targets(consistency).await?;
    Ok((read.value.revision, Request::Targets(read, consistency)))
}

/// Waits until no other daemon reads the store for this one, or the revision of the last change of
/// operators that it knows `is_wanted`. Returns whether one did read.
async fn wait_while_following(shared: &Shared, is_wanted: impl Fn(Revision) -> bool) -> bool {
    let was_following = shared.is_following.load(Ordering::Relaxed);
    while shared.is_following.load(Ordering::Relaxed)
        && !is_wanted(shared.wanted_operator_revision.load(Ordering::Relaxed))
    {
        // Either end of the wait leads to another look.
        let _ = timeout(FOLLOWING_CHECK_PERIOD, shared.read_now.notified()).await;
    }
    was_following
}

/// The pace and log of one kind of call.
struct CallTracker {
    call: Call,
    schedule: Schedule,
    seed: u64,
    /// Whether the daemon has not known enough to serve yet.
    is_starting: bool,
    failed_at: Option<Instant>,
    started_at: Instant,
    durations: Histogram,
    shared: Arc<Shared>,
}

impl CallTracker {
    fn new(call: Call, seed: u64, durations: Histogram, shared: Arc<Shared>) -> CallTracker {
        let started_at = Instant::now();
        let schedule = Schedule::new(STARTUP_PACE, seed, Instant::now());
        CallTracker {
            call,
            schedule,
            seed,
            is_starting: true,
            failed_at: None,
            started_at,
            durations,
            shared,
        }
    }

    async fn wait_until_due(&mut self) {
        if self.is_starting && self.shared.view.load().is_complete() {
            self.is_starting = false;
            self.schedule = Schedule::new(STEADY_PACE, self.seed, Instant::now());
        }
        let next = tokio::time::Instant::from_std(self.schedule.next_start());
        sleep_until(next).await;
        self.started_at = Instant::now();
        self.schedule.started(self.started_at);
    }

    /// Notes the result of a call. Lines are only written when the store goes or returns.
    fn record_result<T>(&mut self, result: Result<T, Error>) -> Option<T> {
        let call = self.call;
        let is_failing = match call {
            Call::Operator => &self.shared.is_operator_read_failing,
            Call::Targets => &self.shared.is_targets_read_failing,
        };
        is_failing.store(result.is_err(), Ordering::Relaxed);
        let kind = match (call, &result) {
            (Call::Operator, Ok(_)) => "watch",
            (Call::Targets, Ok(_)) => "targets",
            (_, Err(_)) => "failed",
        };
        self.durations.record(self.started_at.elapsed(), kind);
        match result {
            Ok(value) => {
                self.schedule.succeeded();
                if let Some(failed_at) = self.failed_at.take() {
                    let after_ms = failed_at.elapsed().as_millis() as u64;
                    info!(call:? = call, after_ms = after_ms; "store answers again");
                }
                Some(value)
            }
            Err(error) => {
                if self.failed_at.is_none() {
                    warn!(call:? = call; "store does not answer; the view in force stays: {error}");
                    self.failed_at = Some(Instant::now());
                }
                self.schedule.failed(Instant::now(), &error);
                None
            }
        }
    }
}
