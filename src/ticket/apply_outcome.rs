use crate::ticket::ObjectKey;

/// The effect of a ticket that was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The ticket has come into force, or has added versions that were missing.
    New {
        /// The objects whose content in force has changed. Objects that a higher number set
        /// before are left out.
        changed: Vec<ObjectKey>,
    },
    /// The ticket was already in force and has changed nothing.
    AlreadyInForce,
}
