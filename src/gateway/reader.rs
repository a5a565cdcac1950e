use std::{
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use log::{debug, info, warn};
use ractor::ActorRef;
use tokio::time::{sleep_until, timeout};

use crate::{
    cookie::{EntryChange, Listing, ListingUpdate, Revision},
    gateway::{Consistency, ReadOutcome, Source, directory_actor::Request, shared::Shared},
    platform::{Backoff, Error, Schedule},
    telemetry::Histogram,
};

/// The minimum time between the starts of two calls for the targets. A change of a target must be
/// known within 3 s, and the daemons that follow this one learn of it up to 0.5 s later.
const TARGETS_PERIOD: Duration = Duration::from_millis(500);

/// The maximum time between two confirmations of the targets. The watch of the targets ends without
/// a change when this time has passed.
const TARGETS_WATCH_WAIT: Duration = Duration::from_millis(1000);

/// How long one call of the operators' watch waits for a change. A watch whose connection no longer
/// carries data is found broken after this time and the timeouts of a call, so that this daemon and
/// those that follow it are up to date 4 s after the connection failed.
const OPERATOR_WATCH_WAIT: Duration = Duration::from_millis(2000);

/// How long a response with operators' items may be under way before the zones out of service are
/// read separately. A large configuration takes seconds on a slow link.
const ZONES_READ_DELAY: Duration = Duration::from_millis(500);

/// The time between two separate reads of the zones out of service.
const ZONES_READ_PERIOD: Duration = Duration::from_millis(1000);

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
    // Whether the store may hold a change that the last watch has not reported.
    let mut is_check_due = false;
    loop {
        let was_following =
            wait_while_following(&shared, |announced| known.is_none_or(|known| announced > known))
                .await;
        // A follower reads a change that the zone reader announced. This change is already in the
        // store, so the watch need not wait.
        let is_immediate = was_following || std::mem::take(&mut is_check_due);
        let wait = if is_immediate { Duration::ZERO } else { OPERATOR_WATCH_WAIT };
        tracker.wait_until_due().await;
        // A watch can only fail if the store has returned from a copy since the known revision.
        let newest_era = newest_known_era(&shared);
        known = known.filter(|known| known.era >= newest_era);
        let request = match known {
            None => {
                let call = source.read_operator_state();
                let no_wait = Duration::ZERO;
                let result = await_with_zones(&*source, &directory_actor, no_wait, call).await;
                tracker.record_result("watch", result).map(|read| {
                    known = Some(read.value.revision);
                    Request::OperatorStateRead(read)
                })
            }
            Some(after) => {
                let call = source.watch_operator_changes(after, wait);
                let call = await_with_zones(&*source, &directory_actor, wait, call);
                let result = tokio::select! {
                    result = call => result,
                    // The connection of the watch may have failed: the process was paused, or another
                    // call got no response.
                    () = shared.reader_wakeup.notified() => {
                        known = None;
                        continue;
                    }
                    () = shared.operator_check.notified(), if !is_immediate => {
                        is_check_due = true;
                        continue;
                    }
                };
                match &result {
                    Ok(_) => {}
                    // Nothing was missed, so the watch continues, at first without waiting.
                    Err(error) if is_call_rejected(error) => is_check_due = true,
                    // Changes may have been missed, or only watches may get no response, so all of
                    // the operators' items are read again.
                    Err(_) => known = None,
                }
                tracker.record_result("watch", result).map(|read| {
                    known = Some(read.value.revision.max(after));
                    Request::OperatorChangesRead(read)
                })
            }
        };
        shared.read_operator_revision.store(Arc::new(known.unwrap_or_default()));
        if directory_actor.cast(request.unwrap_or(Request::StoreCallFailed)).is_err() {
            return;
        }
    }
}

