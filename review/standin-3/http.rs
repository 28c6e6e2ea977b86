//! HTTP/1.1 over plain sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
pub struct Message {
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn read(reader: &mut impl BufRead) -> io::Result<Self> {
        let first = line(reader)?;
        let mut headers = Vec::new();
        loop {
            let line = line(reader)?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let first = first.split(' ').map(str::to_owned).collect();
        let mut message = Self {
            first,
            headers,
            body: Vec::new(),
        };
        let length = message
            .header("content-length")
            .and_then(|it| it.parse().ok());
        message.body.resize(length.unwrap_or(0), 0);
        reader.read_exact(&mut message.body)?;
        Ok(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

pub fn response(status: u16, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// One exchange over a connection of its own: the status and the body, or why there is no
/// whole response.
pub fn ask(
    method: &str,
    address: SocketAddr,
    host: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> Result<(u16, String), String> {
    let text = |error: io::Error| error.kind().to_string();
    let mut stream = TcpStream::connect_timeout(&address, limit).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    stream.set_read_timeout(Some(limit)).map_err(text)?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).map_err(text)?;
    let mut reader = BufReader::new(stream);
    let message = Message::read(&mut reader).map_err(text)?;
    let status = message.first.get(1).and_then(|it| it.parse().ok());
    let status = status.ok_or("no status")?;
    Ok((status, message.text()))
}

/// Reads whatever else comes until the end of a stream.
pub fn drain(stream: &mut impl Read) {
    let mut buffer = [0; 4096];
    while stream.read(&mut buffer).is_ok_and(|length| length > 0) {}
}
