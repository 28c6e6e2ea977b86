//! How far a run is, and how much longer it takes.
//!
//! Answers callers' estimates that are off by most of their value, and workers
//! on which tasks stand still or crawl while they look healthy.

use crate::unit::{Span, Time};

/// The least time between two readings that tell a pace: readings are whole
/// percents, and a run of half a second moves by six in this time.
const BASELINE: Span = Span::from_millis(300);

/// After this long the pace is measured from a new reading on, so that it is
/// the present one; workers are asked about once a second.
const RENEW: Span = Span::from_millis(900);

/// What a worker has told of one run's progress.
#[derive(Debug, Default, Clone)]
pub(crate) struct Progress {
    /// The newest reading, in percent.
    percent: u8,
    /// When it was first read.
    moved: Option<Time>,
    /// When the newest reading was taken.
    read: Time,
    /// The reading that the pace is measured from.
    base: Option<(Time, u8)>,
    /// Microseconds for one percent, at present.
    pace: Option<u64>,
    /// The quickest pace so far.
    best: Option<u64>,
    /// Whether the run is the task's whole work.
    whole: bool,
}

impl Progress {
    /// A run that begins at its beginning at a time; none if it goes on from a
    /// checkpoint, which is somewhere on the way.
    pub(crate) fn new(began: Option<Time>) -> Self {
        Self {
            base: began.map(|began| (began, 0)),
            whole: began.is_some(),
            ..Self::default()
        }
    }

    /// Takes a reading.
    pub(crate) fn read(&mut self, percent: u8, now: Time) {
        if self.moved.is_none() || percent != self.percent {
            self.moved = Some(now);
        }
        self.percent = percent;
        self.read = now;
        let (at, from) = *self.base.get_or_insert((now, percent));
        let took = now.since(at);
        if percent <= from {
            // Standing still isn't a pace.
            if took >= RENEW {
                self.base = Some((now, percent));
            }
            return;
        }
        if took < BASELINE {
            return;
        }
        let pace = took.as_millis() * 1_000 / u64::from(percent - from);
        self.pace = Some(pace);
        self.best = Some(self.best.map_or(pace, |best| best.min(pace)));
        if took >= RENEW {
            self.base = Some((now, percent));
        }
    }

    /// Whether the run is known to be the task's whole work, with no checkpoint
    /// that it went on from.
    pub(crate) fn is_whole(&self) -> bool {
        self.whole
    }

    /// How long the worker has told the same reading; nothing for a run that
    /// is all but done.
    pub(crate) fn stalled(&self) -> Span {
        match self.moved {
            Some(moved) if self.percent < ALMOST => self.read.since(moved),
            _ => Span::ZERO,
        }
    }

    /// Microseconds for one percent, at present.
    pub(crate) fn pace(&self) -> Option<u64> {
        self.pace
    }

    /// Microseconds for one percent when the run was at its quickest.
    pub(crate) fn best(&self) -> Option<u64> {
        self.best
    }

    /// How much of the run is left, at a pace in microseconds for one percent.
    pub(crate) fn left_at(&self, pace: u64) -> Span {
        let percents = u64::from(100u8.saturating_sub(self.percent));
        Span::from_millis(percents * pace / 1_000)
    }

    /// How much longer the run takes at its present pace, if that is known.
    pub(crate) fn remaining(&self, now: Time) -> Option<Span> {
        let left = self.left_at(self.pace?);
        Some(left.less(now.since(self.moved?)))
    }
}

/// From here on a reading that stays the same is the last percent's fraction.
const ALMOST: u8 = 99;
