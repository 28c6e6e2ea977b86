//! Structured lines on standard output, from a thread of their own.
//!
//! A line never waits: when too many are queued it is dropped and counted.

use std::io::{BufWriter, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use flume::{Receiver, Sender};
use slog::{Drain, Logger, o};
use slog_logfmt::Logfmt;
use std::sync::Mutex;

use crate::clock::Clock;

/// How many lines may wait to be written.
const LOG_QUEUE_LIMIT: usize = 4_096;

/// A way to the thread that writes.
#[derive(Debug, Clone)]
pub(crate) struct LogWriter {
    sender: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread that writes to standard output.
    pub(crate) fn start() -> Self {
        let (sender, receiver) = flume::bounded(LOG_QUEUE_LIMIT);
        let dropped = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&dropped);
        thread::spawn(move || write_all(&receiver, &count));
        Self { sender, dropped }
    }

    /// Writes one line, with the time before it.
    pub(crate) fn write_line(&self, text: impl std::fmt::Display) {
        let at = Clock::wall().as_millis();
        self.send(format!("at={at} {text}\n").into_bytes());
    }

    fn send(&self, line: Vec<u8>) {
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// A logger whose events become such lines.
    pub(crate) fn logger(&self, node: &str) -> Logger {
        let lines = self.clone();
        let drain = Logfmt::new(LineBuffer {
            lines,
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

/// Gathers a line until it is whole.
struct LineBuffer {
    lines: LogWriter,
    line: Vec<u8>,
}

impl Write for LineBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            self.lines.send(std::mem::take(&mut self.line));
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Writes what waits, and flushes when nothing does.
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
        // Nobody is left to be told that standard output is gone.
        if written.and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
