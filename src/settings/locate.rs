use std::fmt;

use miette::{NamedSource, SourceSpan};
use serde::de::{
    DeserializeSeed, Deserializer, Error as _, IgnoredAny, MapAccess, SeqAccess, Visitor,
};

use crate::settings::{Error, LocatedError, PathSegment, ValidationError, mask::mask};

/// Returns the error for a text that `serde_json5` could not deserialize.
pub(super) fn syntax_error(source_name: &str, text: &str, error: &serde_json5::Error) -> Error {
    let serde_json5::Error::Message { msg, location } = error;
    // The message of a syntax error contains an excerpt of the text, which the report shows as
    // well. Only its last line says what was expected.
    let last = msg.lines().last().map(str::trim_start);
    let message = match last.and_then(|line| line.strip_prefix("= ")) {
        Some(expected) => format!("syntax error: {expected}"),
        None => msg.clone(),
    };
    let help = help_for(&message);
    let position = location.as_ref().map_or((1, 1), |l| (l.line, l.column));
    located_error(source_name, text, message, help.to_owned(), position)
}

/// Returns the error for a text with a value that is not allowed.
pub(super) fn validation_error(source_name: &str, text: &str, error: ValidationError) -> Error {
    let position = position_of(text, &error.path);
    located_error(source_name, text, error.to_string(), error.help, position)
}

fn help_for(message: &str) -> &'static str {
    if message.starts_with("unknown field") {
        "check the spelling, or remove the field"
    } else if message.starts_with("duplicate field") {
        "remove one of the two fields"
    } else if message.starts_with("missing field") {
        "add the field; samples/ shows a whole settings file"
    } else if message.contains("socket address") {
        "write an IP address and a port, such as \"192.0.2.1:7000\" or \"[2001:db8::1]:7000\""
    } else if message.contains("URL") || message.contains("url") {
        "write a URL such as \"http://192.0.2.1:8500\""
    } else if message.starts_with("key ") {
        "generate the key from a random source; each hex digit encodes four bits"
    } else if message.starts_with("syntax error") {
        "the format is JSON with comments; check quotes, commas and brackets"
    } else {
        "docs/settings.md and samples/ show the type of each setting"
    }
}

fn located_error(
    source_name: &str,
    text: &str,
    message: String,
    help: String,
    (line, column): (usize, usize),
) -> Error {
    let offset = offset(text, line, column);
    let length = token_length(&text[offset..]);
    Error::Located(Box::new(LocatedError {
        message: mask(&message),
        help,
        line,
        column,
        text: NamedSource::new(source_name, mask(text)),
        span: SourceSpan::new(offset.into(), length),
    }))
}

/// Converts a line and a column in characters, both counted from 1, to an offset in bytes.
fn offset(text: &str, line: usize, column: usize) -> usize {
    let start: usize = text.split_inclusive('\n').take(line.saturating_sub(1)).map(str::len).sum();
    text[start..]
        .char_indices()
        .nth(column.saturating_sub(1))
        .map_or(text.len(), |(index, _)| start + index)
}

/// Returns the length in bytes of the token at the start of `text`.
fn token_length(text: &str) -> usize {
    let mut chars = text.char_indices();
    let Some((_, first)) = chars.next() else {
        return 0;
    };
    let end = match first {
        '"' | '\'' => chars
            .find(|(_, c)| *c == first || *c == '\n')
            .map(|(index, c)| if c == first { index + 1 } else { index }),
        '{' | '[' => Some(1),
        _ => {
            chars.find(|(_, c)| c.is_whitespace() || ",:{}[]".contains(*c)).map(|(index, _)| index)
        }
    };
    end.unwrap_or(text.len())
}

/// Returns the line and column of the value at `path`, or of its innermost parent that the text
/// contains.
fn position_of(text: &str, path: &[PathSegment]) -> (usize, usize) {
    let Ok(mut deserializer) = serde_json5::Deserializer::from_str(text) else {
        return (1, 1);
    };
    match (Finder { path }).deserialize(&mut deserializer) {
        Err(serde_json5::Error::Message { location: Some(location), .. }) => {
            (location.line, location.column)
        }
        _ => (1, 1),
    }
}

/// Deserializes the text up to the value at `path` and fails there, since `serde_json5` reports
/// positions only in errors.
struct Finder<'a> {
    path: &'a [PathSegment],
}

impl<'de> DeserializeSeed<'de> for Finder<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Finder<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the value at the path of a setting")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        if let [PathSegment::Field(field), path @ ..] = self.path {
            while let Some(key) = map.next_key::<String>()? {
                if key == *field {
                    return map.next_value_seed(Finder { path });
                }
                map.next_value::<IgnoredAny>()?;
            }
        }
        Err(A::Error::custom("found"))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        if let [PathSegment::Index(index), path @ ..] = self.path {
            for _ in 0..*index {
                list.next_element::<IgnoredAny>()?;
            }
            list.next_element_seed(Finder { path })?;
        }
        Err(A::Error::custom("found"))
    }
}
