//! The settings of a daemon: JSON with comments, checked strictly.
//!
//! A daemon that starts with a wrong setting harms other daemons: a wrong key separates it from
//! them, and a wrong address attracts packets that nobody receives. Everything that can be checked
//! is therefore checked before the first socket is opened, and every error shows its position in
//! the file.
//!
//! Key material never leaves this module as text: [`Secret`] has no `Display`, its `Debug` output
//! is redacted, and the excerpts in errors are masked.

mod check;
mod control;
mod document;
mod error;
mod file;
mod gateway;
mod key;
mod limits;
mod locate;
mod log;
mod mask;
mod mode;
mod secret;
mod strict;
mod trace;
mod validation_error;

use std::{fs, path::Path};

use serde::de::DeserializeOwned;

pub use control::Control;
pub use document::Settings;
pub use error::{Error, LocatedError, Result};
pub use file::File;
pub use gateway::Gateway;
pub use key::Key;
pub use limits::Limits;
pub use log::{Format, Level, Log, Stream};
pub use mode::Mode;
pub use secret::Secret;
pub use trace::{Output, Trace};
pub use validation_error::{PathSegment, ValidationError};

/// The maximum length of a settings text in bytes.
pub const MAXIMUM_BYTES: usize = 64 * 1024;

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })
}

fn parse_text<T: DeserializeOwned>(source_name: &str, text: &str) -> Result<T> {
    if text.len() > MAXIMUM_BYTES {
        return Err(Error::TooLong { source_name: source_name.to_owned(), bytes: text.len() });
    }
    serde_json5::from_str(text).map_err(|error| locate::syntax_error(source_name, text, &error))
}
