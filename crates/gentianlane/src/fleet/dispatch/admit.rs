//! Which jobs are turned away at the door.

use crate::fleet::call::Refusal;
use crate::fleet::dispatch::Dispatcher;
use crate::unit::Span;

/// The most jobs that may be open; bounds the leader's memory.
const JOB_LIMIT: usize = 20_000;

/// When to come back while too many jobs are open.
const FULL_RETRY: Span = Span::from_millis(2_000);

impl Dispatcher {
    /// Why a job is turned away and when it may come back; none if it is taken
    /// in.
    #[must_use]
    pub fn turn_away(&self) -> Option<(Refusal, Span)> {
        (self.open_jobs.len() >= JOB_LIMIT).then_some((Refusal::Overloaded, FULL_RETRY))
    }

    /// How many jobs are open.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.open_jobs.len()
    }
}
