use std::{sync::Arc, time::Duration};

use log::warn;
use ractor::ActorRef;
use tokio::time::{Instant, sleep_until};

use crate::{
    member::Info,
    node::{progress::Progress, request, shared::Shared},
    platform::{Backoff, Error, Index, Platform, Schedule, Vm},
};

/// How long a watch waits for news. The platform counts a waiting watch as one call.
const WAIT: Duration = Duration::from_secs(30);

/// Watches the tickets while this daemon is a reader.
pub(super) async fn tickets(
    platform: Arc<impl Platform>,
    shared: Arc<Shared>,
    actor: ActorRef<request::Tickets>,
    seed: u64,
) {
    let mut is_reader = shared.is_reader.subscribe();
    let mut watch = Watch::new("tickets", seed);
    while is_reader.wait_for(|is_reader| *is_reader).await.is_ok() {
        watch.wait().await;
        let call = platform.tickets(watch.index, watch.patience());
        let result = tokio::select! {
            result = call => result,
            _ = is_reader.wait_for(|is_reader| !*is_reader) => continue,
        };
        let tickets = watch.finish(result);
        if let Some(tickets) = &tickets {
            watch.index = tickets.index;
        }
        shared.platform.store(Arc::new(watch.progress()));
        if let Some(tickets) = tickets
            && actor.cast(request::Tickets::Published(tickets.tickets)).is_err()
        {
            return;
        }
    }
}

/// Watches the list of VMs while this daemon is a reader.
pub(super) async fn vms(
    platform: Arc<impl Platform>,
    shared: Arc<Shared>,
    actor: ActorRef<request::Members>,
    seed: u64,
) {
    let mut is_reader = shared.is_reader.subscribe();
    let mut watch = Watch::new("vms", seed);
    while is_reader.wait_for(|is_reader| *is_reader).await.is_ok() {
        watch.wait().await;
        let call = platform.vms(watch.index, watch.patience());
        let result = tokio::select! {
            result = call => result,
            _ = is_reader.wait_for(|is_reader| !*is_reader) => continue,
        };
        if let Some(vms) = watch.finish(result) {
            watch.index = vms.index;
            let contacts = vms.vms.iter().map(info).collect();
            if actor.cast(request::Members::Contacts(contacts)).is_err() {
                return;
            }
        }
    }
}

/// Returns what a member would say about itself.
pub(super) fn info(vm: &Vm) -> Info {
    Info {
        name: vm.name.clone(),
        region: vm.region.clone(),
        zone: vm.zone.clone(),
        peer: vm.peer,
        admin: vm.admin,
    }
}

/// The position and pace of one watch.
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

    fn progress(&self) -> Progress {
        Progress {
            index: self.index,
            failures: self.schedule.failures(),
            last_success: self.last_success,
        }
    }

    /// Waits until the next call may start.
    async fn wait(&mut self) {
        sleep_until(Instant::from_std(self.schedule.next_start())).await;
        self.schedule.record_start(std::time::Instant::now());
    }

    /// Returns how long the platform may wait. After a failure it must answer at once.
    fn patience(&self) -> Duration {
        if self.schedule.failures() > 0 { Duration::ZERO } else { WAIT }
    }

    /// Notes the result of a call. Lines are only written when the platform goes or returns.
    fn finish<T>(&mut self, result: Result<T, Error>) -> Option<T> {
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
