use serde::{Deserialize, Serialize};

use crate::ticket::Number;

/// A message of the dissemination of tickets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Announces ticket numbers.
    Announce(Vec<Number>),
}
