use std::fmt;

use serde::{
    Deserialize, Deserializer,
    de::{Error, Visitor},
};

/// `N` secret bytes, written as 2·`N` hex digits in a settings file.
///
/// ```
/// use banyanwharf::settings::Secret;
///
/// let secret = Secret::from([0xab; 16]);
/// assert!(!format!("{secret:?}").contains("ab"));
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct Secret<const N: usize>([u8; N]);

impl<const N: usize> Secret<N> {
    /// Returns the bytes.
    pub fn bytes(&self) -> &[u8; N] {
        &self.0
    }
}

impl<const N: usize> From<[u8; N]> for Secret<N> {
    fn from(bytes: [u8; N]) -> Secret<N> {
        Secret(bytes)
    }
}

impl<const N: usize> fmt::Debug for Secret<N> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(..)")
    }
}

impl<'de, const N: usize> Deserialize<'de> for Secret<N> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Secret<N>, D::Error> {
        deserializer.deserialize_str(HexVisitor)
    }
}

/// Parses hex digits. Errors never show the value, since it may be most of a key.
struct HexVisitor<const N: usize>;

impl<const N: usize> Visitor<'_> for HexVisitor<N> {
    type Value = Secret<N>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} hex digits in quotes", 2 * N)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Secret<N>, E> {
        let digits = 2 * N;
        if text.len() != digits {
            return Err(E::custom(format_args!(
                "key has {} characters, expected {digits} hex digits",
                text.chars().count()
            )));
        }
        let mut bytes = [0; N];
        for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            *byte = pair
                .iter()
                .try_fold(0, |byte, digit| Some(byte << 4 | char::from(*digit).to_digit(16)? as u8))
                .ok_or_else(|| {
                    E::custom(format_args!(
                        "key has a character that is not a hex digit, expected {digits} hex digits"
                    ))
                })?;
        }
        Ok(Secret(bytes))
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<Secret<N>, E> {
        Err(not_a_string::<E, N>())
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<Secret<N>, E> {
        Err(not_a_string::<E, N>())
    }
}

fn not_a_string<E: Error, const N: usize>() -> E {
    let digits = 2 * N;
    E::custom(format_args!("key is a number, expected {digits} hex digits in quotes"))
}
