//! Counts what placement costs, for the log.

use std::cell::Cell;

use crate::fleet::decision::Decision;
use crate::unit::{Span, Time};

/// The work of placement since the last line about it.
#[derive(Debug, Default, Clone)]
pub(crate) struct Effort {
    /// The inputs that called for a placement pass.
    inputs: u64,
    passes: u64,
    /// The most steps that waited in one pass.
    waiting_steps: usize,
    /// How many pairs of step and worker were examined. Counted also by
    /// functions that only read the dispatcher.
    examined: Cell<u64>,
    /// When the present period began.
    since: Time,
}

impl Effort {
    /// Counts an input that calls for a placement pass.
    pub(crate) fn count_input(&mut self) {
        self.inputs += 1;
    }

    /// Counts a pass over the waiting steps.
    pub(crate) fn count_pass(&mut self, waiting_steps: usize) {
        self.passes += 1;
        self.waiting_steps = self.waiting_steps.max(waiting_steps);
    }

    /// Counts workers that were examined for one step.
    pub(crate) fn count_examined(&self, workers: usize) {
        self.examined.set(self.examined.get() + workers as u64);
    }

    /// The line about the present period, if that is over and steps waited.
    pub(crate) fn take_line(&mut self, now: Time) -> Option<Decision> {
        if now.since(self.since) < LOG_INTERVAL {
            return None;
        }
        let period = std::mem::take(self);
        self.since = now;
        (period.waiting_steps > 0).then(|| Decision::Placement {
            inputs: period.inputs,
            passes: period.passes,
            waiting_steps: period.waiting_steps,
            examined: period.examined.get(),
        })
    }
}

/// The time from one line to the next.
const LOG_INTERVAL: Span = Span::from_millis(1_000);
