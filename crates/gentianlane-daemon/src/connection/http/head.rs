//! A request's line and headers.

use derive_more::Display;

/// The most headers that a request may have.
const HEADER_LIMIT: usize = 64;

/// What a request's line and headers say.
#[derive(Debug)]
pub(super) struct Head {
    pub(super) method: String,
    pub(super) path: String,
    pub(super) headers: Vec<(String, String)>,
    /// How many bytes the head takes up.
    pub(super) length: usize,
    /// How many bytes the body takes up.
    pub(super) body: usize,
    /// Whether another request may follow on the connection.
    pub(super) keep: bool,
    /// Whether the caller waits to be told to send the body.
    pub(super) waits: bool,
}

/// Why a request is refused before it is read whole.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    #[display("this is no HTTP/1 request")]
    Garbage,
    #[display("the request's line and headers are too long")]
    LongHead,
    #[display("the request has too many headers")]
    ManyHeaders,
    #[display("the body is too long")]
    LongBody,
    #[display("the body's Content-Length is missing")]
    NoLength,
    #[display("a body in chunks isn't taken; send its Content-Length")]
    Chunked,
    #[display("the request took too long to arrive")]
    Slow,
    #[display("the request ended too early")]
    Short,
}

impl Fault {
    /// The HTTP status code.
    pub(super) fn status(self) -> u16 {
        match self {
            Self::Garbage | Self::Short => 400,
            Self::Slow => 408,
            Self::NoLength => 411,
            Self::LongBody => 413,
            Self::LongHead | Self::ManyHeaders => 431,
            Self::Chunked => 501,
        }
    }
}

impl Head {
    /// Reads a head, or gives nothing while its end is missing.
    pub(super) fn read(bytes: &[u8]) -> Result<Option<Self>, Fault> {
        let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(Fault::ManyHeaders),
            Err(_) => return Err(Fault::Garbage),
        };
        let (Some(method), Some(path)) = (request.method, request.path) else {
            return Err(Fault::Garbage);
        };
        let mut head = Self {
            method: method.to_owned(),
            path: path.to_owned(),
            headers: Vec::new(),
            length,
            body: 0,
            keep: request.version == Some(1),
            waits: false,
        };
        let mut body = None;
        for header in request.headers {
            let value = String::from_utf8_lossy(header.value).trim().to_owned();
            head.take(header.name, &value, &mut body)?;
            head.headers.push((header.name.to_owned(), value));
        }
        if body.is_none() && head.method != "GET" {
            return Err(Fault::NoLength);
        }
        head.body = body.unwrap_or_default();
        Ok(Some(head))
    }

    fn take(
        &mut self,
        name: &str,
        value: &str,
        body: &mut Option<usize>,
    ) -> Result<(), Fault> {
        let is = |other| name.eq_ignore_ascii_case(other);
        if is("Transfer-Encoding") {
            return Err(Fault::Chunked);
        }
        if is("Content-Length") {
            let length = length(value)?;
            if body.replace(length).is_some_and(|other| other != length) {
                return Err(Fault::Garbage);
            }
        }
        if is("Connection") && value.to_ascii_lowercase().contains("close") {
            self.keep = false;
        }
        if is("Expect") && value.eq_ignore_ascii_case("100-continue") {
            self.waits = true;
        }
        Ok(())
    }
}

/// A length of digits alone; one that is too large for a number is too long.
fn length(value: &str) -> Result<usize, Fault> {
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Fault::Garbage);
    }
    value.parse().map_err(|_| Fault::LongBody)
}
