use jsonc_parser::{ParseOptions, parse_to_serde_value};
use miette::{Diagnostic, NamedSource, SourceSpan};

use crate::ticket::{Ticket, ValidationError};

/// The largest value that the platform can store.
const MAX_TICKET_BYTES: usize = 1 << 20;

/// Allows comments and trailing commas in JSON, but none of the parser's other extensions.
const JSONC_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// The error of a text that is not a valid ticket, with its location in the text.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// The text is not JSON with comments, or not the JSON of a ticket.
    #[error("ticket could not be parsed: {message}")]
    #[diagnostic(
        code(ticket::syntax),
        help("a ticket has the fields number, note, services, zones and policies")
    )]
    Syntax {
        /// The message of the parser.
        message: String,
        /// The ticket's text.
        #[source_code]
        text: NamedSource<String>,
        /// The token that the message refers to.
        #[label("here")]
        span: SourceSpan,
    },
    /// The ticket's values do not validate.
    #[error("ticket is not valid: {invalid}")]
    #[diagnostic(
        code(ticket::invalid),
        help("the whole ticket is refused; correct the field and publish it again")
    )]
    Invalid {
        /// The field and what is wrong with it.
        #[source]
        invalid: Box<ValidationError>,
        /// The ticket's text.
        #[source_code]
        text: NamedSource<String>,
        /// The object that does not validate.
        #[label("in this object")]
        span: SourceSpan,
    },
    /// The text is larger than a value of the platform may be.
    #[error("ticket of {found} bytes exceeds the limit of {maximum} bytes")]
    #[diagnostic(
        code(ticket::size),
        help("split the ticket into several with consecutive numbers")
    )]
    TooLong {
        /// The length in bytes.
        found: usize,
        /// The largest length in bytes.
        maximum: usize,
    },
}

/// Parses and validates a ticket in JSON with comments.
///
/// # Errors
///
/// Returns an [`Error`] with the location in `text` if the text is not a valid ticket.
///
/// ```
/// use banyanwharf::ticket;
///
/// let ticket = ticket::parse("7.json", r#"{ "number": 7, "zones": [{ "name": "prado", "state": "out" }] }"#)?;
/// assert_eq!(ticket.number, 7);
/// assert!(ticket::parse("8.json", r#"{ "number": 8, "zonse": [] }"#).is_err());
/// # Ok::<(), ticket::Error>(())
/// ```
pub fn parse(source_name: &str, text: &str) -> Result<Ticket, Error> {
    if text.len() > MAX_TICKET_BYTES {
        let (found, maximum) = (text.len(), MAX_TICKET_BYTES);
        return Err(Error::TooLong { found, maximum });
    }
    let source = || NamedSource::new(source_name, text.to_owned());
    let ticket: Ticket = parse_to_serde_value(text, &JSONC_OPTIONS).map_err(|error| {
        let message = error.kind().to_string();
        let range = error.range();
        Error::Syntax {
            span: field_span(text, range.start, &message)
                .unwrap_or_else(|| span(text, range.start, range.end)),
            message,
            text: source(),
        }
    })?;
    ticket.validate(None).map_err(|invalid| Error::Invalid {
        span: object_span(text, &invalid),
        invalid: Box::new(invalid),
        text: source(),
    })?;
    Ok(ticket)
}

/// Limits a byte range from the parser to the text and to character boundaries.
fn span(text: &str, start: usize, end: usize) -> SourceSpan {
    let start = text.floor_char_boundary(start.min(text.len()));
    let end = text.ceil_char_boundary(end.clamp(start, text.len()));
    (start, end - start).into()
}

/// Finds the field that a message names, since the parser only reports the start of the object
/// that contains the field.
fn field_span(text: &str, start: usize, message: &str) -> Option<SourceSpan> {
    let names_field =
        ["unknown field", "duplicate field"].iter().any(|prefix| message.starts_with(prefix));
    let field = message.split('`').nth(1).filter(|_| names_field)?;
    find_quoted(text, text.floor_char_boundary(start.min(text.len())), field)
}

/// Finds the name of the object or target that does not validate.
fn object_span(text: &str, invalid: &ValidationError) -> SourceSpan {
    let name = invalid.location.name().unwrap_or("number");
    find_quoted(text, 0, name).unwrap_or_else(|| (0, text.len().min(1)).into())
}

/// Finds the first JSON string after `start` that equals `name` and contains no escapes.
fn find_quoted(text: &str, start: usize, name: &str) -> Option<SourceSpan> {
    let offset = text[start..].find(&format!("\"{name}\""))?;
    Some((start + offset, name.len() + 2).into())
}
