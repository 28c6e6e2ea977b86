//! A connection's stream, which accounts for the buffer that it is read into.

use std::io::{Error, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Duration, Sleep, sleep};

use crate::fleet::intake::{CONNECTION_SIZE, Connection, Event};

/// How long a write may make no progress.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// A stream that takes the memory of its read buffer from a connection's account before
/// it reads, and fails if nothing can be written for [`WRITE_TIMEOUT`].
#[derive(Debug)]
pub(super) struct Stream {
    stream: TcpStream,
    connection: Arc<Connection>,
    /// The read buffer as far as it is accounted for, in bytes.
    buffer: usize,
    /// What the read buffer still holds at most, in bytes.
    unparsed: usize,
    /// The bytes of the last read.
    last_read: usize,
    /// The heads that had arrived at the last read.
    heads: u64,
    /// Runs while a write waits.
    write_timeout: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    pub(super) fn new(stream: TcpStream, connection: Arc<Connection>) -> Self {
        Self {
            stream,
            connection,
            buffer: CONNECTION_SIZE / 2,
            unparsed: 0,
            last_read: 0,
            heads: 0,
            write_timeout: None,
        }
    }

    /// Fails once a write has waited for too long.
    fn check_write<T>(
        &mut self,
        written: Poll<Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<Result<T>> {
        if written.is_ready() {
            self.write_timeout = None;
            return written;
        }
        let timeout = self
            .write_timeout
            .get_or_insert_with(|| Box::pin(sleep(WRITE_TIMEOUT)));
        ready!(timeout.as_mut().poll(context));
        self.connection.tally(Event::Unread);
        Poll::Ready(Err(Error::from(std::io::ErrorKind::TimedOut)))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let (heads, in_body) = self.connection.arrival();
        if in_body {
            // A body is read on once the buffer is empty.
            self.unparsed = 0;
        } else if heads != self.heads {
            self.unparsed = self.last_read;
        }
        self.heads = heads;
        let size = buffer.remaining() + self.unparsed;
        if size > self.buffer {
            let more = size - self.buffer;
            // An evicted connection is ended by its own task, after a refusal.
            let Ok(()) = ready!(self.connection.poll_take(context, more)) else {
                return Poll::Pending;
            };
            self.buffer = size;
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        if read > 0 {
            self.unparsed += read;
            self.last_read = read;
            self.connection.receive();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_write(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        self.check_write(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
