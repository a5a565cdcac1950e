use crate::platform::Index;

/// How far the watch of the tickets has come.
#[derive(Debug, Clone, Default)]
pub(super) struct WatchStatus {
    /// The index of the last tickets.
    pub(super) index: Index,
    /// Failed calls since the last success.
    pub(super) failures: u32,
    /// When the platform last answered.
    pub(super) last_success: Option<std::time::Instant>,
}
