//! Structured log lines on standard output, written by a thread of their own.
//!
//! Logging never blocks: when the queue is full, a line is dropped and counted.

use std::io::{BufWriter, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use flume::{Receiver, Sender};
use slog::{Drain, Logger, o};
use slog_logfmt::Logfmt;
use std::sync::Mutex;

use crate::clock::Clock;

/// The capacity of the queue of lines.
const LOG_QUEUE_LIMIT: usize = 4_096;

/// A handle to the log thread.
#[derive(Debug, Clone)]
pub(crate) struct LogWriter {
    sender: Sender<Vec<u8>>,
    /// The number of lines dropped since the last line about it.
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the log thread.
    pub(crate) fn start() -> Self {
        let (sender, receiver) = flume::bounded(LOG_QUEUE_LIMIT);
        let dropped = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&dropped);
        thread::spawn(move || write_all(&receiver, &count));
        Self { sender, dropped }
    }

    /// Writes one line, prefixed with the time in milliseconds.
    pub(crate) fn write_line(&self, text: impl std::fmt::Display) {
        let at = Clock::wall().as_millis();
        self.send(format!("at={at} {text}\n").into_bytes());
    }

    fn send(&self, line: Vec<u8>) {
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// A logger that writes its events as lines in logfmt, with the node's name.
    pub(crate) fn logger(&self, node: &str) -> Logger {
        let log_writer = self.clone();
        let drain = Logfmt::new(LineBuffer {
            log_writer,
            line: Vec::new(),
        })
        .set_prefix(|io, record| {
            let (at, level) = (Clock::wall().as_millis(), record.level().as_str());
            Ok(write!(io, "at={at} level={level} event={} ", record.msg())?)
        })
        .build();
        let drain = Mutex::new(drain).ignore_res();
        Logger::root(drain.fuse(), o!("node" => node.to_owned()))
    }
}

/// Collects the pieces of a line, and sends it when it is complete.
struct LineBuffer {
    log_writer: LogWriter,
    line: Vec<u8>,
}

impl Write for LineBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            self.log_writer.send(std::mem::take(&mut self.line));
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Writes the queued lines, and flushes whenever the queue is empty.
fn write_all(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = BufWriter::new(std::io::stdout());
    while let Ok(line) = lines.recv() {
        let mut written = out.write_all(&line);
        for line in lines.try_iter() {
            written = written.and_then(|()| out.write_all(&line));
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let at = Clock::wall().as_millis();
            let note = writeln!(out, "at={at} level=WARN event=log_dropped lines={lost}");
            written = written.and(note);
        }
        // Standard output is closed, so that the error can't be logged either.
        if written.and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
