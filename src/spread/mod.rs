//! Dissemination of tickets from the zone readers to all members.
//!
//! The call limit of the platform does not grow with the number of daemons, so only two members
//! of each zone, the zone readers, read the platform. The others receive new tickets by gossip:
//! members announce a ticket to random members, which fetch it. Anti-entropy transfers what gossip
//! missed: every member periodically compares its state with that of a random member. Gossip and
//! anti-entropy work after the loss of any member, and neither needs a directory of which member
//! has which ticket.
//!
//! A ticket is announced for a few seconds only. Anti-entropy repairs what a lost message, a
//! partition or a pause left out, so no single message is essential.

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
