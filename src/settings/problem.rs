use std::fmt;

/// One step on the way to a setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The field of an object.
    Field(&'static str),
    /// The element of a list.
    Index(usize),
}

/// A setting that has the right type but must not have its value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("{}: {message}", Way(path))]
#[diagnostic(help("{help}"))]
pub struct Problem {
    /// The way to the setting.
    pub path: Vec<Step>,
    /// What is wrong.
    pub message: String,
    /// What would be right.
    pub help: String,
}

struct Way<'a>(&'a [Step]);

impl fmt::Display for Way<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, step) in self.0.iter().enumerate() {
            match step {
                Step::Field(name) if position == 0 => write!(formatter, "{name}")?,
                Step::Field(name) => write!(formatter, ".{name}")?,
                Step::Index(index) => write!(formatter, "[{index}]")?,
            }
        }
        Ok(())
    }
}
