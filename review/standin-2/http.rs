//! HTTP/1.1 for stand-ins: a client, and a server with a thread for each connection.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// A request that a server has read.
#[derive(Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub target: Option<String>,
    pub body: String,
}

/// What a server does about a request.
pub enum Answer {
    /// Responds with a status and a body.
    Respond(u16, String),
    /// Closes the connection without a response.
    Close,
}

fn read_head(
    reader: &mut impl BufRead,
) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(other, _)| other == name);
    found.map(|(_, value)| value.as_str())
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> io::Result<String> {
    let length = header(headers, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Sends one request over a connection of its own, and reads the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> io::Result<(u16, String)> {
    call_with_budget(address, method, host, path, body, limit, limit)
}

/// As [`call`]; the request names a time budget, before the end of which the caller may
/// leave.
pub fn call_with_budget(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    budget: Duration,
    limit: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let budget = budget.as_millis();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nDeadline-Ms: {budget}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    Ok((status, read_body(&mut reader, &headers)?))
}

/// Serves an address until `open` is false.
pub fn serve<H>(address: SocketAddr, open: Arc<AtomicBool>, handler: H) -> io::Result<()>
where
    H: Fn(Request) -> Answer + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        while open.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (handler, open) = (handler.clone(), open.clone());
                    thread::spawn(move || {
                        let _ = serve_connection(stream, &open, &*handler);
                    });
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    });
    Ok(())
}

fn serve_connection(
    stream: TcpStream,
    open: &AtomicBool,
    handler: &(impl Fn(Request) -> Answer + ?Sized),
) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    // Idle connections notice within this time that the server has closed.
    stream.set_read_timeout(Some(Duration::from_millis(50)))?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        match reader.fill_buf() {
            Ok([]) => return Ok(()),
            Ok(_) => {}
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                if !open.load(Ordering::SeqCst) {
                    return Ok(());
                }
                continue;
            }
            Err(error) => return Err(error),
        }
        reader
            .get_ref()
            .set_read_timeout(Some(Duration::from_secs(2)))?;
        let Some((first, headers)) = read_head(&mut reader)? else {
            return Ok(());
        };
        let body = read_body(&mut reader, &headers)?;
        reader
            .get_ref()
            .set_read_timeout(Some(Duration::from_millis(50)))?;
        let mut parts = first.split(' ');
        let request = Request {
            method: parts.next().unwrap_or_default().to_owned(),
            path: parts.next().unwrap_or_default().to_owned(),
            target: header(&headers, "target-instance").map(str::to_owned),
            body,
        };
        if !open.load(Ordering::SeqCst) {
            return Ok(());
        }
        match handler(request) {
            Answer::Respond(status, body) if open.load(Ordering::SeqCst) => {
                let head = format!(
                    "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all(format!("{head}{body}").as_bytes())?;
            }
            Answer::Respond(..) | Answer::Close => return Ok(()),
        }
    }
}
