use crate::ticket::{ObjectKey, ValidationError};

/// The effect of merging items into the state.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MergeOutcome {
    /// The objects whose content in force has changed.
    pub changed: Vec<ObjectKey>,
    /// Whether the state has changed. This includes a new older version of a service, which does
    /// not change the content in force.
    pub state_changed: bool,
    /// The items that did not validate and were left out.
    pub invalid: Vec<ValidationError>,
    /// The number of items that repeat a number with other content.
    pub conflicts: usize,
}
