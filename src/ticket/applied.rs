use crate::ticket::Object;

/// What a ticket that was not refused has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The ticket is newly in force.
    New {
        /// The objects whose content in force has changed. Objects that a higher number set
        /// before are left out.
        changed: Vec<Object>,
    },
    /// The ticket was in force before.
    Known,
}
