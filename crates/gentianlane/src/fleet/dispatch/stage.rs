//! A step that is ready to run, with the tasks that still have to be placed.

use crate::collections::{IndexMap, IndexSet};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::fleet::dispatch::crash::Suspect;
use crate::fleet::dispatch::speed::Reference;
use crate::fleet::job::{Stage as Id, Step};
use crate::fleet::order::CallId;
use crate::fleet::plan::Queue;
use crate::id;
use crate::unit::{Span, Time};

/// The time allowed for a start order to reach the worker before the ticket
/// that it carries expires.
const TICKET_TRAVEL_TIME: Span = Span::from_millis(120);

/// A step of one occurrence of a job whose predecessors are done.
#[derive(Debug, Clone)]
pub(crate) struct Stage {
    pub(crate) id: Id,
    pub(crate) step: Step,
    pub(crate) queue: Queue,
    /// The name of the job's queue.
    pub(crate) queue_name: String,
    pub(crate) payload: Arc<str>,
    /// When this leader learned of the job or, for a scheduled occurrence, when
    /// it activated the step.
    pub(crate) queued_at: Time,
    /// How long the caller had waited by then, since the submission or the
    /// occurrence's due time.
    pub(crate) prior_wait: Span,
    /// The expected run time of the job's longest chain of dependent steps.
    pub(crate) critical_path: Span,
    /// The expected run time of the longest chain from this step on.
    pub(crate) remaining_path: Span,
    /// The work of one occurrence of the job, in core-milliseconds.
    pub(crate) work: u64,
    /// The tasks that aren't placed on a worker, each with the time since when.
    pub(crate) pending: BTreeMap<u32, Time>,
    /// The tasks that workers have reported as completed; zero stands for a
    /// gang.
    pub(crate) done: BTreeSet<u32>,
    /// Whether placement waits until the runs that an earlier leader started
    /// are known.
    pub(crate) recovering: bool,
    /// How many runs this leader has numbered for the step.
    starts: u64,
    /// The newest checkpoint by [`Stage::unit_key`].
    pub(crate) checkpoints: IndexMap<u32, String>,
    /// No task is placed before this time.
    pub(crate) not_before: Time,
    /// The workers on which each task has failed, by [`Stage::unit_key`].
    pub(crate) failed_on: IndexMap<u32, BTreeSet<id::Worker>>,
    /// What is held against tasks, by [`Stage::unit_key`].
    pub(crate) suspects: IndexMap<u32, Suspect>,
    /// The workers that were kept for a trial of the step that didn't begin in time, and
    /// when they were given up.
    pub(crate) lapsed_trials: IndexMap<id::Worker, Time>,
    /// The least time that a completed task took for one percent of its
    /// progress, in microseconds.
    best_pace: Option<u64>,
    /// Since when pending tasks have found no worker with room.
    pub(crate) blocked_since: Option<Time>,
    /// The workers whose capacity is reserved for the step, each with the time
    /// from which it has room without preemption.
    pub(crate) reserved: Vec<(id::Worker, Time)>,
    /// No workers are reserved for the step before this time.
    pub(crate) reserve_after: Time,
    /// Whether the step could starve without a reservation.
    pub(crate) needs_reservation: bool,
    /// The fleet's revision for which `needs_reservation` holds.
    pub(crate) revision: u64,
    /// Whether all workers were examined for the pending tasks, so that only
    /// those that change can take one.
    pub(crate) examined: bool,
    /// The workers that advice allows; none before the first answer, or if the
    /// queue needs no advice.
    pub(crate) eligible: Option<IndexMap<id::Worker, Permit>>,
    /// The advice requests that wait for their answers.
    pub(crate) open_requests: Vec<CallId>,
    /// The workers named in advice requests so far.
    pub(crate) asked: IndexSet<id::Worker>,
    /// Whether there may be workers to ask about that weren't asked about.
    pub(crate) may_ask: bool,
    /// What the completed tasks tell of the run time.
    pub(crate) reference: Reference,
    /// The wait for a better place than those that were free, if the step waits for one.
    pub(crate) wait: Option<Wait>,
    /// The team that the job belongs to, if it was submitted with a key.
    pub(crate) owner: Option<id::Team>,
    /// Whether the team submitted the job beyond its share.
    pub(crate) beyond_share: bool,
    /// Since when pending tasks wait because the team runs as much as it may.
    pub(crate) held_since: Option<Time>,
}

/// A step's wait for a better place.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wait {
    /// Since when it has waited.
    pub(crate) since: Time,
    /// When it starts elsewhere at the latest.
    pub(crate) until: Time,
    /// Whether it has waited in the last placement pass as well.
    pub(crate) is_current: bool,
}

/// The adviser's permission to run a step on a worker.
#[derive(Debug, Clone)]
pub(crate) struct Permit {
    /// The ticket for the start order; only this incarnation of the worker
    /// accepts it.
    pub(crate) ticket: String,
    /// When the ticket expires.
    pub(crate) expires: Time,
}

impl Permit {
    /// Whether a start sent now reaches the worker before the ticket expires.
    pub(crate) fn is_valid(&self, now: Time) -> bool {
        now.after(TICKET_TRAVEL_TIME) < self.expires
    }
}

