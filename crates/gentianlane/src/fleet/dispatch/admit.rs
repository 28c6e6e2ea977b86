//! Admission control for submitted jobs.

use crate::fleet::State;
use crate::fleet::call::Refusal;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::footprint::{Footprint, Holder, finished};
use crate::fleet::job::{Id, Spec};
use crate::id;
use crate::unit::Span;

/// The number of open jobs from which new ones are refused; bounds the leader's
/// processor time.
const OPEN_JOB_LIMIT: usize = 20_000;

/// How long a caller waits before it submits again after such a refusal.
const OVERLOAD_RETRY: Span = Span::from_millis(2_000);

impl Dispatcher {
    /// Whether a job could be admitted if there was no other.
    #[must_use]
    pub fn can_hold(&self, queue: &str, spec: &Spec) -> bool {
        let footprint = Footprint::of(queue, spec);
        footprint.with(1) <= self.setup.job_memory / 2
    }

    /// Why a new job is refused at present, and after what time the caller may
    /// retry; none if it is admitted.
    #[must_use]
    pub fn admission_refusal(
        &self,
        state: &State,
        queue: &str,
        team: Option<&id::Team>,
        spec: &Spec,
    ) -> Option<(Refusal, Span)> {
        if self.open_jobs.count() >= OPEN_JOB_LIMIT {
            return Some((Refusal::Overloaded, OVERLOAD_RETRY));
        }
        let bytes = Footprint::of(queue, spec).with(1);
        let limit = self.setup.job_memory;
        let other = self.finished_bytes(state);
        let account = self.open_jobs.account();
        let has_room = account.has_room(&holder(queue, team), bytes, other, limit);
        (!has_room).then_some((Refusal::Memory, OVERLOAD_RETRY))
    }

    /// Accounts for a job that is admitted and proposed to the log.
    pub(crate) fn admit(
        &mut self,
        id: Id,
        queue: &str,
        team: Option<&id::Team>,
        spec: &Spec,
    ) {
        let footprint = Footprint::of(queue, spec);
        self.open_jobs.propose(id, holder(queue, team), footprint);
    }

    /// The number of jobs that are not over yet.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.open_jobs.count()
    }

    /// The memory that all jobs are reckoned at, in bytes.
    #[must_use]
    pub fn job_memory(&self, state: &State) -> u64 {
        let open = self.open_jobs.account().total();
        open.saturating_add(self.finished_bytes(state))
    }

    /// The memory that the jobs take that are over, in bytes.
    pub(super) fn finished_bytes(&self, state: &State) -> u64 {
        finished(state.job_count().saturating_sub(self.open_jobs.count()))
    }
}

/// On whose account a submitted job is.
fn holder(queue: &str, team: Option<&id::Team>) -> Holder {
    match team {
        Some(team) => Holder::Team(team.clone()),
        None => Holder::Queue(queue.to_owned()),
    }
}
