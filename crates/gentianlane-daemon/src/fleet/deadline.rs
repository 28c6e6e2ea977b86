//! A time limit that doesn't count the time by which this thread runs late.

use std::pin::pin;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

/// By how much a timer may fire late on a thread that runs on time.
const TIMER_TOLERANCE: Duration = Duration::from_millis(5);

/// The most time that is granted beyond a limit. It is short beside the two seconds
/// by which answers of a worker may overtake each other; an older one would be
/// taken for another incarnation's.
const MAX_EXTENSION: Duration = Duration::from_millis(500);

/// The time limit is over.
#[derive(Debug)]
pub(crate) struct Elapsed;

/// Waits for a future's output within a time limit.
///
/// A timer that fires late shows that this thread didn't run, so that a request
/// may not have been written yet or its answer not have been read. The time by
/// which it is late is granted again, up to the limit or [`MAX_EXTENSION`] in
/// total, whichever is shorter.
///
/// # Errors
///
/// [`Elapsed`] if there is no output in time.
pub(crate) async fn timeout<F: Future>(
    limit: Duration,
    future: F,
) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    let mut due = Instant::now() + limit;
    let mut extension = limit.min(MAX_EXTENSION);
    loop {
        if let Ok(output) = timeout_at(due, future.as_mut()).await {
            return Ok(output);
        }
        let now = Instant::now();
        let granted = (now - due).min(extension);
        if granted <= TIMER_TOLERANCE {
            return Err(Elapsed);
        }
        extension -= granted;
        due = now + granted;
    }
}
