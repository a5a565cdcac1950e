//! The API that the command-line tool and joining members use.
//!
//! The API answers over HTTP and is read-only: tickets are the only way to change the system. It
//! has no authentication, so `admin` in the settings must be a management address that callers
//! cannot reach. What a client can cost the daemon is limited: the number of connections, the size
//! of requests, the number of waiting requests and the time of each.
//!
//! The server knows nothing of the node. It sends each call as a [`Request`] with the channel for
//! the answer, and the node answers in its own time.

mod actor_call;
mod api;
mod client;
mod cursor;
mod error;
mod explain;
mod flows;
mod limits;
mod member;
mod request;
mod server;
mod status;
mod target;
mod ticket;
mod zone;

pub(crate) use actor_call::{call_actor, encode_json};
pub use api::{ApiClient, ApiServer};
pub use client::{Client, connect};
pub use cursor::Cursor;
pub use error::{Error, Result};
pub use explain::{BaseTarget, Explanation, Question};
pub use flows::{Flows, TargetFlows};
pub use limits::Limits;
pub use member::Member;
pub use request::{Receiver, Reply, Request, Sender, channel};
pub use server::Server;
pub use status::{PlatformStatus, Status};
pub use target::Target;
pub use ticket::{AcceptedTicket, RefusedTicket, TicketReport, TicketState, Tickets};
pub use zone::Zone;

/// The largest response in bytes. The state snapshot is the largest: 9,400 targets in up to
/// 4 generations at about 300 bytes each, 11 MB.
pub(crate) const MAXIMUM_RESPONSE_BYTES: u32 = 32 * 1024 * 1024;
