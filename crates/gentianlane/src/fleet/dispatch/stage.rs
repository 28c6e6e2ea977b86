//! One step that is ready to run: what of it still has to be placed.

use indexmap::IndexMap;
use std::collections::BTreeSet;

use crate::fleet::job::{Stage as Id, Step};
use crate::fleet::order::Number;
use crate::fleet::plan::Queue;
use crate::id;
use crate::unit::{Span, Time};

/// How much of a ticket's life is left unused, for the way to the worker.
const TICKET_TRAVEL_TIME: Span = Span::from_millis(120);

/// A step whose predecessors are done.
#[derive(Debug, Clone)]
pub(crate) struct Stage {
    pub(crate) id: Id,
    pub(crate) step: Step,
    pub(crate) queue: Queue,
    /// The queue's name.
    pub(crate) queue_name: String,
    pub(crate) payload: String,
    /// When the job came to this leader, or its occurrence was due.
    pub(crate) queued_at: Time,
    /// How long the job had waited before it came to this leader.
    pub(crate) prior_wait: Span,
    /// The work of the job's longest chain.
    pub(crate) critical_path: Span,
    /// The work of the chain from this step on.
    pub(crate) remaining_path: Span,
    /// The job's whole work, in core-milliseconds.
    pub(crate) work: u64,
    /// The tasks that wait for a worker.
    pub(crate) pending: BTreeSet<u32>,
    /// The tasks that have ended well, as far as workers have told.
    pub(crate) done: BTreeSet<u32>,
    /// Whether tasks may run that an earlier leader started and this one
    /// hasn't found yet.
    pub(crate) recovering: bool,
    /// How many starts this leader has given to the step.
    starts: u64,
    /// The newest checkpoint of each task, or of the gang under zero.
    pub(crate) checkpoints: IndexMap<u32, String>,
    /// Nothing is placed before this.
    pub(crate) not_before: Time,
    /// The workers on which each task has failed, or the gang under zero.
    pub(crate) failed_on: IndexMap<u32, BTreeSet<id::Worker>>,
    /// Microseconds for one percent of a task at the quickest so far.
    best_pace: Option<u64>,
    /// Since when the step finds no room.
    pub(crate) blocked_since: Option<Time>,
    /// The workers whose room is kept for the step.
    pub(crate) reserved: Vec<id::Worker>,
    /// What advice has said; none if it wasn't asked or isn't needed.
    pub(crate) eligible: Option<IndexMap<id::Worker, Permit>>,
    /// The question that is under way.
    pub(crate) open_request: Option<Number>,
    /// The workers that were asked about.
    pub(crate) asked: BTreeSet<id::Worker>,
}

/// A worker that may run the step.
#[derive(Debug, Clone)]
pub(crate) struct Permit {
    /// The ticket; it's void for another life of the worker.
    pub(crate) ticket: String,
    /// Until when the ticket is good.
    pub(crate) expires: Time,
}

impl Permit {
    /// Whether a start that leaves now arrives while the ticket is good.
    pub(crate) fn is_valid(&self, now: Time) -> bool {
        now.after(TICKET_TRAVEL_TIME) < self.expires
    }
}

/// How starts are numbered: the leadership first, so that runs rise from one
/// leader to the next.
const STARTS_PER_TERM: u64 = 1 << 12;

impl Stage {
    pub(crate) fn new(
        id: Id,
        step: Step,
        queue: Queue,
        payload: String,
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
            pending: BTreeSet::new(),
            done: BTreeSet::new(),
            recovering: false,
            starts: 0,
            checkpoints: IndexMap::new(),
            not_before: now,
            failed_on: IndexMap::new(),
            best_pace: None,
            blocked_since: None,
            reserved: Vec::new(),
            eligible: None,
            open_request: None,
            asked: BTreeSet::new(),
        }
    }

    /// The number of the next run, higher than all before.
    pub(crate) fn next_run_number(&mut self, fencing_token: u64) -> u64 {
        self.starts += 1;
        fencing_token.saturating_sub(1) * STARTS_PER_TERM + self.starts
    }

    /// Takes how quick a task of the step was, in microseconds for one percent.
    pub(crate) fn record_pace(&mut self, pace: u64) {
        self.best_pace = Some(self.best_pace.map_or(pace, |held| held.min(pace)));
    }

    /// Microseconds for one percent of a task at the quickest so far.
    pub(crate) fn best_pace(&self) -> Option<u64> {
        self.best_pace
    }

    /// Whether a worker may run the step, as far as is known; with advice,
    /// only with a good ticket.
    pub(crate) fn permit(&self, worker: &id::Worker) -> Option<&Permit> {
        self.eligible.as_ref()?.get(worker)
    }

    /// Whether a task has failed on a worker, and others are left to try.
    ///
    /// `others` is how many workers could run it at all.
    pub(crate) fn avoids(&self, index: u32, worker: &id::Worker, others: usize) -> bool {
        let failed = self.failed_on.get(&self.unit_key(index));
        failed.is_some_and(|failed| failed.contains(worker) && failed.len() < others)
    }

    /// Whether only advice can tell which workers may run the step.
    pub(crate) fn needs_advice(&self) -> bool {
        self.queue.advice.is_some()
    }

    /// Whether enough tasks wait to place any.
    pub(crate) fn is_placeable(&self, now: Time) -> bool {
        let enough = match self.step.gang {
            true => self.pending.len() == self.step.count as usize,
            false => !self.pending.is_empty(),
        };
        enough && !self.recovering && self.not_before <= now
    }

    /// The key under which a task's checkpoint is kept.
    pub(crate) fn unit_key(&self, index: u32) -> u32 {
        if self.step.gang { 0 } else { index }
    }

    /// How long the job's caller has waited.
    pub(crate) fn waited(&self, now: Time) -> Span {
        self.prior_wait + now.since(self.queued_at)
    }

    /// How long the job may take and be worth its whole value.
    pub(crate) fn soft_deadline(&self) -> Span {
        let stretched = self.critical_path.as_millis() * self.queue.stretch / 1_000;
        Span::from_millis(stretched) + self.queue.target
    }

    /// How long the job may take and be worth anything.
    pub(crate) fn hard_deadline(&self) -> Span {
        self.soft_deadline().times(HARD_DEADLINE_FACTOR)
    }
}

/// How many times its goal a late job may take and still be worth something,
/// by the users' rules.
const HARD_DEADLINE_FACTOR: u64 = 3;
