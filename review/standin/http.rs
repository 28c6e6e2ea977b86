//! HTTP/1.1 with bodies of a known length, for servers and clients of a test.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }
}

/// Reads the first line, the headers and the body of a message.
fn read_message(
    reader: &mut impl BufRead,
) -> io::Result<(String, Vec<(String, String)>, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().unwrap_or(0);
            }
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((first.trim_end().to_owned(), headers, body))
}

/// Serves an address; the handler gives the status and body of each response.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(Request) -> (u16, String) + Send + Sync + 'static,
{
    serve_some(listener, move |request| Some(handler(request)));
}

/// As [`serve`]; without a response the connection is closed.
pub fn serve_some<H>(listener: TcpListener, handler: H)
where
    H: Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    for stream in listener.incoming().flatten() {
        let handler = Arc::clone(&handler);
        thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let Ok(mut writer) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(stream);
            while let Ok((first, headers, body)) = read_message(&mut reader) {
                let mut parts = first.split(' ');
                let method = parts.next().unwrap_or_default().to_owned();
                let path = parts.next().unwrap_or_default().to_owned();
                let Some((status, body)) = handler(Request {
                    method,
                    path,
                    headers,
                    body,
                }) else {
                    return;
                };
                let response = format!(
                    "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if writer.write_all(response.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
}

pub struct Response {
    pub status: u16,
    pub location: Option<String>,
    pub body: String,
}

/// Sends one request over a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> io::Result<Response> {
    let end = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    let left = end
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    stream.set_write_timeout(Some(left))?;
    let mut extra = String::new();
    for (name, value) in headers {
        extra.push_str(&format!("{name}: {value}\r\n"));
    }
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         {extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    (&stream).write_all(request.as_bytes())?;
    let mut reader = BufReader::new(&stream);
    let (first, headers, body) = read_message(&mut reader)?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let location = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("location"));
    Ok(Response {
        status: status.unwrap_or(0),
        location: location.map(|(_, value)| value.clone()),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Passes a request on to a minion, with the header that names it.
pub fn pass_on(target: SocketAddr, request: &Request) -> Option<(u16, String)> {
    let named = request
        .header("Target-Instance")
        .map(|id| ("Target-Instance", id.to_owned()));
    let headers: Vec<(&str, String)> = named.into_iter().collect();
    let body = String::from_utf8_lossy(&request.body);
    let limit = Duration::from_secs(4);
    let host = target.to_string();
    let answer = call(
        target,
        &request.method,
        &host,
        &request.path,
        &headers,
        &body,
        limit,
    )
    .ok()?;
    Some((answer.status, answer.body))
}

/// Passes each request on to `target`, and loses the response: the caller's connection is
/// closed instead.
pub fn serve_losing_responses(listener: TcpListener, target: SocketAddr) {
    for stream in listener.incoming().flatten() {
        thread::spawn(move || {
            let mut reader = BufReader::new(stream);
            let Ok((first, _, body)) = read_message(&mut reader) else {
                return;
            };
            let mut parts = first.split(' ');
            let (Some(method), Some(path)) = (parts.next(), parts.next()) else {
                return;
            };
            let body = String::from_utf8_lossy(&body);
            let host = target.to_string();
            let _ = call(
                target,
                method,
                &host,
                path,
                &[],
                &body,
                Duration::from_secs(1),
            );
        });
    }
}
