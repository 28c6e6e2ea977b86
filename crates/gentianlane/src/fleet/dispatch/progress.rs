//! Tracks a run's progress, and derives its pace and remaining time.
//!
//! Callers' estimates are off by most of their value, and tasks can stall or
//! slow down on workers that look healthy, so what workers report of progress
//! is the better source for both.
//!
//! A reading's time is that on the worker's clock. The leader may handle it much
//! later, which says nothing about the task.

use crate::unit::{Span, Time};

/// The least time between two readings from which a pace is computed. Readings
/// are whole percents; a run of five seconds advances by six of them in this
/// time, so its pace is accurate to a sixth.
const MIN_SAMPLE: Span = Span::from_millis(300);

/// The age from which a baseline is replaced by the newest reading, so that
/// the pace is the present one. Workers report about once a second.
const REBASE_INTERVAL: Span = Span::from_millis(900);

/// The progress of one run, as its worker reports it.
#[derive(Debug, Default, Clone)]
pub(crate) struct Progress {
    /// The newest reading, in percent.
    percent: u8,
    /// When that percentage was first read, on the worker's clock.
    changed_at: Option<Time>,
    /// When the leader learned of that percentage.
    learned_at: Time,
    /// When the newest reading was taken, on the worker's clock.
    read_at: Time,
    /// The reading from which the pace is measured, with its time on the worker's
    /// clock.
    baseline: Option<(Time, u8)>,
    /// The present pace, in microseconds per percent.
    pace: Option<u64>,
    /// The quickest pace so far, in microseconds per percent.
    best_pace: Option<u64>,
    /// Whether the run started from the task's beginning.
    from_start: bool,
}

impl Progress {
    /// The progress of a new run.
    ///
    /// `started_at` is when the run started from the task's beginning, on the
    /// worker's clock; none if it resumes from a checkpoint, whose percentage isn't
    /// known.
    pub(crate) fn new(started_at: Option<Time>) -> Self {
        Self {
            baseline: started_at.map(|started_at| (started_at, 0)),
            from_start: started_at.is_some(),
            ..Self::default()
        }
    }

    /// Records a reading, in percent, that the worker took at `read_at` on its own
    /// clock.
    pub(crate) fn record(&mut self, percent: u8, read_at: Time, now: Time) {
        if self.changed_at.is_none() || percent != self.percent {
            self.changed_at = Some(read_at);
            self.learned_at = now;
        }
        self.percent = percent;
        self.read_at = read_at;
        let (since, from) = *self.baseline.get_or_insert((read_at, percent));
        let elapsed = read_at.since(since);
        if percent <= from {
            // A stall gives no pace, but a baseline this old is replaced.
            if elapsed >= REBASE_INTERVAL {
                self.baseline = Some((read_at, percent));
            }
            return;
        }
        if elapsed < MIN_SAMPLE {
            return;
        }
        let pace = elapsed.saturating_mul(1_000).as_millis() / u64::from(percent - from);
        self.pace = Some(pace);
        self.best_pace = Some(self.best_pace.map_or(pace, |best| best.min(pace)));
        if elapsed >= REBASE_INTERVAL {
            self.baseline = Some((read_at, percent));
        }
    }

    /// Whether the run is known to have started from the task's beginning, not
    /// from a checkpoint. Only then is its run time that of the whole task.
    pub(crate) fn is_from_start(&self) -> bool {
        self.from_start
    }

    /// How long the worker has reported the same percentage; zero for a run in
    /// its last percent.
    pub(crate) fn stalled(&self) -> Span {
        match self.changed_at {
            Some(changed_at) if self.percent < NEAR_END => self.read_at.since(changed_at),
            _ => Span::ZERO,
        }
    }

    /// The present pace, in microseconds per percent; none before two readings
    /// far enough apart.
    pub(crate) fn pace(&self) -> Option<u64> {
        self.pace
    }

    /// The quickest pace so far, in microseconds per percent.
    pub(crate) fn best_pace(&self) -> Option<u64> {
        self.best_pace
    }

    /// The remaining run time from the newest reading on, at a pace in
    /// microseconds per percent.
    pub(crate) fn remaining_at(&self, pace: u64) -> Span {
        let percents = u64::from(100u8.saturating_sub(self.percent));
        Span::from_millis(percents.saturating_mul(pace) / 1_000)
    }

    /// The remaining run time from now on at the present pace, if that is
    /// known.
    pub(crate) fn remaining(&self, now: Time) -> Option<Span> {
        let left = self.remaining_at(self.pace?);
        Some(left.saturating_sub(now.since(self.learned_at)))
    }
}

/// From this percentage on an unchanged reading is no stall: readings are whole
/// percents, and the rest of the run lies within the last one.
const NEAR_END: u8 = 99;
