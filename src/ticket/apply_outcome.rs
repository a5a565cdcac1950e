use crate::ticket::ObjectKey;

/// What a ticket that was not refused has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The ticket is newly in force.
    New {
        /// The objects whose content in force has changed. Objects that a higher number set
        /// before are left out.
        changed: Vec<ObjectKey>,
    },
    /// The ticket was in force before.
    AlreadyInForce,
}
