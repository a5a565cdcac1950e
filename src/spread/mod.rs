//! Dissemination of tickets from the platform's readers to all members.

mod message;

pub use message::Message;
