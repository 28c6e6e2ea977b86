//! One HTTP/1 connection: reads requests and writes responses within time limits.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use attohttpc::StatusCode;
use gentianlane::unit::Span;
use rouille::{Request, Response};

use crate::connection::http::head::{Fault, Head};
use crate::connection::http::limiter::ConnectionPermit;
use crate::connection::http::route::{self, Service};

/// The size of one read, in bytes.
const READ_CHUNK: usize = 4 << 10;

/// How often an idle connection checks whether the server is closing.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How long input is still read and discarded after the last response.
///
/// Closing a socket with unread bytes resets the connection, and the caller would
/// lose the response.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// How many bytes are read and discarded after the last response.
const LINGER_LIMIT: usize = 1 << 20;

/// One connection.
pub(super) struct Connection<'a> {
    stream: TcpStream,
    address: SocketAddr,
    permit: &'a ConnectionPermit,
    /// Bytes that were received and not yet parsed.
    bytes: Vec<u8>,
}

impl<'a> Connection<'a> {
    pub(super) fn new(
        stream: TcpStream,
        address: SocketAddr,
        permit: &'a ConnectionPermit,
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            address,
            permit,
            bytes: Vec::new(),
        })
    }

    /// Serves requests one after another until the connection ends.
    pub(super) fn run(&mut self, service: &Service) {
        while self.wait_for_request() {
            let (response, keep_alive) = match self.read_request() {
                Ok((request, keep_alive)) => (self.serve(service, &request), keep_alive),
                Err(fault) => {
                    service.telemetry.metrics.unreadable_request();
                    (route::malformed(fault), false)
                }
            };
            let keep_alive = keep_alive
                && !service.gateway.is_stopping()
                && !self.permit.limiter().is_closing();
            if self.write_response(response, keep_alive).is_err() {
                return;
            }
            if !keep_alive {
                return self.linger();
            }
        }
    }

    fn serve(&self, service: &Service, request: &Request) -> Response {
        match self.permit.acquire_request() {
            Some(_permit) => route::serve(service, request),
            None => route::overloaded(),
        }
    }

    /// Waits for the first byte of a request; false if the connection was closed,
    /// failed or was idle for too long, or the server is closing.
    fn wait_for_request(&mut self) -> bool {
        let deadline =
            Instant::now() + Duration::from(self.permit.limiter().limits().idle_time);
        while self.bytes.is_empty() {
            let now = Instant::now();
            if now >= deadline {
                return false;
            }
            match self.read(deadline.min(now + IDLE_POLL_INTERVAL)) {
                Ok(0) => return false,
                Ok(_) => {}
                Err(fault)
                    if is_timeout(&fault) && !self.permit.limiter().is_closing() => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Reads one whole request; the flag tells whether another may follow on the
    /// connection.
    fn read_request(&mut self) -> Result<(Request, bool), Fault> {
        let head = self.read_head()?;
        let limits = *self.permit.limiter().limits();
        if head.body_length > limits.body {
            return Err(Fault::BodyTooLong);
        }
        self.bytes.drain(..head.length);
        if head.expects_continue && self.bytes.is_empty() {
            let interim_response = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.write(interim_response, limits.reply_time)
                .map_err(|_| Fault::Truncated)?;
        }
        let deadline = Instant::now() + Duration::from(limits.body_time);
        while self.bytes.len() < head.body_length {
            self.read_more(deadline)?;
        }
        let body = self.bytes.drain(..head.body_length).collect();
        let Head {
            method,
            path,
            headers,
            keep_alive,
            ..
        } = head;
        let request = Request::fake_http_from(self.address, method, path, headers, body);
        Ok((request, keep_alive))
    }

    fn read_head(&mut self) -> Result<Head, Fault> {
        let limits = *self.permit.limiter().limits();
        let deadline = Instant::now() + Duration::from(limits.head_time);
        let mut seen = 0;
        loop {
            if (seen == 0 || ends_with_blank_line(&self.bytes, seen))
                && let Some(head) = Head::read(&self.bytes)?
            {
                return match head.length > limits.head {
                    true => Err(Fault::HeadTooLong),
                    false => Ok(head),
                };
            }
            if self.bytes.len() > limits.head {
                return Err(Fault::HeadTooLong);
            }
            seen = self.bytes.len();
            self.read_more(deadline)?;
        }
    }

    fn read_more(&mut self, deadline: Instant) -> Result<(), Fault> {
        match self.read(deadline) {
            Ok(0) => Err(Fault::Truncated),
            Ok(_) => Ok(()),
            Err(fault) if is_timeout(&fault) => Err(Fault::TimedOut),
            Err(_) => Err(Fault::Truncated),
        }
    }

    /// Reads available bytes, waiting for them until `deadline` at the latest.
    fn read(&mut self, deadline: Instant) -> io::Result<usize> {
        self.stream.set_read_timeout(Some(time_left(deadline)?))?;
        let mut chunk = [0; READ_CHUNK];
        let count = self.stream.read(&mut chunk)?;
        self.bytes.extend(chunk.iter().take(count));
        Ok(count)
    }

    fn write_response(&mut self, response: Response, keep_alive: bool) -> io::Result<()> {
        let (mut body, _) = response.data.into_reader_and_size();
        let mut text = Vec::new();
        body.read_to_end(&mut text)?;
        let code = response.status_code;
        let phrase = StatusCode::from_u16(code)
            .ok()
            .and_then(|status| status.canonical_reason());
        let mut bytes = Vec::with_capacity(text.len() + READ_CHUNK);
        write!(bytes, "HTTP/1.1 {code} {}\r\n", phrase.unwrap_or_default())?;
        for (name, value) in &response.headers {
            write!(bytes, "{name}: {value}\r\n")?;
        }
        if !keep_alive {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        write!(bytes, "Content-Length: {}\r\n\r\n", text.len())?;
        bytes.extend_from_slice(&text);
        self.write(&bytes, self.permit.limiter().limits().reply_time)
    }

    fn write(&mut self, mut bytes: &[u8], time: Span) -> io::Result<()> {
        let deadline = Instant::now() + Duration::from(time);
        while !bytes.is_empty() {
            self.stream.set_write_timeout(Some(time_left(deadline)?))?;
            match self.stream.write(bytes)? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                count => bytes = bytes.get(count..).unwrap_or_default(),
            }
        }
        Ok(())
    }

    /// Closes the sending half and discards input for [`LINGER_TIME`], so that the
    /// caller can still read the response.
    fn linger(&mut self) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let deadline = Instant::now() + LINGER_TIME;
        let mut count = 0;
        while count < LINGER_LIMIT {
            self.bytes.clear();
            match self.read(deadline) {
                Ok(0) | Err(_) => return,
                Ok(more) => count += more,
            }
        }
    }
}

/// The time until `deadline`, never zero, as a zero timeout on a socket is an
/// error.
fn time_left(deadline: Instant) -> io::Result<Duration> {
    match deadline.checked_duration_since(Instant::now()) {
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

/// Whether a blank line ends after the first `seen` bytes.
fn ends_with_blank_line(bytes: &[u8], seen: usize) -> bool {
    let new = bytes.get(seen.saturating_sub(2)..).unwrap_or_default();
    let windows = new.windows(2).chain(new.windows(3));
    windows
        .into_iter()
        .any(|tail| tail == b"\n\n" || tail == b"\n\r\n")
}
