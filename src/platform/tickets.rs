use std::sync::Arc;

use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::platform::Index;

/// A part of the published tickets.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Tickets {
    /// The index of the last ticket.
    pub index: Index,
    /// The texts of the tickets in publication order. They are not checked, so that one bad
    /// ticket does not hide the others.
    #[serde(deserialize_with = "texts")]
    pub tickets: Vec<Arc<str>>,
    /// Whether the next request returns further tickets at once.
    #[serde(default)]
    pub more: bool,
}

fn texts<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Arc<str>>, D::Error> {
    let values = Vec::<&RawValue>::deserialize(deserializer)?;
    Ok(values.iter().map(|value| value.get().into()).collect())
}
