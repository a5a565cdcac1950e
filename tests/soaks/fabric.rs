//! Test double of the fabric, which selects the daemon that receives a caller's packet.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use tokio::{
    task::JoinSet,
    time::{MissedTickBehavior, interval, timeout},
};

use crate::gateways::daemon::{address, readiness};

use super::fleet::Fleet;

/// The interval of the readiness checks, and the number of failed checks in a row after which a
/// daemon is out of rotation.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const FAILURE_THRESHOLD: u32 = 2;

/// Readiness of the daemons and selection among the ready ones.
#[derive(Debug)]
pub(crate) struct Fabric {
    port: u16,
    fleet: Fleet,
    failed_checks: Vec<AtomicU32>,
}

impl Fabric {
    pub(crate) fn new(port: u16, fleet: Fleet) -> Fabric {
        let initial = |_| AtomicU32::new(FAILURE_THRESHOLD);
        Fabric { port, fleet, failed_checks: fleet.daemons.iter().map(initial).collect() }
    }

    /// Checks the readiness of all daemons until the task is aborted.
    pub(crate) async fn run(self: Arc<Fabric>) {
        let mut tasks = JoinSet::new();
        for (index, (number, _)) in self.fleet.daemons.iter().enumerate() {
            let fabric = self.clone();
            let data = address(*number, self.port);
            tasks.spawn(async move {
                let mut ticks = interval(CHECK_INTERVAL);
                ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
                loop {
                    ticks.tick().await;
                    let failed_checks = &fabric.failed_checks[index];
                    match timeout(CHECK_INTERVAL, readiness(data)).await {
                        Ok(200) => failed_checks.store(0, Ordering::Relaxed),
                        _ => {
                            failed_checks.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                }
            });
        }
        while tasks.join_next().await.is_some() {}
    }

    pub(crate) fn is_in_rotation(&self, daemon: u8) -> bool {
        self.failed_checks[usize::from(daemon) - 1].load(Ordering::Relaxed) < FAILURE_THRESHOLD
    }

    /// Returns the daemons in rotation.
    pub(crate) fn ready_daemons(&self) -> Vec<u8> {
        let numbers = self.fleet.daemons.iter().map(|(number, _)| *number);
        numbers.filter(|number| self.is_in_rotation(*number)).collect()
    }

    /// Returns the address of the daemon that receives a packet of a caller in `zone`.
    ///
    /// Packets go to the ready daemons of the zone, to all daemons of the zone if less than half of
    /// them are ready, or to the ready daemons of other zones if no daemon of the zone is ready.
    pub(crate) fn select_daemon(
        &self,
        zone: &str,
        caller: (Ipv4Addr, u16),
        service: (Ipv4Addr, u16),
    ) -> SocketAddr {
        let in_zone = self.fleet.daemons.iter().filter(|(_, of)| *of == zone);
        let all_in_zone: Vec<u8> = in_zone.map(|(number, _)| *number).collect();
        let ready = self.ready_daemons();
        let ready_in_zone: Vec<u8> =
            ready.iter().copied().filter(|n| all_in_zone.contains(n)).collect();
        let group = match () {
            () if ready_in_zone.is_empty() && !ready.is_empty() => ready,
            () if ready_in_zone.len() * 2 < all_in_zone.len() || ready_in_zone.is_empty() => {
                all_in_zone
            }
            () => ready_in_zone,
        };
        // Rendezvous hashing: when a daemon leaves the group, only its own flows move.
        let score = |number: &u8| {
            let mut hasher = DefaultHasher::new();
            (number, caller, service).hash(&mut hasher);
            hasher.finish()
        };
        let number = group.into_iter().max_by_key(score).expect("each zone has daemons");
        address(number, self.port)
    }
}
