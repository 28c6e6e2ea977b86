//! The jobs that are not over yet, and how many of each queue wait for their
//! first task to start.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::collections::IndexMap;

use crate::fleet::State;
use crate::fleet::dispatch::footprint::{Account, Footprint, Holder};
use crate::fleet::job::{Id, Spec};
use crate::unit::{Span, Time};

/// The open jobs, with the waiting ones counted by queue.
#[derive(Debug, Default, Clone)]
pub(crate) struct OpenJobs {
    jobs: IndexMap<Id, Job>,
    /// The number of jobs without a started task, by queue.
    waiting: IndexMap<String, u64>,
    /// The memory that these jobs take, and those that are proposed.
    account: Account,
    /// The admitted jobs that aren't in the log yet, each with what it takes.
    proposed: IndexMap<Id, (Holder, u64)>,
}

/// A job as it was submitted.
pub(crate) struct Submission<'a> {
    pub(crate) queue: &'a str,
    pub(crate) spec: &'a Spec,
    /// On whose account it is.
    pub(crate) holder: Holder,
}

impl<'a> Submission<'a> {
    /// The submission of a job in the state.
    pub(crate) fn of(state: &State, id: &Id, job: &'a crate::fleet::Job) -> Self {
        Self {
            queue: &job.queue,
            spec: &job.spec,
            holder: Holder::of(state, id, job),
        }
    }
}

/// An open job.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    queue: String,
    /// When this leader learned of the job.
    pub(crate) queued_at: Time,
    /// How long the job's caller had waited by then.
    pub(crate) prior_wait: Span,
    started: bool,
    /// The text that is passed to its tasks, shared by all its open steps.
    pub(crate) payload: Arc<str>,
    holder: Holder,
    footprint: Footprint,
    /// The occurrences that this leader has opened and that aren't complete.
    open: BTreeSet<u32>,
}

impl Job {
    /// The memory that it takes, in bytes.
    fn bytes(&self) -> u64 {
        self.footprint.with(self.open.len() as u64)
    }
}

impl OpenJobs {
    /// Adds a job, unless it is there already.
    pub(crate) fn add(
        &mut self,
        id: Id,
        submission: Submission<'_>,
        queued_at: Time,
        prior_wait: Span,
    ) {
        if self.jobs.contains_key(&id) {
            return;
        }
        self.withdraw(&id);
        let Submission {
            queue,
            spec,
            holder,
        } = submission;
        let job = Job {
            queue: queue.to_owned(),
            queued_at,
            prior_wait,
            started: false,
            payload: spec.payload.as_str().into(),
            footprint: Footprint::of(queue, spec),
            holder,
            open: BTreeSet::new(),
        };
        self.account.add(&job.holder, job.bytes());
        self.jobs.insert(id, job);
        *self.waiting.entry(queue.to_owned()).or_default() += 1;
    }

    /// Accounts for a job that is proposed to the log.
    pub(crate) fn propose(&mut self, id: Id, holder: Holder, footprint: Footprint) {
        self.withdraw(&id);
        let bytes = footprint.with(1);
        self.account.add(&holder, bytes);
        self.proposed.insert(id, (holder, bytes));
    }

    /// Takes a proposed job off the account.
    pub(crate) fn withdraw(&mut self, id: &Id) {
        if let Some((holder, bytes)) = self.proposed.swap_remove(id) {
            self.account.remove(&holder, bytes);
        }
    }

    /// The memory that the jobs take, and who holds it.
    pub(crate) fn account(&self) -> &Account {
        &self.account
    }

    /// Opens an occurrence of a job if there is memory for it, beside `other` bytes, within
    /// a limit. A job has one without.
    pub(crate) fn open_occurrence(
        &mut self,
        id: &Id,
        occurrence: u32,
        other: u64,
        limit: u64,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(id) else {
            return false;
        };
        let before = job.bytes();
        let bytes = job.footprint.occurrence;
        let is_first = job.open.is_empty();
        if !is_first && !self.account.has_room(&job.holder, bytes, other, limit) {
            return false;
        }
        job.open.insert(occurrence);
        self.account.add(&job.holder, job.bytes() - before);
        true
    }

    /// Closes an occurrence of a job that is complete.
    pub(crate) fn close_occurrence(&mut self, id: &Id, occurrence: u32) {
        if let Some(job) = self.jobs.get_mut(id) {
            let before = job.bytes();
            job.open.remove(&occurrence);
            self.account.remove(&job.holder, before - job.bytes());
        }
    }

    /// Marks a job as started, if it is open.
    pub(crate) fn mark_started(&mut self, id: &Id) {
        if let Some(job) = self.jobs.get_mut(id)
            && !std::mem::replace(&mut job.started, true)
        {
            take_one(&mut self.waiting, &job.queue);
        }
    }

    /// Removes a job that is over.
    pub(crate) fn remove(&mut self, id: &Id) {
        let Some(job) = self.jobs.swap_remove(id) else {
            return;
        };
        self.account.remove(&job.holder, job.bytes());
        if !job.started {
            take_one(&mut self.waiting, &job.queue);
        }
    }

    /// The open job with this id.
    pub(crate) fn get(&self, id: &Id) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Whether an open job has a started task.
    pub(crate) fn has_started(&self, id: &Id) -> bool {
        self.jobs.get(id).is_some_and(|job| job.started)
    }

    /// The number of a queue's jobs without a started task.
    pub(crate) fn waiting(&self, queue: &str) -> u64 {
        self.waiting.get(queue).copied().unwrap_or_default()
    }

    /// The number of open jobs.
    pub(crate) fn count(&self) -> usize {
        self.jobs.len()
    }

    /// The ids of all open jobs.
    pub(crate) fn ids(&self) -> impl Iterator<Item = &Id> {
        self.jobs.keys()
    }

    /// The queue of each open job.
    pub(crate) fn queues(&self) -> impl Iterator<Item = &str> {
        self.jobs.values().map(|job| job.queue.as_str())
    }
}

/// Lowers a queue's count by one, and forgets the queue at zero.
fn take_one(waiting: &mut IndexMap<String, u64>, queue: &str) {
    let Some(count) = waiting.get_mut(queue) else {
        return;
    };
    *count = count.saturating_sub(1);
    if *count == 0 {
        waiting.swap_remove(queue);
    }
}
