use serde::Deserialize;

use crate::{
    settings::{Secret, strict::strict},
    wire::KeyNumber,
};

/// A numbered key that authenticates frames between daemons.
///
/// Frames are signed with one key, by default that of the highest number, and verified with any of
/// them. A key is replaced in three rolling restarts: the new key is added to all daemons while
/// [`sign_with`](crate::settings::Settings::sign_with) still selects the old one, then the new key
/// signs, and then the old key is removed. [`Keyring`](crate::wire::Keyring) says why. In gateway
/// mode the key with the highest number always signs.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub struct Key {
    /// The key's number.
    #[serde(deserialize_with = "strict")]
    pub number: KeyNumber,
    /// The key.
    pub key: Secret<32>,
}
