use serde::Deserialize;

use crate::{
    settings::{Secret, strict::strict},
    wire::KeyNumber,
};

/// A numbered key that authenticates frames between daemons.
///
/// Frames are signed with one key, by default that of the highest number, and verified with any of
/// them. A key is therefore replaced by adding one with a higher number to every daemon and then
/// removing the old one.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Key {
    /// The key's number.
    #[serde(deserialize_with = "strict")]
    pub number: KeyNumber,
    /// The key.
    pub key: Secret<32>,
}
