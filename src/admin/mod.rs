//! The admin API, which the command-line tool and other daemons call.
//!
//! The API is JSON-RPC over HTTP and read-only: tickets are the only way to change the system. It
//! has no authentication, so `admin` in the settings must be a management address that callers
//! cannot reach. The load that clients can put on the daemon is bounded by limits on the number of
//! connections, the size of requests, the number of waiting requests and the time of each.
//!
//! The server does not depend on the node that answers. It sends each call to the node as a
//! [`Request`] that contains the channel for the answer, and the node answers asynchronously.

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

/// The maximum size of a response in bytes. The state snapshot is the largest response: 9,400
/// targets in up to 4 generations at about 300 bytes each, 11 MB.
pub(crate) const MAXIMUM_RESPONSE_BYTES: u32 = 32 * 1024 * 1024;
