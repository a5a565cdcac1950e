use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of the reports about targets that the daemons of a zone exchange.
#[derive(Debug, Default)]
pub(super) struct ReportCounters {
    pub(super) frames_sent: AtomicU64,
    pub(super) reports_sent: AtomicU64,
    /// The bytes of the frames sent, without the headers of IP and UDP.
    pub(super) bytes_sent: AtomicU64,
    pub(super) frames_received: AtomicU64,
    pub(super) reports_received: AtomicU64,
    /// Reports received that were not used: invalid or outdated, or about an unknown target.
    pub(super) reports_ignored: AtomicU64,
    /// Frames and batches dropped: the queue was full, the sender was not a known daemon of the zone,
    /// or the frame could not be sent.
    pub(super) frames_dropped: AtomicU64,
}

impl ReportCounters {
    /// Adds `count` to a counter.
    pub(super) fn add(counter: &AtomicU64, count: usize) {
        counter.fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Returns the value of a counter.
    pub(super) fn get(counter: &AtomicU64) -> u64 {
        counter.load(Ordering::Relaxed)
    }
}
