use serde::Deserialize;

use crate::{
    settings::{Secret, strict::strict},
    wire::KeyNumber,
};

/// A numbered key that authenticates frames between daemons.
///
/// The highest number signs and all verify, so a key is replaced by adding one with a higher
/// number to every daemon and then removing the old one.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Key {
    /// The key's number.
    #[serde(deserialize_with = "strict")]
    pub number: KeyNumber,
    /// The key.
    pub key: Secret<32>,
}
