//! The event log: one line of key=value pairs (logfmt) per event.

use slog::{Drain, Logger, o};
use slog_logfmt::Logfmt;

use crate::clock::Clock;

/// The capacity of the queue of unwritten lines; further lines are dropped and
/// counted.
const QUEUE_LIMIT: usize = 1_024;

/// A logger that writes to standard error from a background thread.
pub(crate) fn to_stderr() -> Logger {
    let drain = Logfmt::new(std::io::stderr())
        .set_prefix(|io, record| {
            let (at, level) = (Clock::wall().as_millis(), record.level().as_str());
            Ok(write!(io, "at={at} level={level} event={} ", record.msg())?)
        })
        .build()
        .ignore_res();
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE_LIMIT)
        .build()
        .fuse();
    Logger::root(drain, o!())
}

/// A logger that writes nothing.
pub(crate) fn to_nowhere() -> Logger {
    Logger::root(slog::Discard, o!())
}
