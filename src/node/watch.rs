use std::{sync::Arc, time::Duration};

use log::warn;
use ractor::ActorRef;
use tokio::time::{Instant, sleep_until};

use crate::{
    member::Info,
    node::{request, shared::Shared, watch_status::WatchStatus},
    platform::{Backoff, Error, Index, Platform, Schedule, Vm},
};

/// The time that the platform may hold a call open until the list changes (long poll). The
/// platform counts a call that is held open as one call.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Watches the list of tickets while this daemon is a zone reader.
pub(super) async fn tickets(
    platform: Arc<impl Platform>,
    shared: Arc<Shared>,
    actor: ActorRef<request::Tickets>,
    seed: u64,
) {
    let mut is_reader = shared.is_reader.subscribe();
    let mut watch = Watch::new("tickets", seed);
    while is_reader.wait_for(|is_reader| *is_reader).await.is_ok() {
        watch.wait_until_due().await;
        let call = platform.tickets(watch.index, watch.wait_time());
        let result = tokio::select! {
            result = call => result,
            _ = is_reader.wait_for(|is_reader| !*is_reader) => continue,
        };
        let tickets = watch.record_result(result);
        if let Some(tickets) = &tickets {
            watch.index = tickets.index;
        }
        shared.ticket_watch.store(Arc::new(watch.status()));
        if let Some(tickets) = tickets
            && actor.cast(request::Tickets::Published(tickets.tickets)).is_err()
        {
            return;
        }
    }
}

/// Watches the list of VMs while this daemon is a zone reader.
pub(super) async fn vms(
    platform: Arc<impl Platform>,
    shared: Arc<Shared>,
    actor: ActorRef<request::Members>,
    seed: u64,
) {
    let mut is_reader = shared.is_reader.subscribe();
    let mut watch = Watch::new("vms", seed);
    while is_reader.wait_for(|is_reader| *is_reader).await.is_ok() {
        watch.wait_until_due().await;
        let call = platform.vms(watch.index, watch.wait_time());
        let result = tokio::select! {
            result = call => result,
            _ = is_reader.wait_for(|is_reader| !*is_reader) => continue,
        };
        if let Some(vms) = watch.record_result(result) {
            watch.index = vms.index;
            let contacts = vms.vms.iter().map(member_info).collect();
            if actor.cast(request::Members::Contacts(contacts)).is_err() {
                return;
            }
        }
    }
}

/// Returns the description of the member that runs on a VM.
pub(super) fn member_info(vm: &Vm) -> Info {
    Info {
        name: vm.name.clone(),
        region: vm.region.clone(),
        zone: vm.zone.clone(),
        peer: vm.peer,
        admin: vm.admin,
    }
}

/// The position and the call schedule of the watch of one list.
struct Watch {
    list: &'static str,
    index: Index,
    schedule: Schedule,
    last_success: Option<std::time::Instant>,
}

impl Watch {
    fn new(list: &'static str, seed: u64) -> Watch {
        let schedule = Schedule::new(Backoff::default(), seed, std::time::Instant::now());
        Watch { list, index: 0, schedule, last_success: None }
    }

    fn status(&self) -> WatchStatus {
        WatchStatus {
            index: self.index,
            failures: self.schedule.failures(),
            last_success: self.last_success,
        }
    }

    /// Waits until the schedule allows the next call, and records its start.
    async fn wait_until_due(&mut self) {
        sleep_until(Instant::from_std(self.schedule.next_start())).await;
        self.schedule.record_start(std::time::Instant::now());
    }

    /// Returns how long the platform may hold the next call open. After a failure the platform must
    /// answer at once, so that a recovery is seen without delay.
    fn wait_time(&self) -> Duration {
        if self.schedule.failures() > 0 { Duration::ZERO } else { MAX_WAIT }
    }

    /// Records the result of a call. Only the first failure and the recovery are logged.
    fn record_result<T>(&mut self, result: Result<T, Error>) -> Option<T> {
        let list = self.list;
        match result {
            Ok(value) => {
                if self.schedule.failures() > 0 {
                    log::info!("platform answers the watch of {list} again");
                }
                self.schedule.record_success();
                self.last_success = Some(std::time::Instant::now());
                Some(value)
            }
            Err(error) => {
                if self.schedule.failures() == 0 {
                    warn!("watch of {list} failed; the state in force stays: {error}");
                }
                if matches!(error, Error::Gone { .. }) {
                    self.index = 0;
                }
                self.schedule.record_failure(std::time::Instant::now(), &error);
                None
            }
        }
    }
}
