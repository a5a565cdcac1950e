use std::{fs, path::Path};

use banyanwharf::{settings::Settings, ticket};
use serde_json::Value;

use crate::{
    error::{Error, FileError, Result},
    output::{NEGATIVE, Output, POSITIVE},
};

/// Checks a ticket file.
pub(crate) fn ticket(path: &Path) -> Result<Output> {
    let text = read(path)?;
    Ok(output(path, check_ticket(path, &text)))
}

/// Checks a file with settings or a ticket. Only tickets have a field `number`.
pub(crate) fn file(path: &Path) -> Result<Output> {
    let text = read(path)?;
    let value: Option<Value> = serde_json5::from_str(&text).ok();
    let is_ticket = value.is_some_and(|value| value.get("number").is_some());
    let result = if is_ticket { check_ticket(path, &text) } else { check_settings(path, &text) };
    Ok(output(path, result))
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })
}

fn check_settings(path: &Path, text: &str) -> Result<String, FileError> {
    let settings = Settings::parse(&path.display().to_string(), text)?;
    Ok(format!("settings of {} are correct", settings.name))
}

fn check_ticket(path: &Path, text: &str) -> Result<String, FileError> {
    let ticket = ticket::parse(&path.display().to_string(), text)?;
    Ok(format!(
        "ticket {} is correct: {} services, {} zones, {} policies",
        ticket.number,
        ticket.services.len(),
        ticket.zones.len(),
        ticket.policies.len()
    ))
}

fn output(path: &Path, result: Result<String, FileError>) -> Output {
    match result {
        Ok(sentence) => Output {
            stdout: format!("{}: {sentence}\n", path.display()),
            stderr: String::new(),
            exit_code: POSITIVE,
        },
        Err(error) => Output {
            stdout: String::new(),
            stderr: format!("{:?}\n", miette::Report::new(error)),
            exit_code: NEGATIVE,
        },
    }
}
