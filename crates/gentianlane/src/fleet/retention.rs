//! For how long what is over is kept, by a clock that doesn't jump.
//!
//! The state has the wall times at which jobs ended, as leaders stamped them. A wall
//! clock may step by any time and back, so a leader drops only what was stamped before
//! the lowest reading of its clock in all the time for which such jobs are kept.

use std::collections::VecDeque;

use crate::unit::{Span, Time, Wall};

/// The readings of a leader's wall clock, as the lowest of each interval.
#[derive(Debug, Default, Clone)]
pub(crate) struct Retention {
    intervals: VecDeque<Interval>,
}

#[derive(Debug, Clone, Copy)]
struct Interval {
    began: Time,
    lowest: Wall,
}

/// The length of an interval.
const INTERVAL: Span = Span::from_secs(60);

impl Retention {
    /// Records a reading. Once an interval, gives the time before which everything is
    /// older than `kept`; none before this leader has led for that long.
    pub(crate) fn observe(&mut self, kept: Span, now: Time, wall: Wall) -> Option<Wall> {
        if let Some(current) = self.intervals.back_mut()
            && now < current.began.after(INTERVAL)
        {
            current.lowest = current.lowest.min(wall);
            return None;
        }
        let is_old =
            |interval: &Interval| interval.began.after(INTERVAL).after(kept) <= now;
        let mut before = None;
        while self.intervals.front().is_some_and(is_old) {
            let lowest = self.intervals.iter().map(|interval| interval.lowest);
            before = lowest.min().map(|lowest| lowest.min(wall));
            self.intervals.pop_front();
        }
        self.intervals.push_back(Interval {
            began: now,
            lowest: wall,
        });
        before
    }
}
