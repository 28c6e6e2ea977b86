//! The jobs that are not over yet, and how many of each queue wait for their
//! first task to start.

use crate::collections::IndexMap;

use crate::fleet::job::Id;
use crate::unit::{Span, Time};

/// The open jobs, with the waiting ones counted by queue.
#[derive(Debug, Default, Clone)]
pub(crate) struct OpenJobs {
    jobs: IndexMap<Id, Job>,
    /// The number of jobs without a started task, by queue.
    waiting: IndexMap<String, u64>,
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
}

impl OpenJobs {
    /// Adds a job, unless it is there already.
    pub(crate) fn add(&mut self, id: Id, queue: &str, queued_at: Time, prior_wait: Span) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let job = Job {
            queue: queue.to_owned(),
            queued_at,
            prior_wait,
            started: false,
        };
        self.jobs.insert(id, job);
        *self.waiting.entry(queue.to_owned()).or_default() += 1;
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
        if let Some(job) = self.jobs.swap_remove(id)
            && !job.started
        {
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
