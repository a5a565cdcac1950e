use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use log::debug;
use tokio::sync::mpsc;

use crate::{
    cookie::{
        Forwarder,
        work::{Batch, Publisher, Report},
    },
    gateway::{report_counters::ReportCounters, shared::Shared, zone_peers::zone_peers},
    member::{Id, Info},
};

/// The minimum time between two log lines.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// The reports of one frame of another daemon.
#[derive(Debug)]
pub(super) struct ReceivedReports {
    pub(super) from: Id,
    pub(super) reports: Vec<Report>,
    pub(super) received_at: Instant,
}

/// The part of the packet loop that exchanges reports with the tasks that send and receive them.
pub(super) struct ReportExchange {
    info: Info,
    publisher: Publisher,
    outgoing: mpsc::Sender<Batch>,
    received: mpsc::Receiver<ReceivedReports>,
    shared: Arc<Shared>,
    last_log: LogState,
}

/// The counters at the last log line.
#[derive(Debug)]
struct LogState {
    logged_at: Instant,
    sent: u64,
    received: u64,
}

impl ReportExchange {
    /// Creates the exchange of the daemon `info`, which queues batches to `outgoing` and takes reports
    /// from `received`.
    pub(super) fn new(
        info: Info,
        outgoing: mpsc::Sender<Batch>,
        received: mpsc::Receiver<ReceivedReports>,
        shared: Arc<Shared>,
    ) -> ReportExchange {
        let now = Instant::now();
        let last_log = LogState { logged_at: now, sent: 0, received: 0 };
        let publisher = Publisher::new(now);
        ReportExchange { info, publisher, outgoing, received, shared, last_log }
    }

    /// Records that the process was paused.
    pub(super) fn record_pause(&mut self, now: Instant) {
        self.publisher.record_pause(now);
    }

    /// Passes the reports that have arrived to the forwarder, and queues its own ones. Is called in
    /// each tick of the packet loop.
    pub(super) fn tick(&mut self, now: Instant, forwarder: &mut Forwarder) {
        let counters = &self.shared.report_counters;
        while let Ok(ReceivedReports { from, reports, received_at }) = self.received.try_recv() {
            let used = forwarder.record_reports(received_at, from, &reports);
            ReportCounters::add(&counters.reports_received, reports.len());
            ReportCounters::add(&counters.reports_ignored, reports.len() - used);
        }
        let own = forwarder.own_reports(now);
        // Failed daemons stay among the members for a day, so only the alive ones are counted.
        let peers = match own.is_empty() {
            true => 0,
            false => zone_peers(&self.shared.members.load(), &self.info).count(),
        };
        if let Some(batch) = self.publisher.publish(now, &own, peers)
            && self.outgoing.try_send(batch).is_err()
        {
            ReportCounters::add(&counters.frames_dropped, 1);
        }
        self.log(now);
    }

    fn log(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_log.logged_at) < LOG_PERIOD {
            return;
        }
        let counters = &self.shared.report_counters;
        let sent = ReportCounters::get(&counters.reports_sent);
        let received = ReportCounters::get(&counters.reports_received);
        if (sent, received) == (self.last_log.sent, self.last_log.received) {
            return;
        }
        debug!(
            sent = sent - self.last_log.sent, received = received - self.last_log.received,
            ignored_total = ReportCounters::get(&counters.reports_ignored),
            bytes_total = ReportCounters::get(&counters.bytes_sent);
            "reports about targets were exchanged"
        );
        self.last_log = LogState { logged_at: now, sent, received };
    }
}
