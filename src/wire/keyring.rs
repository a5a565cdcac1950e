use std::{collections::BTreeMap, fmt};

use crate::wire::{Error, Result};

/// The number that frames name their key by.
pub type KeyNumber = u8;

/// The length of the authentication tag at the end of a frame in bytes.
pub const TAG_BYTES: usize = 16;

/// The keys that authenticate frames. One signs; all verify.
///
/// Keys rotate in three rolling restarts: the new key is added everywhere while the old one
/// still signs, then the new key signs, then the old key is removed. A daemon that signed with
/// a key which others lack would be cut off.
#[derive(Clone)]
pub struct Keyring {
    keys: BTreeMap<KeyNumber, [u8; 32]>,
    signing_key: KeyNumber,
}

impl Keyring {
    /// Creates a key ring.
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

    /// Signs with the key `number` instead of the highest.
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

    /// Returns the number of the key that signs.
    pub(super) fn signing_key(&self) -> KeyNumber {
        self.signing_key
    }

    /// Returns the tag of `bytes` under the key `number`.
    pub(super) fn tag(&self, number: KeyNumber, bytes: &[u8]) -> Result<[u8; TAG_BYTES]> {
        let key = self.keys.get(&number).ok_or(Error::UnknownKey(number))?;
        let mut tag = [0; TAG_BYTES];
        blake3::Hasher::new_keyed(key).update(bytes).finalize_xof().fill(&mut tag);
        Ok(tag)
    }

    /// Checks the tag of `bytes` under the key `number` in constant time.
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
    /// Shows the key numbers only, so that no key gets into a log.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Keyring")
            .field("numbers", &self.keys.keys())
            .finish_non_exhaustive()
    }
}
