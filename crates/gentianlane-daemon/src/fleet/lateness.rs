//! Reports how late a thread of a core runs, in the metrics and in the log.

use gentianlane::unit::{Span, Time};
use slog::{Logger, warn};
use tokio::time::Instant;

use crate::clock::Clock;
use crate::fleet::metrics::Metrics;

/// The lateness from which a line is written.
const REPORT_THRESHOLD: Span = Span::from_millis(100);

/// The shortest time between two lines on the same value.
const REPORT_INTERVAL: Span = Span::from_millis(1_000);

/// How often the traffic thread's timers are measured.
const TIMER_INTERVAL: std::time::Duration = std::time::Duration::from_millis(50);

/// Records one kind of lateness of one thread.
#[derive(Debug)]
pub(crate) struct Lateness {
    thread: &'static str,
    /// What is late; also the metric's name.
    what: &'static str,
    metrics: Metrics,
    log: Logger,
    /// The most since the last line.
    worst: Span,
    reported_at: Option<Time>,
}

impl Lateness {
    pub(crate) fn new(
        thread: &'static str,
        what: &'static str,
        metrics: Metrics,
        log: Logger,
    ) -> Self {
        Self {
            thread,
            what,
            metrics,
            log,
            worst: Span::ZERO,
            reported_at: None,
        }
    }

    /// Records a value; writes the most since the last line if that is over the
    /// threshold and the last line is old enough.
    pub(crate) fn record(&mut self, late: Span, now: Time) {
        self.metrics.time(self.what, late.into());
        self.worst = self.worst.max(late);
        let recent = self
            .reported_at
            .is_some_and(|at| now.since(at) < REPORT_INTERVAL);
        if recent || self.worst < REPORT_THRESHOLD {
            return;
        }
        warn!(self.log, "late"; "thread" => self.thread, "what" => self.what,
            "ms" => self.worst.as_millis());
        self.worst = Span::ZERO;
        self.reported_at = Some(now);
    }
}

/// Measures by how much the timers of this thread's runtime are late; never
/// returns.
pub(crate) async fn measure_timers(mut lateness: Lateness, clock: Clock) {
    loop {
        let due = Instant::now() + TIMER_INTERVAL;
        tokio::time::sleep_until(due).await;
        let late = due.elapsed().as_millis();
        let late = Span::from_millis(u64::try_from(late).unwrap_or(u64::MAX));
        lateness.record(late, clock.now());
    }
}
