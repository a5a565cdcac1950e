use std::{fs, path::Path};

use banyanwharf::{settings::Settings, ticket};
use serde_json::Value;

use crate::{
    error::{Error, Result, Wrong},
    output::{NEGATIVE, Output, POSITIVE},
};

/// Checks a ticket file.
pub(crate) fn ticket(path: &Path) -> Result<Output> {
    let text = read(path)?;
    Ok(verdict(path, ticket_verdict(path, &text)))
}

/// Checks a file that holds settings or a ticket; only tickets have a `number`.
pub(crate) fn file(path: &Path) -> Result<Output> {
    let text = read(path)?;
    let value: Option<Value> = serde_json5::from_str(&text).ok();
    let is_ticket = value.is_some_and(|value| value.get("number").is_some());
    let result =
        if is_ticket { ticket_verdict(path, &text) } else { settings_verdict(path, &text) };
    Ok(verdict(path, result))
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })
}

fn settings_verdict(path: &Path, text: &str) -> Result<String, Wrong> {
    let settings = Settings::parse(&path.display().to_string(), text)?;
    Ok(format!("settings of {} are correct", settings.name))
}

fn ticket_verdict(path: &Path, text: &str) -> Result<String, Wrong> {
    let ticket = ticket::parse(&path.display().to_string(), text)?;
    Ok(format!(
        "ticket {} is correct: {} services, {} zones, {} policies",
        ticket.number,
        ticket.services.len(),
        ticket.zones.len(),
        ticket.policies.len()
    ))
}

fn verdict(path: &Path, result: Result<String, Wrong>) -> Output {
    match result {
        Ok(sentence) => Output {
            text: format!("{}: {sentence}\n", path.display()),
            notes: String::new(),
            code: POSITIVE,
        },
        Err(wrong) => Output {
            text: String::new(),
            notes: format!("{:?}\n", miette::Report::new(wrong)),
            code: NEGATIVE,
        },
    }
}
