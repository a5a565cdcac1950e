use comfy_table::{Table, presets};
use serde::Serialize;
use serde_json::Value;

use crate::error::{Error, Result};

/// The exit code of a positive answer: the command worked, and the answer is not negative.
pub(crate) const POSITIVE: u8 = 0;
/// The exit code of a negative answer: the command worked, and the answer is no, for example no
/// service has the address.
pub(crate) const NEGATIVE: u8 = 1;
/// The exit code of a usage or connection error.
pub(crate) const ERROR: u8 = 2;

/// The output and the exit code of a command.
#[derive(Debug)]
pub(crate) struct Output {
    /// The text for the standard output stream.
    pub(crate) stdout: String,
    /// The text for the standard error stream.
    pub(crate) stderr: String,
    /// The exit code.
    pub(crate) exit_code: u8,
}

impl Output {
    /// Creates the output for `value`: JSON if `json` is set, otherwise the result of `human_text`.
    pub(crate) fn new<T: Serialize + ?Sized>(
        json: bool,
        value: &T,
        human_text: impl FnOnce() -> String,
    ) -> Result<Output> {
        let mut stdout = if json {
            serde_json::to_string_pretty(value).map_err(|source| Error::Json { source })?
        } else {
            human_text()
        };
        if !stdout.ends_with('\n') {
            stdout.push('\n');
        }
        Ok(Output { stdout, stderr: String::new(), exit_code: POSITIVE })
    }

    /// Sets the exit code.
    pub(crate) fn with_exit_code(self, exit_code: u8) -> Output {
        Output { exit_code, ..self }
    }
}

/// Formats a table whose columns are separated by spaces, readable by people and by `awk`.
pub(crate) fn table<const N: usize>(
    header: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING).force_no_tty();
    table.set_header(header);
    table.add_rows(rows);
    let lines = table.lines().map(|line| line.trim_end().to_owned() + "\n");
    lines.collect()
}

/// Formats a value for a table: as in JSON but without quotes, `yes` or `no` for a boolean and `-`
/// for a value that is absent or cannot be serialized.
pub(crate) fn cell<T: Serialize>(value: T) -> String {
    match serde_json::to_value(value) {
        Ok(Value::Null) | Err(_) => "-".to_owned(),
        Ok(Value::String(text)) => text,
        Ok(Value::Bool(flag)) => if flag { "yes" } else { "no" }.to_owned(),
        Ok(value) => value.to_string(),
    }
}
