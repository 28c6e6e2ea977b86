//! When placement passes run, and what each has to look at.

use crate::unit::{Span, Time};

/// The schedule of placement passes.
#[derive(Debug, Clone)]
pub(crate) struct Schedule {
    /// Whether an input of placement has changed since the last pass.
    wanted: bool,
    /// Whether the next pass plans reservations and preemptions.
    plans: bool,
    /// No pass runs before this time.
    not_before: Time,
    /// When every waiting step is examined against all workers again.
    next_full: Time,
    /// Whether a pass has run since placement was last told to rest.
    passed: bool,
}

/// What one pass has to look at.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Scope {
    /// Whether every step is examined against all workers.
    pub(crate) full: bool,
    /// Whether reservations and preemptions are planned, which is done at the
    /// dispatcher's interval and not for each input.
    pub(crate) plans: bool,
}

impl Schedule {
    /// A schedule whose first pass is due, and looks at everything.
    pub(crate) fn new(now: Time) -> Self {
        Self {
            wanted: true,
            plans: true,
            not_before: now,
            next_full: now,
            passed: false,
        }
    }

    /// Calls for a pass, as an input of placement has changed.
    pub(crate) fn want(&mut self) {
        self.wanted = true;
    }

    /// Calls for a pass that plans.
    pub(crate) fn want_plans(&mut self) {
        self.wanted = true;
        self.plans = true;
    }

    /// Whether a pass is called for, perhaps at a later time.
    pub(crate) fn is_wanted(&self) -> bool {
        self.wanted
    }

    /// When the pass that is called for may run, if there is one.
    pub(crate) fn due(&self) -> Option<Time> {
        self.wanted.then_some(self.not_before)
    }

    /// Begins a pass, if one is due.
    pub(crate) fn begin(&mut self, now: Time) -> Option<Scope> {
        if self.due().is_none_or(|due| now < due) {
            return None;
        }
        self.wanted = false;
        self.passed = true;
        let full = now >= self.next_full;
        if full {
            self.next_full = now.after(FULL_PASS_INTERVAL);
        }
        let plans = std::mem::take(&mut self.plans);
        Some(Scope { full, plans })
    }

    /// Leaves the rest of a pass to the next one. That looks at all workers, as
    /// the remaining steps haven't seen what has changed.
    pub(crate) fn cut_short(&mut self, scope: Scope, now: Time) {
        self.wanted = true;
        self.plans |= scope.plans;
        self.next_full = now;
        self.not_before = self.not_before.max(now.after(PASS_GAP));
    }

    /// Lets placement rest for as long as the work since `started` took, if that
    /// was long and a pass was part of it.
    pub(crate) fn rest(&mut self, started: Time, now: Time) {
        let rest = now.since(started);
        // Work without a pass would prolong the rest, perhaps for ever.
        if std::mem::take(&mut self.passed) && rest >= MIN_REST {
            self.postpone(now.after(rest), now);
        }
    }

    /// Runs no pass before a time, at most a second ahead.
    pub(crate) fn postpone(&mut self, until: Time, now: Time) {
        self.not_before = until.min(now.after(MAX_POSTPONEMENT));
    }
}

/// How often each waiting step is examined against all workers, for changes
/// that show on no worker, such as fewer alternatives to a failed one.
const FULL_PASS_INTERVAL: Span = Span::from_millis(500);

/// The least time from a pass that was cut short to the next one, in which its
/// orders are handed over for sending.
const PASS_GAP: Span = Span::from_millis(1);

/// The shortest rest of placement; after a shorter pass there is none.
const MIN_REST: Span = Span::from_millis(10);

/// The longest time for which placement can be postponed.
const MAX_POSTPONEMENT: Span = Span::from_millis(1_000);
