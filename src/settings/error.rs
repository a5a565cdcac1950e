use std::{io, path::PathBuf};

use miette::{NamedSource, SourceSpan};

use crate::settings::MAXIMUM_BYTES;

/// A problem at a place in a settings text.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{message}")]
#[diagnostic(help("{help}"))]
pub struct LocatedError {
    /// What is wrong.
    pub message: String,
    /// What would be right.
    pub help: String,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// The text with all key material masked.
    #[source_code]
    pub text: NamedSource<String>,
    /// The place in the text.
    #[label("here")]
    pub span: SourceSpan,
}

/// Why settings were refused.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The file cannot be read.
    #[error("settings file {} could not be read", path.display())]
    #[diagnostic(help("check the path and the permissions of the file"))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The text is too long.
    #[error("settings {source_name} have {bytes} bytes, more than {MAXIMUM_BYTES}")]
    #[diagnostic(help("check that the path names a settings file"))]
    TooLong {
        /// The name of the text.
        source_name: String,
        /// The length in bytes.
        bytes: usize,
    },
    /// The text has a problem at a known place.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Located(Box<LocatedError>),
}

/// A result with this module's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
