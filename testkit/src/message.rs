use std::str;

use crate::util::mix;

/// The largest number of headers in a message.
const MAX_HEADERS: usize = 8;

/// An HTTP request. A test fails if a target executes a request twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Request {
    pub(crate) id: u64,
    /// The length of the response's body.
    pub(crate) body_bytes: usize,
}

impl Request {
    pub(crate) fn encode(&self, service: &str) -> Vec<u8> {
        let Self { id, body_bytes } = self;
        format!("POST /{body_bytes} HTTP/1.1\r\nHost: {service}\r\nX-Id: {id}\r\n\r\n").into_bytes()
    }

    /// Parses the first request of `bytes` and returns the request and its length, or `None` if the
    /// request is incomplete.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, httparse::Error> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let httparse::Status::Complete(length) = request.parse(bytes)? else {
            return Ok(None);
        };
        let body_bytes =
            request.path.and_then(|path| path.get(1..)).and_then(|path| path.parse().ok());
        let id = header(request.headers, "X-Id").and_then(|id| id.parse().ok());
        match (id, body_bytes) {
            (Some(id), Some(body_bytes)) => Ok(Some((Self { id, body_bytes }, length))),
            _ => Err(httparse::Error::HeaderValue),
        }
    }
}

/// An HTTP response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) id: u64,
    pub(crate) service: String,
    pub(crate) target: String,
    pub(crate) body: Vec<u8>,
}

impl Response {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let Self { status, id, service, target, body } = self;
        let mut bytes = format!(
            "HTTP/1.1 {status} -\r\nX-Id: {id}\r\nX-Service: {service}\r\nX-Target: {target}\r\n\
             Content-Length: {}\r\n\r\n",
            body.len(),
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        bytes
    }

    /// Parses the first response of `bytes` and returns the response and its length, or `None` if
    /// the response is incomplete.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, httparse::Error> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(start) = response.parse(bytes)? else {
            return Ok(None);
        };
        let text = |name| header(response.headers, name).ok_or(httparse::Error::HeaderName);
        let number = |name| text(name)?.parse::<u64>().map_err(|_| httparse::Error::HeaderValue);
        let end = start + number("Content-Length")? as usize;
        let Some(body) = bytes.get(start..end) else {
            return Ok(None);
        };
        let response = Self {
            status: response.code.unwrap_or(0),
            id: number("X-Id")?,
            service: text("X-Service")?.into(),
            target: text("X-Target")?.into(),
            body: body.to_vec(),
        };
        Ok(Some((response, end)))
    }
}

/// Returns the body of the response to request `id`. The body depends on `id`, so a response to
/// another request is detected.
pub(crate) fn response_body(id: u64, body_bytes: usize) -> Vec<u8> {
    (0..body_bytes as u64).map(|position| mix(id ^ (position << 32)) as u8).collect()
}

fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))
        .and_then(|header| str::from_utf8(header.value).ok())
}
