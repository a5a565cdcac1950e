use crate::platform::Index;

/// The status of the watch of the tickets.
#[derive(Debug, Clone, Default)]
pub(super) struct WatchStatus {
    /// The index of the last tickets that were read.
    pub(super) index: Index,
    /// Failed calls since the last success.
    pub(super) failures: u32,
    /// When the platform last answered.
    pub(super) last_success: Option<std::time::Instant>,
}
