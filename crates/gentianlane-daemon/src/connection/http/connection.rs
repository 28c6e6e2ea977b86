//! Requests and responses on one connection, each within its time.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use attohttpc::StatusCode;
use gentianlane::unit::Span;
use rouille::{Request, Response};

use crate::connection::http::gate::Place;
use crate::connection::http::head::{Fault, Head};
use crate::connection::http::route::{self, Service};

/// How many bytes are read at once.
const CHUNK: usize = 4 << 10;

/// How often a silent connection looks whether the listener closes.
const IDLE_STEP: Duration = Duration::from_secs(1);

/// How long a refused caller may go on sending before the connection ends.
///
/// Closing with unread bytes would reset the connection, and the caller would
/// lose the response that says why.
const LINGER: Duration = Duration::from_millis(500);

/// How many bytes of a refused caller are read before the connection ends.
const LINGER_LIMIT: usize = 1 << 20;

/// One connection.
pub(super) struct Exchange<'a> {
    stream: TcpStream,
    from: SocketAddr,
    place: &'a Place,
    /// What has arrived and isn't used.
    bytes: Vec<u8>,
}

impl<'a> Exchange<'a> {
    pub(super) fn new(
        stream: TcpStream,
        from: SocketAddr,
        place: &'a Place,
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            from,
            place,
            bytes: Vec::new(),
        })
    }

    /// Serves requests until the connection ends.
    pub(super) fn run(&mut self, service: &Service) {
        while self.wait() {
            let (response, keep) = match self.request() {
                Ok((request, keep)) => (self.serve(service, &request), keep),
                Err(fault) => {
                    service.telemetry.metrics.unreadable();
                    (route::refused(fault), false)
                }
            };
            let keep =
                keep && !service.entry.is_stopping() && !self.place.gate().is_closing();
            if self.reply(response, keep).is_err() {
                return;
            }
            if !keep {
                return self.linger();
            }
        }
    }

    fn serve(&self, service: &Service, request: &Request) -> Response {
        match self.place.begin() {
            Some(_open) => route::serve(service, request),
            None => route::overloaded(),
        }
    }

    /// Waits for the first byte of a request; false if the connection is over.
    fn wait(&mut self) -> bool {
        let end = Instant::now() + Duration::from(self.place.gate().limits().idle_time);
        while self.bytes.is_empty() {
            let now = Instant::now();
            if now >= end {
                return false;
            }
            match self.read(end.min(now + IDLE_STEP)) {
                Ok(0) => return false,
                Ok(_) => {}
                Err(fault) if is_timeout(&fault) && !self.place.gate().is_closing() => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Reads one request whole; also says whether another may follow.
    fn request(&mut self) -> Result<(Request, bool), Fault> {
        let head = self.head()?;
        let limits = *self.place.gate().limits();
        if head.body > limits.body {
            return Err(Fault::LongBody);
        }
        self.bytes.drain(..head.length);
        if head.waits && self.bytes.is_empty() {
            let go_on = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.write(go_on, limits.reply_time)
                .map_err(|_| Fault::Short)?;
        }
        let end = Instant::now() + Duration::from(limits.body_time);
        while self.bytes.len() < head.body {
            self.read_on(end)?;
        }
        let body = self.bytes.drain(..head.body).collect();
        let Head {
            method,
            path,
            headers,
            keep,
            ..
        } = head;
        let request = Request::fake_http_from(self.from, method, path, headers, body);
        Ok((request, keep))
    }

    fn head(&mut self) -> Result<Head, Fault> {
        let limits = *self.place.gate().limits();
        let end = Instant::now() + Duration::from(limits.head_time);
        let mut seen = 0;
        loop {
            if (seen == 0 || ends_line_twice(&self.bytes, seen))
                && let Some(head) = Head::read(&self.bytes)?
            {
                return match head.length > limits.head {
                    true => Err(Fault::LongHead),
                    false => Ok(head),
                };
            }
            if self.bytes.len() > limits.head {
                return Err(Fault::LongHead);
            }
            seen = self.bytes.len();
            self.read_on(end)?;
        }
    }

    fn read_on(&mut self, end: Instant) -> Result<(), Fault> {
        match self.read(end) {
            Ok(0) => Err(Fault::Short),
            Ok(_) => Ok(()),
            Err(fault) if is_timeout(&fault) => Err(Fault::Slow),
            Err(_) => Err(Fault::Short),
        }
    }

    /// Reads what there is, and waits for it no longer than until `end`.
    fn read(&mut self, end: Instant) -> io::Result<usize> {
        self.stream.set_read_timeout(Some(left(end)?))?;
        let mut chunk = [0; CHUNK];
        let count = self.stream.read(&mut chunk)?;
        self.bytes.extend(chunk.iter().take(count));
        Ok(count)
    }

    fn reply(&mut self, response: Response, keep: bool) -> io::Result<()> {
        let (mut body, _) = response.data.into_reader_and_size();
        let mut text = Vec::new();
        body.read_to_end(&mut text)?;
        let code = response.status_code;
        let phrase = StatusCode::from_u16(code)
            .ok()
            .and_then(|status| status.canonical_reason());
        let mut bytes = Vec::with_capacity(text.len() + CHUNK);
        write!(bytes, "HTTP/1.1 {code} {}\r\n", phrase.unwrap_or_default())?;
        for (name, value) in &response.headers {
            write!(bytes, "{name}: {value}\r\n")?;
        }
        if !keep {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        write!(bytes, "Content-Length: {}\r\n\r\n", text.len())?;
        bytes.extend_from_slice(&text);
        self.write(&bytes, self.place.gate().limits().reply_time)
    }

    fn write(&mut self, mut bytes: &[u8], time: Span) -> io::Result<()> {
        let end = Instant::now() + Duration::from(time);
        while !bytes.is_empty() {
            self.stream.set_write_timeout(Some(left(end)?))?;
            match self.stream.write(bytes)? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                count => bytes = bytes.get(count..).unwrap_or_default(),
            }
        }
        Ok(())
    }

    /// Ends the connection so that the caller can still read the response.
    fn linger(&mut self) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let end = Instant::now() + LINGER;
        let mut count = 0;
        while count < LINGER_LIMIT {
            self.bytes.clear();
            match self.read(end) {
                Ok(0) | Err(_) => return,
                Ok(more) => count += more,
            }
        }
    }
}

/// The time until `end`, never zero.
fn left(end: Instant) -> io::Result<Duration> {
    match end.checked_duration_since(Instant::now()) {
        Some(left) if !left.is_zero() => Ok(left),
        _ => Err(io::ErrorKind::TimedOut.into()),
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
    )
}

/// Whether an empty line ends in what came after the first `seen` bytes.
fn ends_line_twice(bytes: &[u8], seen: usize) -> bool {
    let new = bytes.get(seen.saturating_sub(2)..).unwrap_or_default();
    let windows = new.windows(2).chain(new.windows(3));
    windows
        .into_iter()
        .any(|end| end == b"\n\n" || end == b"\n\r\n")
}
