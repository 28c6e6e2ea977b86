//! The memory that open jobs take: what each is reckoned at, and who holds how much.
//!
//! Callers make a core hold more by jobs, tasks, texts and due occurrences. All of it is on
//! one account, by which the leader admits jobs and opens occurrences, so that jobs take no
//! more than their share of a core's memory. The sizes are estimates of what the state, the
//! dispatcher and snapshots take together; a follower has no dispatcher and takes less.

use crate::collections::IndexMap;

use crate::fleet::job::{Id, Spec};
use crate::fleet::{Job, State};
use crate::id;

/// The memory that a job takes, in bytes.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Footprint {
    /// What it takes while it is open, whatever is due.
    pub(crate) job: u64,
    /// What each of its open occurrences takes.
    pub(crate) occurrence: u64,
}

/// A job's own records, with its entries in indexes.
const JOB_BYTES: u64 = 1_024;

/// A step as it is specified.
const STEP_BYTES: u64 = 512;

/// A step that is open.
const STAGE_BYTES: u64 = 2_048;

/// The progress and the wait of a task.
const TASK_BYTES: u64 = 96;

/// What remains of a job that is over.
const FINISHED_BYTES: u64 = 384;

/// How many copies of a text there are in the state, the dispatcher and snapshots.
const TEXT_COPIES: u64 = 4;

impl Footprint {
    /// That of a job with this specification in a queue.
    pub(crate) fn of(queue: &str, spec: &Spec) -> Self {
        let text = |length: usize| length as u64 * TEXT_COPIES;
        let mut footprint = Self {
            job: JOB_BYTES + text(queue.len()) + text(spec.payload.len()),
            occurrence: 0,
        };
        for step in &spec.steps {
            let label = |label: &Option<String>| label.as_ref().map_or(0, String::len);
            let texts = label(&step.required_label)
                + label(&step.preferred_rack)
                + step.image.len()
                + step.depends_on.len() * 2;
            footprint.job += STEP_BYTES + text(texts);
            footprint.occurrence += STAGE_BYTES
                + text(texts + queue.len())
                + u64::from(step.count) * TASK_BYTES;
        }
        footprint
    }

    /// That of a job with so many open occurrences; one is always accounted for.
    pub(crate) const fn with(self, open: u64) -> u64 {
        let open = if open == 0 { 1 } else { open };
        self.job
            .saturating_add(self.occurrence.saturating_mul(open))
    }
}

/// On whose account a job is.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum Holder {
    /// The team that has submitted it.
    Team(id::Team),
    /// The queue of a job without an owner.
    Queue(String),
}

impl Holder {
    /// The holder of a job.
    pub(crate) fn of(state: &State, id: &Id, job: &Job) -> Self {
        match state.owners().of(id) {
            Some(owner) => Self::Team(owner.team.clone()),
            None => Self::Queue(job.queue.clone()),
        }
    }
}

/// Who holds how much, in bytes.
#[derive(Debug, Default, Clone)]
pub(crate) struct Account {
    total: u64,
    by_holder: IndexMap<Holder, u64>,
}

impl Account {
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    pub(crate) fn add(&mut self, holder: &Holder, bytes: u64) {
        self.total = self.total.saturating_add(bytes);
        let held = self.by_holder.entry(holder.clone()).or_default();
        *held = held.saturating_add(bytes);
    }

    pub(crate) fn remove(&mut self, holder: &Holder, bytes: u64) {
        self.total = self.total.saturating_sub(bytes);
        if let Some(held) = self.by_holder.get_mut(holder) {
            *held = held.saturating_sub(bytes);
            if *held == 0 {
                self.by_holder.swap_remove(holder);
            }
        }
    }

    /// Whether a holder may take so much more, beside `other` bytes, of a limit. It may have
    /// no more than remains free, so that however many hold as much as they may, there
    /// is some left for the next.
    pub(crate) fn has_room(
        &self,
        holder: &Holder,
        bytes: u64,
        other: u64,
        limit: u64,
    ) -> bool {
        let held = self.by_holder.get(holder).copied().unwrap_or_default();
        let free = limit.saturating_sub(self.total.saturating_add(other));
        held.saturating_add(bytes) <= free
    }
}

/// The memory that so many jobs take that are over, in bytes.
pub(crate) const fn finished(jobs: usize) -> u64 {
    (jobs as u64).saturating_mul(FINISHED_BYTES)
}
