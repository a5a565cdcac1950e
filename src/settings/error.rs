use std::{io, path::PathBuf};

use miette::{NamedSource, SourceSpan};

use crate::settings::MAXIMUM_BYTES;

/// An error at a position in a settings text.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{message}")]
#[diagnostic(help("{help}"))]
pub struct LocatedError {
    /// A description of the error.
    pub message: String,
    /// How to correct it.
    pub help: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// The text with all key material masked.
    #[source_code]
    pub text: NamedSource<String>,
    /// The part of the text that the error refers to.
    #[label("here")]
    pub span: SourceSpan,
}

/// The reason why settings were rejected.
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
    #[error("settings {source_name} have {bytes} bytes; the maximum is {MAXIMUM_BYTES} bytes")]
    #[diagnostic(help("check that the path names a settings file"))]
    TooLong {
        /// The name of the text, such as the path of the file.
        source_name: String,
        /// The length in bytes.
        bytes: usize,
    },
    /// The text is invalid at a known position.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Located(Box<LocatedError>),
}

/// A result with this module's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;
