use std::{sync::Arc, time::Instant};

use tokio::sync::mpsc;

use crate::{
    cookie::work::Report,
    gateway::{report_counters::ReportCounters, report_exchange::ReceivedReports, shared::Shared},
    member::{Id, Info},
    wire::TargetReport,
};

/// Passes reports from the receiver of frames to the packet loop.
pub(super) struct ReportReceiver {
    pub(super) info: Info,
    pub(super) shared: Arc<Shared>,
    /// The queue to the packet loop; `None` if the daemon does not exchange reports.
    pub(super) queue: Option<mpsc::Sender<ReceivedReports>>,
}

impl ReportReceiver {
    /// Queues the reports of a frame of the daemon `from`. They are dropped if the queue is full or
    /// `from` is not another known daemon of the own zone.
    pub(super) fn receive(&self, from: Id, reports: Vec<TargetReport>) {
        let Some(queue) = &self.queue else {
            return;
        };
        let counters = &self.shared.report_counters;
        ReportCounters::add(&counters.frames_received, 1);
        let reports = reports.into_iter().map(Report::from).collect();
        let received = ReceivedReports { from, reports, received_at: Instant::now() };
        if !self.is_zone_peer(from) || queue.try_send(received).is_err() {
            ReportCounters::add(&counters.frames_dropped, 1);
        }
    }

    fn is_zone_peer(&self, id: Id) -> bool {
        let members = self.shared.members.load();
        let member = members.get(id);
        id != self.info.id() && member.is_some_and(|member| member.info.zone == self.info.zone)
    }
}
