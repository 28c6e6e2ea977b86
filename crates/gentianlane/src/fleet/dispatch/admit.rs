//! Admission control for submitted jobs.

use crate::fleet::call::Refusal;
use crate::fleet::dispatch::Dispatcher;
use crate::unit::Span;

/// The number of open jobs from which new ones are refused; bounds the leader's
/// memory.
const OPEN_JOB_LIMIT: usize = 20_000;

/// How long a caller waits before it submits again after such a refusal.
const OVERLOAD_RETRY: Span = Span::from_millis(2_000);

impl Dispatcher {
    /// Why a new job is refused at present, and after what time the caller may
    /// retry; none if it is admitted.
    #[must_use]
    pub fn admission_refusal(&self) -> Option<(Refusal, Span)> {
        (self.open_jobs.count() >= OPEN_JOB_LIMIT)
            .then_some((Refusal::Overloaded, OVERLOAD_RETRY))
    }

    /// The number of jobs that are not over yet.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.open_jobs.count()
    }
}
