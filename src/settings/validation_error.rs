use std::fmt;

/// One step on the way to a setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathSegment {
    /// The field of an object.
    Field(&'static str),
    /// The element of a list.
    Index(usize),
}

/// A setting that has the right type but must not have its value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("{}: {message}", DisplayPath(path))]
#[diagnostic(help("{help}"))]
pub struct ValidationError {
    /// The way to the setting.
    pub path: Vec<PathSegment>,
    /// What is wrong.
    pub message: String,
    /// What would be right.
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
