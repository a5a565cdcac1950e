//! Frames between daemons: codec and authentication.
//!
//! Each frame is one UDP datagram. A data packet that hops between daemons follows
//! the encoded body as it is, so it is copied once and never parsed by the codec.

mod body;
mod error;
mod frame;
mod keyring;
mod sender;
mod trace_context;

pub use body::{Body, Hop, Record, RecordState, Stage};
pub use error::{Error, Result};
pub use frame::{Frame, MAX_FRAME_BYTES};
pub use keyring::{KeyNumber, Keyring, TAG_BYTES};
pub(crate) use sender::Sender;
pub use trace_context::TraceContext;
