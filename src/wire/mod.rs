//! The encoding and authentication of frames between daemons.
//!
//! Each frame is one UDP datagram. A data packet that is forwarded between daemons follows the
//! encoded body unchanged, so the packet is copied once and the codec does not parse it.

mod body;
mod error;
mod frame;
mod keyring;
mod sender;
mod target_report;
mod trace_context;

pub use body::{Body, Hop, Record, RecordState, Stage};
pub use error::{Error, Result};
pub use frame::{Frame, MAX_FRAME_BYTES};
pub use keyring::{KeyNumber, Keyring, TAG_BYTES};
pub(crate) use sender::Sender;
pub use target_report::TargetReport;
pub use trace_context::TraceContext;
