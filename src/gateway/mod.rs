//! The daemon in gateway mode: sockets, timers and calls around [`cookie`](crate::cookie).
//!
//! A reader calls the store and hands what it reads to the *directory actor*, an actor that owns the
//! [`Directory`](crate::cookie::Directory). The directory actor publishes a
//! [`View`](crate::cookie::View), which the packet loop uses without waiting for anybody. The
//! platform's formats are behind two traits, [`Source`] and [`Codec`].

mod admin_handler;
mod codec;
mod command;
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
mod read_policy;
mod reader;
mod readiness;
mod shared;
mod source;

pub use crate::util::BindError;
pub use codec::{Codec, DecodeError};
pub use daemon::Gateway;
pub use error::{Error, Result};
pub use read_policy::ReadPolicy;
pub use source::{Changes, Consistency, ReadOutcome, RejectedItem, Source};
