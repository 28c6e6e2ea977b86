//! HTTP/1.1 over plain sockets, so that a test decides what happens to each of them.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// A request or a response.
#[derive(Clone)]
pub(crate) struct Message {
    /// The words of the first line.
    pub(crate) first: Vec<String>,
    /// The names, in lower case, and the values.
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Message {
    /// Reads a message whose body's length is in its headers.
    pub(crate) fn read(reader: &mut impl BufRead) -> io::Result<Self> {
        let first = line(reader)?;
        let mut headers = Vec::new();
        loop {
            let line = line(reader)?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut message = Self {
            first: first.split(' ').map(str::to_owned).collect(),
            headers,
            body: Vec::new(),
        };
        let length = message.header("content-length");
        let length = length.and_then(|it| it.parse().ok()).unwrap_or(0);
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
        Ok(message)
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// A response with a body.
pub(crate) fn response(status: u16, body: &Value) -> String {
    let body = body.to_string();
    format!(
        "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A client's connection.
pub(crate) struct Connection(BufReader<TcpStream>);

impl Connection {
    pub(crate) fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        Ok(Self(BufReader::new(stream)))
    }

    pub(crate) fn send(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
    ) -> io::Result<()> {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: soak.example\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.0.get_mut().write_all(request.as_bytes())
    }

    pub(crate) fn ask(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
    ) -> io::Result<(u16, Value)> {
        self.send(method, path, body)?;
        let answer = Message::read(&mut self.0)?;
        let status = answer.first.get(1).and_then(|status| status.parse().ok());
        Ok((status.unwrap_or(0), answer.json()))
    }
}
