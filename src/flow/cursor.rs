/// A position in an incremental scan of a [`Table`](super::Table).
///
/// A table that grows moves its entries to other buckets, so the scan then starts again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Cursor {
    pub(super) position: usize,
    pub(super) buckets: usize,
}
