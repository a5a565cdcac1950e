use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

use arc_swap::ArcSwap;
use tokio::sync::Notify;

use crate::{
    cookie::{Counters, Forwarder, View},
    member,
};

/// What the parts of a daemon publish for each other.
#[derive(Debug, Default)]
pub(super) struct Shared {
    /// The view in force.
    pub(super) view: ArcSwap<View>,
    /// Whether the daemon has begun to stop.
    pub(super) is_leaving: AtomicBool,
    /// The members that are known.
    pub(super) members: ArcSwap<member::View>,
    /// The daemons in the own zone, with this one; 0 if they are not known yet.
    pub(super) zone_daemons: AtomicUsize,
    /// The admin addresses of other daemons from the settings.
    pub(super) contacts: ArcSwap<Vec<SocketAddr>>,
    /// Whether the daemon reaches neither targets nor other systems.
    pub(super) is_cut_off: AtomicBool,
    /// Whether the last read of what operators published failed.
    pub(super) is_operator_failing: AtomicBool,
    /// Whether the last read of the targets failed.
    pub(super) is_targets_failing: AtomicBool,
    /// The store's revision at the last answer to the watch.
    pub(super) known_revision: AtomicU64,
    /// Whether another daemon of the zone reads the store for this one.
    pub(super) is_following: AtomicBool,
    /// The revision of the last change of operators that the followed daemon knows.
    pub(super) operator_wanted: AtomicU64,
    /// Wakes the readers before their time.
    pub(super) read_now: Notify,
    /// What the packet loop observed until its last sweep.
    pub(super) observed: ArcSwap<Observed>,
    /// Datagrams that are no packets.
    pub(super) malformed: AtomicU64,
    /// Datagrams that the system refused to send.
    pub(super) unsent: AtomicU64,
}

/// What the packet loop has observed.
#[derive(Debug, Clone, Default)]
pub(super) struct Observed {
    pub(super) counters: Counters,
    /// The flows in the table.
    pub(super) flows: u64,
    /// The lines that were left out of the log since the last line.
    pub(super) suppressed: u64,
}

impl Shared {
    /// Returns whether the fabric may send to this daemon. A daemon that reaches neither targets
    /// nor the store is cut off, and the daemons of other zones may serve its callers.
    pub(super) fn is_ready(&self) -> bool {
        self.view.load().is_complete()
            && !self.is_leaving.load(Ordering::Relaxed)
            && !self.is_cut_off.load(Ordering::Relaxed)
    }

    /// Returns whether the store or a daemon of another zone does not answer this daemon.
    pub(super) fn is_path_broken(&self, zone: &str) -> bool {
        let members = self.members.load();
        let mut others = members.iter().filter(|(_, member)| *member.info.zone != *zone);
        self.failing_calls() > 0
            || others.any(|(_, member)| member.status == member::Status::Suspect)
    }

    /// Returns whether the daemon cannot learn from the store what it needs.
    pub(super) fn needs_help(&self) -> bool {
        self.failing_calls() > 0 || !self.view.load().is_complete()
    }

    /// Returns how many of the two kinds of calls to the store failed last.
    pub(super) fn failing_calls(&self) -> u32 {
        if self.is_following.load(Ordering::Relaxed) {
            return 0;
        }
        let kinds = [&self.is_operator_failing, &self.is_targets_failing];
        kinds.into_iter().map(|kind| u32::from(kind.load(Ordering::Relaxed))).sum()
    }

    /// Puts a view in force.
    pub(super) fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// Publishes what the packet loop has observed.
    pub(super) fn observe(&self, forwarder: &Forwarder, suppressed: u64) {
        let observed = Observed {
            counters: forwarder.counters().clone(),
            flows: forwarder.flow_count() as u64,
            suppressed,
        };
        self.observed.store(Arc::new(observed));
    }

    /// Counts a datagram that is no packet.
    pub(super) fn count_malformed(&self) {
        self.malformed.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts datagrams that the system refused to send.
    pub(super) fn count_unsent(&self, count: u64) {
        self.unsent.fetch_add(count, Ordering::Relaxed);
    }
}
