use log::LevelFilter;
use log4rs::{
    Handle,
    append::{
        Append,
        console::{ConsoleAppender, Target},
        file::FileAppender,
    },
    config::{Appender, Config, Root},
    encode::{Encode, pattern::PatternEncoder},
};

use crate::{
    settings::{Format, Level, Log, Stream},
    telemetry::{Error, Result, json_encoder::JsonEncoder, stdout_appender::StdoutAppender},
};

const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {t}: {m}{n}";
const APPENDER: &str = "output";

/// The logger of the process.
pub struct Logs {
    settings: Log,
    handle: Handle,
}

impl Logs {
    /// Installs the logger of the process.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Open`] if the log file cannot be opened, and [`Error::Installed`] if the
    /// process already has a logger.
    pub fn install(settings: Log) -> Result<Logs> {
        let handle = log4rs::init_config(config(&settings)?)?;
        Ok(Logs { settings, handle })
    }

    /// Changes the log level.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Open`] if the log file cannot be opened again; the level is then unchanged.
    pub fn set_level(&mut self, level: Level) -> Result<()> {
        let settings = Log { level, ..self.settings.clone() };
        self.handle.set_config(config(&settings)?);
        self.settings = settings;
        Ok(())
    }

    /// Returns the log level.
    pub fn level(&self) -> Level {
        self.settings.level
    }
}

impl std::fmt::Debug for Logs {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Logs").field("settings", &self.settings).finish_non_exhaustive()
    }
}

fn config(settings: &Log) -> Result<Config> {
    let encoder: Box<dyn Encode> = match settings.format {
        Format::Text => Box::new(PatternEncoder::new(PATTERN)),
        Format::Json => Box::new(JsonEncoder),
    };
    let append: Box<dyn Append> = match &settings.file {
        Some(path) => {
            let file = FileAppender::builder().encoder(encoder).build(path);
            Box::new(file.map_err(|source| Error::Open { path: path.clone(), source })?)
        }
        None if settings.stream == Stream::Stdout => Box::new(StdoutAppender::start(encoder)?),
        None => {
            Box::new(ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build())
        }
    };
    let root = Root::builder().appender(APPENDER).build(LevelFilter::from(settings.level));
    let appender = Appender::builder().build(APPENDER, append);
    Ok(Config::builder().appender(appender).build(root)?)
}
