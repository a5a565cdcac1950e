use std::{net::SocketAddr, sync::Arc, time::Instant};

use rand::seq::IteratorRandom as _;
use tokio::sync::mpsc;

use crate::{
    cookie::work::Batch,
    gateway::{report_counters::ReportCounters, shared::Shared, zone_peers::zone_peers},
    member::Info,
    wire::{Body, Sender, TargetReport},
};

/// Sends batches of reports to random other daemons of the own zone.
pub(super) struct ReportSender {
    pub(super) info: Info,
    pub(super) sender: Sender,
    pub(super) shared: Arc<Shared>,
    pub(super) batches: mpsc::Receiver<Batch>,
}

impl ReportSender {
    /// Sends the queued batches until the packet loop has ended.
    pub(super) async fn run(mut self) {
        while let Some(batch) = self.batches.recv().await {
            self.send(Instant::now(), &batch);
        }
    }

    fn send(&self, now: Instant, batch: &Batch) {
        let reports = batch.reports_at(now);
        if reports.is_empty() {
            return;
        }
        let encoded: Vec<TargetReport> = reports.into_iter().map(TargetReport::from).collect();
        let counters = &self.shared.report_counters;
        for peer in self.random_peers(batch.peers) {
            match self.sender.send(peer, Body::TargetReports(encoded.clone())) {
                0 => ReportCounters::add(&counters.frames_dropped, 1),
                bytes => {
                    ReportCounters::add(&counters.frames_sent, 1);
                    ReportCounters::add(&counters.reports_sent, encoded.len());
                    ReportCounters::add(&counters.bytes_sent, bytes);
                }
            }
        }
    }

    /// Returns the addresses of at most `count` random alive daemons of the own zone.
    fn random_peers(&self, count: usize) -> Vec<SocketAddr> {
        let members = self.shared.members.load();
        let addresses = zone_peers(&members, &self.info).map(|member| member.info.peer);
        addresses.sample(&mut rand::rng(), count)
    }
}
