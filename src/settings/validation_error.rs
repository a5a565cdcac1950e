use std::fmt;

/// One segment of the path of a setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathSegment {
    /// A field of an object.
    Field(&'static str),
    /// An element of a list.
    Index(usize),
}

/// An error about a setting whose value has the right type but is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("{}: {message}", DisplayPath(path))]
#[diagnostic(help("{help}"))]
pub struct ValidationError {
    /// The path of the setting.
    pub path: Vec<PathSegment>,
    /// A description of the error.
    pub message: String,
    /// How to correct it.
    pub help: String,
}

struct DisplayPath<'a>(&'a [PathSegment]);

impl fmt::Display for DisplayPath<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, step) in self.0.iter().enumerate() {
            match step {
                PathSegment::Field(name) if position == 0 => write!(formatter, "{name}")?,
                PathSegment::Field(name) => write!(formatter, ".{name}")?,
                PathSegment::Index(index) => write!(formatter, "[{index}]")?,
            }
        }
        Ok(())
    }
}
