use crate::{
    member,
    spread::Message,
    ticket::{Number, ObjectKey, Refusal, ValidationError},
};

/// An effect that the caller of the [`Disseminator`](crate::spread::Disseminator) carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a message to another member.
    Send {
        /// The id of the receiver.
        to: member::Id,
        /// The message to send.
        message: Message,
    },
    /// Compiles the route table again, because the state of tickets has changed.
    Changed {
        /// The objects whose content in force has changed. It is empty if only older generations
        /// have changed.
        objects: Vec<ObjectKey>,
    },
    /// Records that a ticket is in force at this daemon.
    InForce(Number),
    /// Counts and reports a ticket from the platform that was refused.
    Refused(Refusal),
    /// Counts and reports items from another member that failed validation.
    Invalid(Vec<ValidationError>),
}