/// Returns the result of `call`, a read of the operators' items that the store answers after `wait` at
/// the latest. While its response is under way, the zones out of service are read separately.
async fn await_with_zones<T>(
    source: &impl Source,
    directory_actor: &ActorRef<Request>,
    wait: Duration,
    call: impl Future<Output = T>,
) -> T {
    let mut call = pin!(call);
    let mut next = tokio::time::Instant::now() + wait + ZONES_READ_DELAY;
    loop {
        let read_zones = async {
            sleep_until(next).await;
            source.read_zones_out().await
        };
        let zones = tokio::select! {
            result = &mut call => return result,
            zones = read_zones => zones,
        };
        match zones {
            Ok(read) => {
                if directory_actor.cast(Request::ZonesOutRead(read)).is_err() {
                    return call.await;
                }
            }
            Err(error) => debug!("zones out of service could not be read separately: {error}"),
        }
        next = tokio::time::Instant::now() + ZONES_READ_PERIOD;
    }
}

/// Reads and watches the targets until the directory actor has stopped.
pub(super) async fn run_targets_reader(
    source: Arc<impl Source>,
    directory_actor: ActorRef<Request>,
    shared: Arc<Shared>,
    durations: Histogram,
    seed: u64,
) {
    let mut tracker = CallTracker::new(Call::Targets, seed, durations, shared.clone());
    // The revision up to which this task has read the changes of the targets.
    let mut known: Option<Revision> = None;
    // Whether the store no longer holds the history after the known revision.
    let mut is_history_lost = false;
    let mut confirm_until = Instant::now();
    loop {
        wait_while_following(&shared, |_| false).await;
        tracker.wait_until_due().await;
        let called_at = Instant::now();
        let is_list_needed = is_history_lost || shared.view.load().is_listing_due;
        let after = if is_list_needed { None } else { known.max(known_revision(&shared)) };
        let request = match after {
            None => {
                // A stale read may be from before the return of the store from a copy.
                let consistency = match known_revision(&shared) {
                    None => Consistency::Stale,
                    Some(_) => Consistency::Linearizable,
                };
                let result = read_all_targets(&*source, consistency).await;
                tracker.record_result("targets", result).map(|read| {
                    if is_history_lost {
                        // The changes that the list includes are not counted.
                        let lowest = Revision::default();
                        request_operator_check(&shared, lowest, read.value.revision, &[]);
                    }
                    known = Some(read.value.revision);
                    is_history_lost = false;
                    Request::TargetsRead(read)
                })
            }
            Some(after) => {
                let wait = confirm_until.saturating_duration_since(called_at);
                let result = tokio::select! {
                    result = source.watch_targets(after, wait) => result,
                    // The connection of the watch may have failed: the process was paused, or another
                    // call got no response.
                    () = shared.reader_wakeup.notified() => {
                        confirm_until = called_at;
                        continue;
                    }
                };
                is_history_lost = result.as_ref().is_err_and(is_history_unusable);
                tracker.record_result("watch", result).map(|read| {
                    let ListingUpdate { revision, changes } = &read.value;
                    request_operator_check(&shared, after, *revision, changes);
                    known = Some(read.value.revision.max(after));
                    Request::TargetsUpdated(read)
                })
            }
        };
        let has_succeeded = request.is_some();
        if directory_actor.cast(request.unwrap_or(Request::StoreCallFailed)).is_err() {
            return;
        }
        confirm_until = Instant::now();
        if has_succeeded {
            confirm_until += TARGETS_WATCH_WAIT;
            let next = tokio::time::Instant::from_std(called_at + TARGETS_PERIOD);
            let wakeup = shared.reader_wakeup.notified();
            if tokio::time::timeout_at(next, wakeup).await.is_ok() {
                // After a pause of the process, the targets are confirmed at once.
                confirm_until = Instant::now();
            }
        }
    }
}

/// Wakes the reader of the operators' items if the store has changed up to `revision` more often than
/// that reader has read and the targets' changes since `after` show. The connection of the operators'
/// watch may have stopped carrying data, which only its timeout would show.
///
/// The store counts one revision for each change. If it counted more, there would be one needless call
/// for each update of the targets. Numbers of different eras cannot be compared: in a later era than
/// the one that the reader has read, the watch is always woken.
fn request_operator_check(
    shared: &Shared,
    after: Revision,
    revision: Revision,
    changes: &[EntryChange],
) {
    let read: Revision = **shared.read_operator_revision.load();
    let known = after.max(read);
    let explained = changes.iter().filter(|change| change.revision() > known).count();
    let is_change_missing = known.era == revision.era
        && revision.number.saturating_sub(known.number) > explained as u64;
    let is_era_missing = read.era < revision.era && read != Revision::default();
    if is_change_missing || is_era_missing {
        shared.operator_check.notify_one();
    }
}

