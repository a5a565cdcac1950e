/// A position in a pass over a [`Table`](super::Table).
///
/// A table that grows moves its entries, so a pass starts again when that has happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Cursor {
    pub(super) position: usize,
    pub(super) buckets: usize,
}
