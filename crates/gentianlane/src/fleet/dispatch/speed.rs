//! Learns how fast each worker is, where a fleet's workers are uneven.
//!
//! Tasks of one step are much alike, while run times within a queue vary by half and
//! callers' estimates by up to their whole value. So a run is compared with the other
//! runs of its step, each taken as if it had run on a worker of the usual speed. No
//! speed is tied to a worker's kind, and a new leader learns them anew within seconds.

use crate::fleet::dispatch::estimate::NOMINAL;
use crate::unit::Span;

/// The least weight of one observation in a worker's slowdown, in thousandths. It shows
/// a worker at half of the usual speed after four runs.
const MIN_GAIN: u64 = 150;

/// The observations from which on a worker's slowdown counts.
const MIN_SAMPLES: u64 = 3;

/// The bounds of one observation, in thousandths. A run may have been held up by more
/// than its worker's speed.
const RATIO_LIMITS: (u64, u64) = (300, 4_000);

/// The slowdowns from which a worker counts as slow, and as very slow, in thousandths.
/// Run times within a step differ by up to a third, so smaller differences mean nothing.
const SLOW: u64 = 1_300;
const VERY_SLOW: u64 = 1_700;

/// A worker's speed, as its runs have shown it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Speed {
    slowdown: u64,
    samples: u64,
}

/// The run time that a step's tasks would have on a worker of the usual speed.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Reference {
    /// The sum over the completed tasks, in milliseconds.
    total: u64,
    tasks: u64,
}

/// How fast a worker is, in classes that are told apart reliably.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Class {
    Usual,
    Slow,
    VerySlow,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            slowdown: NOMINAL,
            samples: 0,
        }
    }
}

impl Speed {
    /// Records a completed run, against the other completed tasks of its step.
    pub(crate) fn observe(&mut self, run_time: Span, reference: &mut Reference) {
        let millis = run_time.as_millis();
        if let Some(usual) = reference.run_time() {
            let (least, most) = RATIO_LIMITS;
            let ratio = (millis * NOMINAL / usual.as_millis().max(1)).clamp(least, most);
            let gain = (1_000 / (self.samples + 2)).max(MIN_GAIN);
            self.slowdown = (self.slowdown * (1_000 - gain) + ratio * gain) / 1_000;
            self.samples += 1;
        }
        reference.total += millis * NOMINAL / self.slowdown.max(1);
        reference.tasks += 1;
    }

    /// Run times here, in thousandths of those on a worker of the usual speed.
    pub(crate) fn slowdown(&self) -> u64 {
        match self.samples < MIN_SAMPLES {
            true => NOMINAL,
            false => self.slowdown,
        }
    }

    /// The worker's class.
    pub(crate) fn class(&self) -> Class {
        match self.slowdown() {
            slowdown if slowdown >= VERY_SLOW => Class::VerySlow,
            slowdown if slowdown >= SLOW => Class::Slow,
            _ => Class::Usual,
        }
    }
}

impl Reference {
    /// The mean run time on a worker of the usual speed, once a task has completed.
    pub(crate) fn run_time(&self) -> Option<Span> {
        let mean = self.total.checked_div(self.tasks)?;
        Some(Span::from_millis(mean))
    }
}
