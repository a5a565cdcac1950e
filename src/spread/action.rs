use crate::{
    member,
    spread::Message,
    ticket::{Invalid, Number, Object, Refusal},
};

/// What the caller of the [`Disseminator`](crate::spread::Disseminator) must do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a message to another member.
    Send {
        /// The member.
        to: member::Id,
        /// The message.
        message: Message,
    },
    /// Compiles the route table again, because the state has changed.
    Changed {
        /// The objects whose content in force has changed; empty if only older generations did.
        objects: Vec<Object>,
    },
    /// Notes that a ticket is in force at this daemon.
    InForce(Number),
    /// Counts and shows the refusal of a ticket from the platform.
    Refused(Refusal),
    /// Counts and shows items of another member that did not validate.
    Invalid(Vec<Invalid>),
}
