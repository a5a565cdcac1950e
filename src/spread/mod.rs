//! Dissemination of tickets from the platform's readers to all members.
//!
//! The platform's call limit does not grow with the fleet, so only two members of each zone
//! read it. The others learn of new tickets by announcements, and of everything that
//! announcements missed by comparing their state with a random member. Both work with any
//! member lost, and neither needs a member that knows who has which ticket.
//!
//! Announcements are pushed for few seconds only. Comparing states repairs what a lost message,
//! a partition or a pause left out, so nothing depends on a single message.

mod action;
mod config;
mod confirmation;
mod counters;
mod disseminator;
mod message;
mod peers;
mod queue;
mod reassembly;

pub use action::Action;
pub use config::Config;
pub use counters::Counters;
pub use disseminator::Disseminator;
pub use message::{Blob, BlobRequest, MAX_MESSAGE_BYTES, Message, Part};
