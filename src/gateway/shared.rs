use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Instant,
};

use arc_swap::ArcSwap;
use tokio::sync::Notify;

use crate::{
    cookie::{Counters, Forwarder, Revision, View},
    gateway::report_counters::ReportCounters,
    member,
};

/// The values that the tasks, actors and threads of a daemon publish for each other.
#[derive(Debug, Default)]
pub(super) struct Shared {
    /// The view by which packets are forwarded, published by the directory actor.
    pub(super) view: ArcSwap<View>,
    /// Whether the daemon is stopping.
    pub(super) is_leaving: AtomicBool,
    /// The known daemons, published by the actor `Members`.
    pub(super) members: ArcSwap<member::View>,
    /// The number of daemons among which the limit of a cold target is divided, published by the
    /// actor `Members`; 0 before the first time.
    pub(super) cold_sharers: AtomicUsize,
    /// The number of daemons in the own zone, including this one, published by the actor `Members`;
    /// 0 if it is not known.
    pub(super) zone_daemons: AtomicUsize,
    /// The number of queries of contacts for their member view that were answered, and that failed.
    pub(super) contact_answers: AtomicU64,
    pub(super) contact_failures: AtomicU64,
    /// The admin addresses of other daemons in the settings.
    pub(super) contacts: ArcSwap<Vec<SocketAddr>>,
    /// Whether no target answers and the store or another zone cannot be reached either, published
    /// by the packet loop.
    pub(super) is_cut_off: AtomicBool,
    /// Whether the last read or watch of the operators' items failed.
    pub(super) is_operator_read_failing: AtomicBool,
    /// Whether the last read of the targets failed.
    pub(super) is_targets_read_failing: AtomicBool,
    /// Whether this daemon follows a zone reader. If not, it reads the store itself: it is the zone
    /// reader, cannot follow it, or has not tried to follow it yet.
    pub(super) is_following: AtomicBool,
    /// The highest revision of an operators' change that the zone reader has announced. This daemon
    /// reads the change from the store.
    pub(super) announced_operator_revision: ArcSwap<Revision>,
    /// The revision up to which this daemon has read the operators' changes from the store; the lowest
    /// one if changes may have been missed.
    pub(super) read_operator_revision: ArcSwap<Revision>,
    /// The number of times that the store has returned from a copy while this daemon ran.
    pub(super) era_changes: AtomicU64,
    /// Wakes the reader of the operators' items, since the store may hold a change that its watch has
    /// not reported.
    pub(super) operator_check: Notify,
    /// Wakes the reader of the operators' items, since the zone reader has announced a change. Unlike
    /// `reader_wakeup`, it does not end a call that is under way.
    pub(super) operator_announcement: Notify,
    /// Wakes the tasks that read the store before their next period.
    pub(super) reader_wakeup: Notify,
    /// The statistics of the packet loop at its last sweep.
    pub(super) packet_loop_stats: ArcSwap<PacketLoopStats>,
    /// The number of datagrams that could not be decoded.
    pub(super) malformed: AtomicU64,
    /// The number of datagrams that the operating system did not send.
    pub(super) unsent: AtomicU64,
    /// The counters of the reports that the daemons of the zone exchange.
    pub(super) report_counters: ReportCounters,
}

/// The statistics of the packet loop.
#[derive(Debug, Clone, Default)]
pub(super) struct PacketLoopStats {
    pub(super) counters: Counters,
    /// The number of flows in the flow table.
    pub(super) flows: u64,
    /// The highest delay factor among the targets of each service.
    pub(super) highest_delays: BTreeMap<Arc<str>, f64>,
    /// The number of log lines that were left out since this number was last logged.
    pub(super) suppressed_lines: u64,
}

impl Shared {
    /// Returns whether the fabric may send packets to this daemon. A daemon that is cut off is not
    /// ready, so that daemons of other zones serve its callers.
    pub(super) fn is_ready(&self) -> bool {
        self.view.load().is_complete()
            && !self.is_leaving.load(Ordering::Relaxed)
            && !self.is_cut_off.load(Ordering::Relaxed)
    }

    /// Returns whether calls to the store fail or a daemon of another zone is suspected. `zone` is
    /// the zone of this daemon.
    pub(super) fn has_remote_failure(&self, zone: &str) -> bool {
        let members = self.members.load();
        let mut others = members.iter().filter(|(_, member)| *member.info.zone != *zone);
        self.failing_calls() > 0
            || others.any(|(_, member)| member.status == member::Status::Suspect)
    }

    /// Returns whether the daemon should fetch the state of a peer, since calls to the store fail
    /// or the view is not complete.
    pub(super) fn needs_peer_state(&self) -> bool {
        self.failing_calls() > 0 || !self.view.load().is_complete()
    }

    /// Returns the number of kinds of calls to the store (operators' items, targets) whose last
    /// call failed; 0 while this daemon follows a zone reader.
    pub(super) fn failing_calls(&self) -> u32 {
        if self.is_following.load(Ordering::Relaxed) {
            return 0;
        }
        let kinds = [&self.is_operator_read_failing, &self.is_targets_read_failing];
        kinds.into_iter().map(|kind| u32::from(kind.load(Ordering::Relaxed))).sum()
    }

    /// Publishes the revision of an operators' change that the zone reader has announced.
    pub(super) fn announce_operator_change(&self, revision: Revision) {
        self.announced_operator_revision.rcu(|announced| Revision::max(**announced, revision));
    }

    /// Publishes the view by which packets are forwarded from now on.
    pub(super) fn publish_view(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// Publishes the statistics of the packet loop.
    pub(super) fn publish_stats(&self, forwarder: &Forwarder, suppressed_lines: u64) {
        let stats = PacketLoopStats {
            counters: forwarder.counters().clone(),
            flows: forwarder.flow_count() as u64,
            highest_delays: forwarder.highest_delays(Instant::now()),
            suppressed_lines,
        };
        self.packet_loop_stats.store(Arc::new(stats));
    }

    /// Counts a datagram that could not be decoded.
    pub(super) fn count_malformed(&self) {
        self.malformed.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts datagrams that the operating system did not send.
    pub(super) fn count_unsent(&self, count: u64) {
        self.unsent.fetch_add(count, Ordering::Relaxed);
    }
}
