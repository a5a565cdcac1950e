use std::{fmt, marker::PhantomData, time::Duration};

use serde::{
    Deserialize, Deserializer,
    de::{Error, IntoDeserializer as _, Visitor},
};

/// Deserializes a number and rejects values that its type cannot represent.
///
/// `serde_json5` converts numbers with `as`, so 70,000 would become 65,535 in a `u16` and 1.9
/// would become 1. This visitor takes the number as it is written, so that both are rejected.
pub(super) fn strict<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_any(NumberVisitor(PhantomData))
}

/// Deserializes a time from a number of seconds, which may have a fraction.
pub(super) fn seconds<'de, D>(deserializer: D) -> Result<Duration, D::Error>
where
    D: Deserializer<'de>,
{
    let seconds: f64 = strict(deserializer)?;
    let invalid = |error| D::Error::custom(format_args!("{seconds} s is not a time: {error}"));
    Duration::try_from_secs_f64(seconds).map_err(invalid)
}

struct NumberVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for NumberVisitor<T> {
    type Value = T;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number")
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<T, E> {
        T::deserialize(value.into_deserializer())
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<T, E> {
        T::deserialize(value.into_deserializer())
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<T, E> {
        T::deserialize(value.into_deserializer())
    }
}