/// Returns the latest era of the store that the zone reader has announced or in which the targets are
/// known.
fn newest_known_era(shared: &Shared) -> u64 {
    let announced: Revision = **shared.announced_operator_revision.load();
    announced.era.max(shared.view.load().revision.era)
}

/// Returns the revision at which the targets are known, from the store or from another daemon.
fn known_revision(shared: &Shared) -> Option<Revision> {
    let view = shared.view.load();
    view.read_at.map(|_| view.revision)
}

/// Reads all targets. A stale read is cheap, and the changes since its revision bring it up to date,
/// however old it is, unless it is from another era.
async fn read_all_targets(
    source: &impl Source,
    consistency: Consistency,
) -> Result<ReadOutcome<Listing>, Error> {
    let mut read = match source.read_targets(consistency).await {
        Err(Error::EraChanged { .. }) if consistency == Consistency::Stale => {
            return source.read_targets(Consistency::Linearizable).await;
        }
        result => result?,
    };
    if consistency == Consistency::Linearizable {
        return Ok(read);
    }
    match source.watch_targets(read.value.revision, Duration::ZERO).await {
        Ok(update) if update.value.revision < read.value.revision => {
            source.read_targets(Consistency::Linearizable).await
        }
        Ok(update) => {
            read.value.apply(update.value);
            read.responded_at = update.responded_at;
            read.rejected.extend(update.rejected);
            Ok(read)
        }
        // The stale copy is older than the history of the store, or the changes since then cannot be
        // read.
        Err(error) if is_history_unusable(&error) => {
            source.read_targets(Consistency::Linearizable).await
        }
        Err(error) => Err(error),
    }
}

/// Returns whether a watch from the same revision would fail again: the store no longer holds the
/// history since then or has returned from a copy, or its response is too long or malformed.
fn is_history_unusable(error: &Error) -> bool {
    matches!(
        error,
        Error::Gone { .. }
            | Error::EraChanged { .. }
            | Error::TooLong { .. }
            | Error::Malformed { .. }
    )
}

/// Returns whether the store rejected the call or could not be reached. The history that the store
/// holds is then as usable as before, and a read of all items would fail as well.
fn is_call_rejected(error: &Error) -> bool {
    matches!(
        error,
        Error::RateLimited
            | Error::Unavailable { .. }
            | Error::Connect { .. }
            | Error::ConnectionLost { .. }
    )
}

/// Waits while this daemon follows a zone reader. Ends early if `is_unread` returns true for the
/// revision of the operators' last change that the zone reader has announced. Returns whether this
/// daemon followed a zone reader at the start of the call.
async fn wait_while_following(shared: &Shared, is_unread: impl Fn(Revision) -> bool) -> bool {
    let was_following = shared.is_following.load(Ordering::Relaxed);
    while shared.is_following.load(Ordering::Relaxed)
        && !is_unread(**shared.announced_operator_revision.load())
    {
        // The condition is checked again both after a wake-up and after the timeout.
        let wakeup = async {
            tokio::select! {
                () = shared.reader_wakeup.notified() => {}
                () = shared.operator_announcement.notified() => {}
            }
        };
        let _ = timeout(FOLLOWING_CHECK_PERIOD, wakeup).await;
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

    /// Records the result of a call of this kind, and returns the value of a successful one. A line
    /// is logged only for the first failure and for the first success after failures.
    fn record_result<T>(&mut self, kind: &'static str, result: Result<T, Error>) -> Option<T> {
        let call = self.call;
        let is_failing = match call {
            Call::Operator => &self.shared.is_operator_read_failing,
            Call::Targets => &self.shared.is_targets_read_failing,
        };
        is_failing.store(result.is_err(), Ordering::Relaxed);
        let kind = if result.is_ok() { kind } else { "failed" };
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
                    if matches!(error, Error::Timeout { .. }) {
                        // The connection of the other watch may have stopped carrying data too.
                        self.shared.reader_wakeup.notify_waiters();
                    }
                }
                self.schedule.record_failure(Instant::now(), &error);
                None
            }
        }
    }
}
