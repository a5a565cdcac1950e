use std::sync::Arc;

use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::platform::Index;

/// A range of the published tickets.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Tickets {
    /// The index of the last ticket.
    pub index: Index,
    /// The texts of the tickets in the order of publication. They are not parsed here, so that an
    /// invalid ticket does not make the others unreadable.
    #[serde(deserialize_with = "texts")]
    pub tickets: Vec<Arc<str>>,
    /// Whether further tickets are already published, which the next request returns at once.
    #[serde(default)]
    pub more: bool,
}

fn texts<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Arc<str>>, D::Error> {
    let values = Vec::<&RawValue>::deserialize(deserializer)?;
    Ok(values.iter().map(|value| value.get().into()).collect())
}
