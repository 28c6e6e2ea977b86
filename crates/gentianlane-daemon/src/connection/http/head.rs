//! Parses the head of a request: its request line and headers.

use derive_more::Display;

/// The most headers of one request.
const HEADER_LIMIT: usize = 64;

/// A parsed request line and headers.
#[derive(Debug)]
pub(super) struct Head {
    pub(super) method: String,
    pub(super) path: String,
    pub(super) headers: Vec<(String, String)>,
    /// The length of the head, in bytes.
    pub(super) length: usize,
    /// The length of the body, in bytes.
    pub(super) body_length: usize,
    /// Whether another request may follow on the connection.
    pub(super) keep_alive: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
}

/// Why a request was refused before it was read completely.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    #[display("not a valid HTTP/1 request")]
    Malformed,
    #[display("the request line and headers are too long")]
    HeadTooLong,
    #[display("the request has too many headers")]
    TooManyHeaders,
    #[display("the body is too long")]
    BodyTooLong,
    #[display("the Content-Length of the body is missing")]
    LengthRequired,
    #[display("chunked bodies aren't supported; send a Content-Length")]
    ChunkedBody,
    #[display("the request took too long to arrive")]
    TimedOut,
    #[display("the request ended too early")]
    Truncated,
}

impl Fault {
    /// The HTTP status code.
    pub(super) fn status(self) -> u16 {
        match self {
            Self::Malformed | Self::Truncated => 400,
            Self::TimedOut => 408,
            Self::LengthRequired => 411,
            Self::BodyTooLong => 413,
            Self::HeadTooLong | Self::TooManyHeaders => 431,
            Self::ChunkedBody => 501,
        }
    }
}

impl Head {
    /// Parses a head; `None` while it is incomplete.
    pub(super) fn read(bytes: &[u8]) -> Result<Option<Self>, Fault> {
        let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(Fault::TooManyHeaders),
            Err(_) => return Err(Fault::Malformed),
        };
        let (Some(method), Some(path)) = (request.method, request.path) else {
            return Err(Fault::Malformed);
        };
        let mut head = Self {
            method: method.to_owned(),
            path: path.to_owned(),
            headers: Vec::new(),
            length,
            body_length: 0,
            keep_alive: request.version == Some(1),
            expects_continue: false,
        };
        let mut body_length = None;
        for header in request.headers {
            let value = String::from_utf8_lossy(header.value).trim().to_owned();
            head.apply_header(header.name, &value, &mut body_length)?;
            head.headers.push((header.name.to_owned(), value));
        }
        if body_length.is_none() && head.method != "GET" {
            return Err(Fault::LengthRequired);
        }
        head.body_length = body_length.unwrap_or_default();
        Ok(Some(head))
    }

    fn apply_header(
        &mut self,
        name: &str,
        value: &str,
        body_length: &mut Option<usize>,
    ) -> Result<(), Fault> {
        let is = |other| name.eq_ignore_ascii_case(other);
        if is("Transfer-Encoding") {
            return Err(Fault::ChunkedBody);
        }
        if is("Content-Length") {
            let length = content_length(value)?;
            if body_length
                .replace(length)
                .is_some_and(|other| other != length)
            {
                return Err(Fault::Malformed);
            }
        }
        if is("Connection") && value.to_ascii_lowercase().contains("close") {
            self.keep_alive = false;
        }
        if is("Expect") && value.eq_ignore_ascii_case("100-continue") {
            self.expects_continue = true;
        }
        Ok(())
    }
}

/// Parses a length, of digits only; one that overflows counts as too long.
fn content_length(value: &str) -> Result<usize, Fault> {
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Fault::Malformed);
    }
    value.parse().map_err(|_| Fault::BodyTooLong)
}