/// How many run numbers each term has for one step. The ranges of later terms
/// are higher, so that numbers rise from one leader to the next without a record of
/// how many each has used. No leader can use up a range: at 5,000 starts per second
/// it lasts for ten days. Workers may read numbers as floating-point values, which are
/// exact up to 2^53, the end of the range of term 2^21.
const STARTS_PER_TERM: u64 = 1 << 32;

impl Stage {
    pub(crate) fn new(
        id: Id,
        step: Step,
        queue: Queue,
        payload: Arc<str>,
        now: Time,
    ) -> Self {
        Self {
            id,
            step,
            queue,
            queue_name: String::new(),
            payload,
            queued_at: now,
            prior_wait: Span::ZERO,
            critical_path: Span::ZERO,
            remaining_path: Span::ZERO,
            work: 0,
            pending: BTreeMap::new(),
            done: BTreeSet::new(),
            recovering: false,
            starts: 0,
            checkpoints: IndexMap::default(),
            not_before: now,
            failed_on: IndexMap::default(),
            suspects: IndexMap::default(),
            lapsed_trials: IndexMap::default(),
            best_pace: None,
            blocked_since: None,
            reserved: Vec::new(),
            reserve_after: now,
            needs_reservation: false,
            revision: 0,
            examined: false,
            eligible: None,
            open_requests: Vec::new(),
            asked: IndexSet::default(),
            may_ask: true,
            reference: Reference::default(),
            wait: None,
            owner: None,
            beyond_share: false,
            held_since: None,
        }
    }

    /// Makes a task pending, to be examined against all workers.
    pub(crate) fn add_pending(&mut self, index: u32, now: Time) {
        self.pending.entry(index).or_insert(now);
        self.examined = false;
    }

    /// The next run's number, higher than all earlier ones of the step.
    pub(crate) fn next_run_number(&mut self, term: u64) -> u64 {
        self.starts += 1;
        let earlier_terms = term.saturating_sub(1);
        let used = earlier_terms.saturating_mul(STARTS_PER_TERM);
        used.saturating_add(self.starts)
    }

    /// Records a completed task's pace, in microseconds per percent.
    pub(crate) fn record_pace(&mut self, pace: u64) {
        self.best_pace = Some(self.best_pace.map_or(pace, |best| best.min(pace)));
    }

    /// The quickest pace of a completed task, in microseconds per percent.
    pub(crate) fn best_pace(&self) -> Option<u64> {
        self.best_pace
    }

    /// The permission to run the step on a worker, if advice gave one; its
    /// ticket may have expired.
    pub(crate) fn permit(&self, worker: &id::Worker) -> Option<&Permit> {
        self.eligible.as_ref()?.get(worker)
    }

    /// Whether a task has failed on a worker and there are others to try.
    ///
    /// `feasible` is the number of workers that could run the step at all,
    /// including those on which the task has failed.
    pub(crate) fn avoids(
        &self,
        index: u32,
        worker: &id::Worker,
        feasible: usize,
    ) -> bool {
        let failed = self.failed_on.get(&self.unit_key(index));
        failed.is_some_and(|failed| failed.contains(worker) && failed.len() < feasible)
    }

    /// What is held against a task.
    pub(crate) fn suspect(&self, index: u32) -> Suspect {
        let suspect = self.suspects.get(&self.unit_key(index));
        suspect.copied().unwrap_or_default()
    }

    /// Whether the step may run only on workers that advice allows.
    pub(crate) fn needs_advice(&self) -> bool {
        self.queue.advice.is_some()
    }

    /// Whether tasks can be placed now; a gang only if all its tasks are
    /// pending.
    pub(crate) fn is_placeable(&self, now: Time) -> bool {
        let enough = match self.step.gang {
            true => {
                self.pending.len() == self.step.count as usize
                    && !self.suspect(0).is_held()
            }
            false => !self.pending.is_empty(),
        };
        enough && !self.recovering && self.not_before <= now
    }

    /// The key of a task's checkpoint, failures and completion: its index, or
    /// zero for all tasks of a gang, as they end together.
    pub(crate) fn unit_key(&self, index: u32) -> u32 {
        if self.step.gang { 0 } else { index }
    }

    /// How long the caller has waited, since the submission or the occurrence's
    /// due time.
    pub(crate) fn waited(&self, now: Time) -> Span {
        self.prior_wait + now.since(self.queued_at)
    }

    /// The time from submission within which the job has its full value.
    pub(crate) fn soft_deadline(&self) -> Span {
        let stretched = self
            .critical_path
            .saturating_mul(self.queue.stretch_permille);
        Span::from_millis(stretched.as_millis() / 1_000) + self.queue.latency_target
    }

    /// The time from submission after which the job has no value.
    pub(crate) fn hard_deadline(&self) -> Span {
        self.soft_deadline().saturating_mul(HARD_DEADLINE_FACTOR)
    }
}

/// The hard deadline as a multiple of the soft one, by the users' rules.
const HARD_DEADLINE_FACTOR: u64 = 3;
