use std::net::SocketAddr;

use crate::member::{Id, Message};

/// What the caller of the failure detector has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver.
        to: Id,
        /// The receiver's address.
        address: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Publish the view; a member or its state has changed.
    ViewChanged,
    /// The view was compared with other members after a pause.
    Confirmed {
        /// Whether a member has answered and all differences were fetched in time.
        complete: bool,
    },
}
