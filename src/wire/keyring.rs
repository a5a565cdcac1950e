use std::{collections::BTreeMap, fmt};

use crate::wire::{Error, Result};

/// The number of a key, which a frame contains to identify the key of its tag.
pub type KeyNumber = u8;

/// The length in bytes of the authentication tag at the end of a frame.
pub const TAG_BYTES: usize = 16;

/// The keys that all daemons share to authenticate frames.
///
/// The authentication tag of a frame is a message authentication code (MAC), not a signature. The
/// signing key computes the tags of the frames that a daemon sends; all keys verify received
/// frames.
///
/// A key rotation takes three rolling restarts: the first adds the new key to all daemons while
/// the old one still signs, the second lets the new key sign, and the third removes the old key.
/// Without the first step, daemons would discard the frames of a daemon that signs with a key
/// which they lack.
#[derive(Clone)]
pub struct Keyring {
    keys: BTreeMap<KeyNumber, [u8; 32]>,
    signing_key: KeyNumber,
}

impl Keyring {
    /// Creates a key ring whose signing key is the one with the highest number.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NoKey`] if `keys` is empty.
    ///
    /// ```
    /// use banyanwharf::wire::Keyring;
    ///
    /// assert!(Keyring::new([(1, [7; 32])]).is_ok());
    /// assert!(Keyring::new([]).is_err());
    /// ```
    pub fn new(keys: impl IntoIterator<Item = (KeyNumber, [u8; 32])>) -> Result<Keyring> {
        let keys: BTreeMap<_, _> = keys.into_iter().collect();
        let signing_key = *keys.keys().next_back().ok_or(Error::NoKey)?;
        Ok(Keyring { keys, signing_key })
    }

    /// Makes the key `number` the signing key instead of the one with the highest number.
    ///
    /// # Errors
    ///
    /// Returns [`Error::UnknownKey`] if the key ring has no such key.
    pub fn sign_with(mut self, number: KeyNumber) -> Result<Keyring> {
        if !self.keys.contains_key(&number) {
            return Err(Error::UnknownKey(number));
        }
        self.signing_key = number;
        Ok(self)
    }

    /// Returns the number of the signing key.
    pub(super) fn signing_key(&self) -> KeyNumber {
        self.signing_key
    }

    /// Returns the authentication tag of `bytes` under the key `number`.
    pub(super) fn tag(&self, number: KeyNumber, bytes: &[u8]) -> Result<[u8; TAG_BYTES]> {
        let key = self.keys.get(&number).ok_or(Error::UnknownKey(number))?;
        let mut tag = [0; TAG_BYTES];
        blake3::Hasher::new_keyed(key).update(bytes).finalize_xof().fill(&mut tag);
        Ok(tag)
    }

    /// Verifies the tag of `bytes` under the key `number` in constant time.
    pub(super) fn verify(&self, number: KeyNumber, bytes: &[u8], tag: &[u8]) -> Result<()> {
        let expected = self.tag(number, bytes)?;
        let difference =
            expected.iter().zip(tag).fold(0, |difference, (a, b)| difference | (a ^ b));
        if difference != 0 || tag.len() != TAG_BYTES {
            return Err(Error::Tag(number));
        }
        Ok(())
    }
}

impl fmt::Debug for Keyring {
    /// Formats the key numbers only, so that logs contain no keys.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Keyring")
            .field("numbers", &self.keys.keys())
            .finish_non_exhaustive()
    }
}
