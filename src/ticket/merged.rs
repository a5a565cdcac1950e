use crate::ticket::{Invalid, Object};

/// What merged items have changed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Merged {
    /// The objects whose content in force has changed.
    pub changed: Vec<Object>,
    /// Whether anything was new, also an older generation.
    pub new: bool,
    /// The items that did not validate and were left out.
    pub invalid: Vec<Invalid>,
    /// The number of items that repeat a number with other content.
    pub conflicts: usize,
}
