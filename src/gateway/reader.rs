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
    platform::{Backoff, Error, Schedule},
    telemetry::Histogram,
};

/// The time between the starts of two reads of the targets. A change of a target must be known
/// within 3 s, and stale reads lag by up to 1 s.
const TARGETS_PERIOD: Duration = Duration::from_millis(500);

/// How long one call of the watch waits for a change. A watch whose connection no longer carries
/// data is found broken after this time and the timeouts of a call, so that the daemon is up to
/// date 4 s after the connection failed.
const WATCH_WAIT: Duration = Duration::from_millis(2500);

/// How often a reader task checks whether this daemon still follows a zone reader, in case that the
/// task was not woken up.
const FOLLOWING_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// The pace of calls until the view is complete. The daemon cannot forward packets before, so
/// failed calls are repeated quickly.
const STARTUP_BACKOFF: Backoff = Backoff {
    minimum_interval: Duration::from_millis(20),
    initial_delay: Duration::from_millis(150),
    initial_limited_delay: Duration::from_millis(200),
    maximum_delay: Duration::from_millis(200),
};

/// The pace of calls once the view is complete. The daemon forwards with an old view while calls
/// fail, so failed calls are repeated soon.
const STEADY_BACKOFF: Backoff = Backoff {
    minimum_interval: Duration::from_millis(20),
    initial_delay: Duration::from_millis(200),
    initial_limited_delay: Duration::from_millis(400),
    maximum_delay: Duration::from_millis(1000),
};

/// The kinds of calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    /// The read or watch of the operators' items.
    Operator,
    /// The read of the targets.
    Targets,
}

/// Reads and watches the operators' items until the directory actor has stopped.
pub(super) async fn run_operator_reader(
    source: Arc<impl Source>,
    directory_actor: ActorRef<Request>,
    shared: Arc<Shared>,
    durations: Histogram,
    seed: u64,
) {
    let mut tracker = CallTracker::new(Call::Operator, seed, durations, shared.clone());
    // The revision up to which the operators' changes have been read; `None` if all of the
    // operators' items have to be read.
    let mut known: Option<Revision> = None;
    loop {
        let was_following =
            wait_while_following(&shared, |announced| known.is_none_or(|known| announced > known))
                .await;
        // A follower reads a change that the zone reader announced. This change is already in the
        // store, so the watch need not wait.
        let wait = if was_following { Duration::ZERO } else { WATCH_WAIT };
        tracker.wait_until_due().await;
        let request = match known {
            None => tracker.record_result(source.read_operator_state().await).map(|read| {
                known = Some(read.value.revision);
                Request::OperatorStateRead(read)
            }),
            Some(after) => {
                let call = source.watch_operator_changes(after, wait);
                let result = tokio::select! {
                    result = call => result,
                    // The connection of the watch may not have survived a pause of the process.
                    () = shared.reader_wakeup.notified() => {
                        known = None;
                        continue;
                    }
                };
                if result.is_err() {
                    // Changes may have been missed, so all of the operators' items are read again.
                    known = None;
                }
                tracker.record_result(result).map(|read| {
                    known = Some(read.value.revision.max(after));
                    shared.watch_revision.fetch_max(read.value.revision, Ordering::Relaxed);
                    Request::OperatorChangesRead(read)
                })
            }
        };
        if directory_actor.cast(request.unwrap_or(Request::StoreCallFailed)).is_err() {
            return;
        }
    }
}

/// Reads the targets periodically until the directory actor has stopped.
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
        let read_started_at = Instant::now();
        let result = match policy.next_consistency() {
            Consistency::Stale => read_targets_if_changed(&*source, &shared).await,
            consistency => read_all_targets(&*source, consistency).await,
        };
        let request = tracker.record_result(result).map(|(revision, request)| {
            let known = shared.watch_revision.load(Ordering::Relaxed);
            policy.record_read(Instant::now(), revision, known);
            request
        });
        let has_succeeded = request.is_some();
        if directory_actor.cast(request.unwrap_or(Request::StoreCallFailed)).is_err() {
            return;
        }
        if has_succeeded {
            let next = tokio::time::Instant::from_std(read_started_at + TARGETS_PERIOD);
            // After a pause of the process, the targets are read at once.
            let _ = timeout(
                next.saturating_duration_since(tokio::time::Instant::now()),
                shared.reader_wakeup.notified(),
            )
            .await;
        }
    }
}

/// Reads the targets unless the revision of the store is still that of their last read. A read of
/// many targets takes several calls, and most of the time nothing has changed.
async fn read_targets_if_changed(
    source: &impl Source,
    shared: &Shared,
) -> Result<(Revision, Request), Error> {
    let revision = source.read_revision().await?;
    if revision == shared.view.load().revision {
        return Ok((revision, Request::TargetsUnchanged(revision)));
    }
    read_all_targets(source, Consistency::Stale).await
}

async fn read_all_targets(
    source: &impl Source,
    consistency: Consistency,
) -> Result<(Revision, Request), Error> {
    let read = source.read_targets(consistency).await?;
    Ok((read.value.revision, Request::TargetsRead(read, consistency)))
}

/// Waits while this daemon follows a zone reader. Ends early if `is_unread` returns true for the
/// revision of the operators' last change that the zone reader has announced. Returns whether this
/// daemon followed a zone reader at the start of the call.
async fn wait_while_following(shared: &Shared, is_unread: impl Fn(Revision) -> bool) -> bool {
    let was_following = shared.is_following.load(Ordering::Relaxed);
    while shared.is_following.load(Ordering::Relaxed)
        && !is_unread(shared.announced_operator_revision.load(Ordering::Relaxed))
    {
        // The condition is checked again both after a wake-up and after the timeout.
        let _ = timeout(FOLLOWING_CHECK_PERIOD, shared.reader_wakeup.notified()).await;
    }
    was_following
}

/// The pace, log lines and metrics of one kind of call to the store.
struct CallTracker {
    call: Call,
    schedule: Schedule,
    seed: u64,
    /// Whether the view was still incomplete at the last call.
    is_starting: bool,
    /// When the first of the current series of failures occurred.
    failed_at: Option<Instant>,
    begun_at: Instant,
    durations: Histogram,
    shared: Arc<Shared>,
}

impl CallTracker {
    fn new(call: Call, seed: u64, durations: Histogram, shared: Arc<Shared>) -> CallTracker {
        let begun_at = Instant::now();
        let schedule = Schedule::new(STARTUP_BACKOFF, seed, Instant::now());
        CallTracker {
            call,
            schedule,
            seed,
            is_starting: true,
            failed_at: None,
            begun_at,
            durations,
            shared,
        }
    }

    /// Waits until the next call may start, and records its start.
    async fn wait_until_due(&mut self) {
        if self.is_starting && self.shared.view.load().is_complete() {
            self.is_starting = false;
            self.schedule = Schedule::new(STEADY_BACKOFF, self.seed, Instant::now());
        }
        let next = tokio::time::Instant::from_std(self.schedule.next_start());
        sleep_until(next).await;
        self.begun_at = Instant::now();
        self.schedule.record_start(self.begun_at);
    }

    /// Records the result of a call, and returns the value of a successful one. A line is logged
    /// only for the first failure and for the first success after failures.
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
        self.durations.record(self.begun_at.elapsed(), kind);
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
