//! The settings of a daemon: JSON with comments, strictly checked.
//!
//! A daemon that starts with a wrong setting harms other daemons: a wrong key cuts it off, a
//! wrong address draws packets that nobody receives. Everything that can be checked is therefore
//! checked before the first socket is opened, and every refusal names the place in the file.
//!
//! Key material never leaves this module as text: [`Secret`] has no `Display`, its `Debug` is
//! redacted, and the excerpts in errors are masked.

mod check;
mod control;
mod document;
mod error;
mod key;
mod limits;
mod locate;
mod log;
mod mask;
mod problem;
mod secret;
mod strict;
mod trace;

pub use control::Control;
pub use document::Settings;
pub use error::{Error, Located, Result};
pub use key::Key;
pub use limits::Limits;
pub use log::{Format, Level, Log};
pub use problem::{Problem, Step};
pub use secret::Secret;
pub use trace::{Output, Trace};

/// The largest settings text in bytes.
pub const MAXIMUM_BYTES: usize = 64 * 1024;
