use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use log::{info, warn};
use ractor::ActorRef;
use tokio::time::{sleep_until, timeout};

use crate::{
    cookie::Revision,
    gateway::{Consistency, Lag, Source, keeper::Request, shared::Shared},
    platform::{Backoff, Error, Schedule},
    telemetry::Histogram,
};

/// The time between two reads of the targets. A change of a target must be known within 3 s, and
/// stale reads lag by up to 1 s.
const TARGETS_PERIOD: Duration = Duration::from_millis(500);

/// How long a watch waits. A watch whose connection went silent is found broken after that time and
/// the timeouts of a call, so that the daemon is up to date 4 s after the connection went silent.
const WATCH_WAIT: Duration = Duration::from_millis(2500);

/// How often a reader looks whether it is needed, besides being woken up.
const FOLLOWING_PERIOD: Duration = Duration::from_millis(100);

/// The pace of calls while the daemon knows too little to serve: each attempt counts.
const STARTUP_BACKOFF: Backoff = Backoff {
    minimum_interval: Duration::from_millis(20),
    initial_delay: Duration::from_millis(150),
    initial_limited_delay: Duration::from_millis(200),
    maximum_delay: Duration::from_millis(200),
};

/// The pace of calls afterwards: a failed call is repeated soon, since the daemon serves with an old
/// view.
const STEADY_BACKOFF: Backoff = Backoff {
    minimum_interval: Duration::from_millis(20),
    initial_delay: Duration::from_millis(200),
    initial_limited_delay: Duration::from_millis(400),
    maximum_delay: Duration::from_millis(1000),
};

/// The calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    /// The read or watch of what operators published.
    Operator,
    /// The read of the targets.
    Targets,
}

/// Reads what operators publish until the keeper has stopped.
pub(super) async fn operator(
    source: Arc<impl Source>,
    keeper: ActorRef<Request>,
    shared: Arc<Shared>,
    times: Histogram,
    seed: u64,
) {
    let mut calls = Calls::new(Call::Operator, seed, times, shared.clone());
    let mut known: Option<Revision> = None;
    loop {
        let was_following =
            pause_while_following(&shared, |wanted| known.is_none_or(|known| wanted > known)).await;
        // A change that the followed daemon knows is there already.
        let wait = if was_following { Duration::ZERO } else { WATCH_WAIT };
        calls.wait().await;
        let request = match known {
            None => calls.finish(source.operator().await).map(|read| {
                known = Some(read.value.revision);
                Request::Operator(read)
            }),
            Some(after) => {
                let call = source.changes(after, wait);
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
                calls.finish(result).map(|read| {
                    known = Some(read.value.revision.max(after));
                    shared.known_revision.fetch_max(read.value.revision, Ordering::Relaxed);
                    Request::Changes(read)
                })
            }
        };
        if keeper.cast(request.unwrap_or(Request::Failed)).is_err() {
            return;
        }
    }
}

/// Reads the targets until the keeper has stopped.
pub(super) async fn targets(
    source: Arc<impl Source>,
    keeper: ActorRef<Request>,
    shared: Arc<Shared>,
    times: Histogram,
    seed: u64,
) {
    let mut calls = Calls::new(Call::Targets, seed, times, shared.clone());
    let mut lag = Lag::default();
    loop {
        if pause_while_following(&shared, |_| false).await {
            lag = Lag::default();
        }
        calls.wait().await;
        let begun = Instant::now();
        let result = match lag.next() {
            Consistency::Stale => unchanged_or_targets(&*source, &shared).await,
            consistency => targets_by(&*source, consistency).await,
        };
        let request = calls.finish(result).map(|(revision, request)| {
            let known = shared.known_revision.load(Ordering::Relaxed);
            lag.answered(Instant::now(), revision, known);
            request
        });
        let is_read = request.is_some();
        if keeper.cast(request.unwrap_or(Request::Failed)).is_err() {
            return;
        }
        if is_read {
            let next = tokio::time::Instant::from_std(begun + TARGETS_PERIOD);
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
async fn unchanged_or_targets(
    source: &impl Source,
    shared: &Shared,
) -> Result<(Revision, Request), Error> {
    let revision = source.revision().await?;
    if revision == shared.view.load().revision {
        return Ok((revision, Request::Unchanged(revision)));
    }
    targets_by(source, Consistency::Stale).await
}

async fn targets_by(
    source: &impl Source,
    consistency: Consistency,
) -> Result<(Revision, Request), Error> {
    let read = source.targets(consistency).await?;
    Ok((read.value.revision, Request::Targets(read, consistency)))
}

/// Waits until no other daemon reads the store for this one, or the revision of the last change of
/// operators that it knows `is_wanted`. Returns whether one did read.
async fn pause_while_following(shared: &Shared, is_wanted: impl Fn(Revision) -> bool) -> bool {
    let was_following = shared.is_following.load(Ordering::Relaxed);
    while shared.is_following.load(Ordering::Relaxed)
        && !is_wanted(shared.operator_wanted.load(Ordering::Relaxed))
    {
        // Either end of the wait leads to another look.
        let _ = timeout(FOLLOWING_PERIOD, shared.read_now.notified()).await;
    }
    was_following
}

/// The pace and log of one kind of call.
struct Calls {
    call: Call,
    schedule: Schedule,
    seed: u64,
    /// Whether the daemon has not known enough to serve yet.
    is_first: bool,
    failed_at: Option<Instant>,
    begun_at: Instant,
    times: Histogram,
    shared: Arc<Shared>,
}

impl Calls {
    fn new(call: Call, seed: u64, times: Histogram, shared: Arc<Shared>) -> Calls {
        let begun_at = Instant::now();
        let schedule = Schedule::new(STARTUP_BACKOFF, seed, Instant::now());
        Calls { call, schedule, seed, is_first: true, failed_at: None, begun_at, times, shared }
    }

    async fn wait(&mut self) {
        if self.is_first && self.shared.view.load().is_complete() {
            self.is_first = false;
            self.schedule = Schedule::new(STEADY_BACKOFF, self.seed, Instant::now());
        }
        let next = tokio::time::Instant::from_std(self.schedule.next_start());
        sleep_until(next).await;
        self.begun_at = Instant::now();
        self.schedule.record_start(self.begun_at);
    }

    /// Notes the result of a call. Lines are only written when the store goes or returns.
    fn finish<T>(&mut self, result: Result<T, Error>) -> Option<T> {
        let call = self.call;
        let is_failing = match call {
            Call::Operator => &self.shared.is_operator_failing,
            Call::Targets => &self.shared.is_targets_failing,
        };
        is_failing.store(result.is_err(), Ordering::Relaxed);
        let kind = match (call, &result) {
            (Call::Operator, Ok(_)) => "watch",
            (Call::Targets, Ok(_)) => "targets",
            (_, Err(_)) => "failed",
        };
        self.times.record(self.begun_at.elapsed(), kind);
        match result {
            Ok(value) => {
                self.schedule.record_success();
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
                self.schedule.record_failure(Instant::now(), &error);
                None
            }
        }
    }
}
