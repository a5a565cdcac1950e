//! The daemon in gateway mode: the sockets, timers, actors and calls around
//! [`cookie`](crate::cookie).
//!
//! The tasks in `reader` call the platform's key-value store and send the results to the directory
//! actor, which owns the [`Directory`](crate::cookie::Directory). The actor publishes a new
//! [`View`](crate::cookie::View) after each message, and the packet loop loads the newest view
//! without taking a lock. The formats of the platform are behind the traits [`Source`] and
//! [`Codec`].
//!
//! The *fabric* is the platform's network. It calls the readiness check of each daemon and sends
//! the packets of callers to the daemons that are ready.

mod admin_handler;
mod checker;
mod codec;
mod command;
mod component;
mod daemon;
mod directory_actor;
mod error;
mod event_logger;
mod follow;
mod follow_response;
mod members;
mod metrics;
mod packets;
mod pause_detector;
mod peer_client;
mod peer_state;
mod reader;
mod readiness;
mod report_counters;
mod report_exchange;
mod report_receiver;
mod report_sender;
mod shared;
mod source;
mod zone_peers;

pub use crate::util::BindError;
pub use codec::{Codec, DecodeError};
pub use daemon::Gateway;
pub use error::{Error, Result};
pub use source::{Changes, Consistency, ReadOutcome, RejectedItem, Source};

/// The largest number of changes of one view that are logged with a line each. More of them are
/// logged as one line with their number.
const MAXIMUM_CHANGE_LINES: usize = 8;
