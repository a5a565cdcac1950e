use std::path::Path;

use serde::Deserialize;

use crate::settings::{Gateway, Log, Mode, Result, Settings, parse_text, read};

/// The content of a settings file, whose schema depends on the mode.
#[derive(Debug, Clone, PartialEq)]
pub enum File {
    /// The settings of tunnel mode.
    Tunnel(Box<Settings>),
    /// The settings of gateway mode.
    Gateway(Box<Gateway>),
}

/// The field that selects the schema of the file.
#[derive(Debug, Deserialize)]
struct ModeField {
    #[serde(default)]
    mode: Mode,
}

impl File {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`](crate::settings::Error) if the file cannot be read or is invalid.
    pub fn load(path: &Path) -> Result<File> {
        File::parse(&path.display().to_string(), &read(path)?)
    }

    /// Parses and checks a settings text; `source_name` names it in errors.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`](crate::settings::Error) with the position of the first error.
    pub fn parse(source_name: &str, text: &str) -> Result<File> {
        let ModeField { mode } = parse_text(source_name, text)?;
        Ok(match mode {
            Mode::Tunnel => File::Tunnel(Box::new(Settings::parse(source_name, text)?)),
            Mode::Gateway => File::Gateway(Box::new(Gateway::parse(source_name, text)?)),
        })
    }

    /// Returns the settings of the log.
    pub fn log(&self) -> &Log {
        match self {
            File::Tunnel(settings) => &settings.log,
            File::Gateway(settings) => &settings.log,
        }
    }
}
