use std::net::SocketAddr;

use crate::member::{Id, Message};

/// An effect that the caller of the [`Detector`](crate::member::Detector) carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Sends a message to another member.
    Send {
        /// The id of the receiver.
        to: Id,
        /// The address at which the receiver accepts frames.
        address: SocketAddr,
        /// The message to send.
        message: Message,
    },
    /// Publishes the view, because a member was added or removed or has changed. A daemon
    /// also adds this output itself when the owners must be ranked again for another reason, such as
    /// a change of the zones out of service.
    ViewChanged,
    /// Reports that the confirmation of the view that [`Detector::confirm`] started has ended.
    ///
    /// [`Detector::confirm`]: crate::member::Detector::confirm
    Confirmed {
        /// Whether at least one member answered and all differences to its view were fetched
        /// before the timeout.
        complete: bool,
    },
}
