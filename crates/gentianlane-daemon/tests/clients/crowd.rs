//! Many clients that send a fixed number of bytes each and then stay open.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How many clients send at a time; all stay open until the crowd is dropped.
const WRITERS: usize = 16;

/// How long a client waits for a server that doesn't read before it only stays open.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// When clients that are still sending stop.
const SEND_TIME: Duration = Duration::from_secs(40);

/// The pause between two looks at the process while a crowd sends.
const PAUSE: Duration = Duration::from_millis(20);

/// What one client sends: the start, then a piece again and again.
pub(crate) struct Script {
    start: Vec<u8>,
    piece: Vec<u8>,
    pieces: usize,
}

impl Script {
    pub(crate) fn new(
        start: impl Into<Vec<u8>>,
        piece: impl Into<Vec<u8>>,
        pieces: usize,
    ) -> Self {
        Self {
            start: start.into(),
            piece: piece.into(),
            pieces,
        }
    }

    /// A body that ends a byte before its announced length and is sent at once.
    pub(crate) fn short_body(path: &str, length: usize) -> Self {
        Self::body_in_pieces(path, length, length - 1)
    }

    /// A body that is sent in pieces of a size, and ends before its announced length
    /// with the last piece.
    pub(crate) fn body_in_pieces(path: &str, length: usize, piece: usize) -> Self {
        let start = format!(
            "POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n"
        );
        Self::new(start, vec![b' '; piece], (length - 1) / piece)
    }

    /// A chunked body without its last chunk: chunks of a size, several in a piece.
    pub(crate) fn chunked(
        path: &str,
        size: usize,
        chunks_in_piece: usize,
        pieces: usize,
    ) -> Self {
        let start = format!(
            "POST {path} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let chunk = format!("{size:x}\r\n{}\r\n", " ".repeat(size));
        Self::new(start, chunk.repeat(chunks_in_piece), pieces)
    }

    /// Sends as much as the server takes; gives the number of bytes.
    fn send(&self, stream: &mut TcpStream, end: Instant) -> usize {
        let mut sent = 0;
        let pieces = std::iter::repeat_n(&self.piece, self.pieces);
        for mut rest in std::iter::once(&self.start)
            .chain(pieces)
            .map(Vec::as_slice)
        {
            while !rest.is_empty() && Instant::now() < end {
                match stream.write(rest) {
                    Ok(written) => {
                        sent += written;
                        rest = &rest[written..];
                    }
                    Err(error) if error.kind() == ErrorKind::Interrupted => {}
                    Err(_) => return sent,
                }
            }
        }
        sent
    }
}

/// A crowd that has sent all that the server took; its clients are closed when it is
/// dropped.
pub(crate) struct Crowd {
    streams: Vec<TcpStream>,
    bytes: usize,
}

impl Crowd {
    /// Has as many clients as asked for follow the scripts in turn, and looks at the
    /// server meanwhile.
    pub(crate) fn send(
        address: SocketAddr,
        clients: usize,
        scripts: &[Script],
        mut look: impl FnMut(),
    ) -> Self {
        let end = Instant::now() + SEND_TIME;
        let next = AtomicUsize::new(0);
        let bytes = AtomicUsize::new(0);
        let write = || {
            let mut streams = Vec::new();
            loop {
                let client = next.fetch_add(1, Ordering::Relaxed);
                if client >= clients {
                    return streams;
                }
                let Ok(mut stream) =
                    TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)
                else {
                    continue;
                };
                stream.set_nodelay(true).unwrap();
                stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
                let sent = scripts[client % scripts.len()].send(&mut stream, end);
                bytes.fetch_add(sent, Ordering::Relaxed);
                streams.push(stream);
            }
        };
        let streams = thread::scope(|scope| {
            let writers: Vec<_> = (0..WRITERS).map(|_| scope.spawn(write)).collect();
            while !writers.iter().all(thread::ScopedJoinHandle::is_finished) {
                look();
                thread::sleep(PAUSE);
            }
            let streams = writers.into_iter().map(|writer| writer.join().unwrap());
            streams.flatten().collect()
        });
        Self {
            streams,
            bytes: bytes.into_inner(),
        }
    }

    /// How many clients connected.
    pub(crate) fn clients(&self) -> usize {
        self.streams.len()
    }

    /// How many bytes the server, or its system, took from all clients.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}
