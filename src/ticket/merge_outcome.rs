use crate::ticket::{ObjectKey, ValidationError};

/// What merged items have changed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MergeOutcome {
    /// The objects whose content in force has changed.
    pub changed: Vec<ObjectKey>,
    /// Whether anything was new, also an older generation.
    pub state_changed: bool,
    /// The items that did not validate and were left out.
    pub invalid: Vec<ValidationError>,
    /// The number of items that repeat a number with other content.
    pub conflicts: usize,
}
