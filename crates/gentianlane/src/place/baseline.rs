//! First fit in order of arrival, to measure the planner against.
//!
//! It tries every waiting job against every worker, oldest job first, and lets
//! later jobs pass those that don't fit.

use indexmap::IndexMap;

use crate::id;
use crate::place::{Decision, Exit, Infeasible, Job, Kind, Ledger, Worker};
use crate::unit::{Size, Time};

/// A queue in order of arrival, and the workers.
#[derive(Debug, Default, Clone)]
pub struct Baseline {
    ledger: Ledger,
    waiting: IndexMap<id::Job, Job>,
    assignments: IndexMap<id::Job, (Job, Vec<Option<id::Worker>>)>,
}

impl Baseline {
    /// Takes in a worker, or what has changed of it.
    pub fn put_worker(&mut self, name: &id::Worker, worker: &Worker) {
        self.ledger.put(name, worker.clone());
    }

    /// Takes a worker out of use; what it still holds is released one by one.
    pub fn remove_worker(&mut self, name: &id::Worker) {
        self.ledger.set_draining(name, true);
    }

    /// Takes a job into the queue.
    ///
    /// # Errors
    ///
    /// [`Infeasible`] if no worker that the planner knows, however empty, could
    /// hold one of its tasks; it isn't taken in.
    pub fn admit(&mut self, job: Job) -> Result<(), Infeasible> {
        if let Some(reason) = self.infeasibility(&job.size) {
            return Err(reason);
        }
        self.waiting.insert(job.id, job);
        Ok(())
    }

    /// Takes a job out of the queue; false if it doesn't wait there.
    pub fn withdraw(&mut self, job: id::Job) -> bool {
        self.waiting.shift_remove(&job).is_some()
    }

    /// Takes in a job that already holds workers, when a leader begins.
    pub fn restore(&mut self, job: Job, workers: &[Option<id::Worker>]) {
        for name in workers.iter().flatten() {
            self.ledger.force_reserve(name, &job.size);
        }
        self.assignments.insert(job.id, (job, workers.to_vec()));
    }

    /// The log has taken up a decision to start.
    pub fn confirm_start(&mut self, _job: id::Job, _now: Time) {}

    /// A decision to start didn't hold: the job waits again.
    pub fn revert_start(&mut self, job: id::Job) {
        let Some((job, workers)) = self.assignments.swap_remove(&job) else {
            return;
        };
        for name in workers.iter().flatten() {
            self.ledger.release(name, &job.size);
        }
        self.waiting.insert(job.id, job);
    }

    /// A task is known to be gone from its worker.
    pub fn release(&mut self, task: id::Task, _exit: Exit, _now: Time) {
        let Some((job, workers)) = self.assignments.get_mut(&task.job) else {
            return;
        };
        let assigned = workers.get_mut(task.rank as usize);
        if let Some(name) = assigned.and_then(Option::take) {
            self.ledger.release(&name, &job.size);
        }
        if workers.iter().all(Option::is_none) {
            self.assignments.swap_remove(&task.job);
        }
    }

    /// Decides what can start now, at most `limit` decisions.
    pub fn plan(&mut self, _now: Time, limit: usize) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let jobs: Vec<id::Job> = self.waiting.keys().copied().collect();
        for id in jobs {
            if decisions.len() >= limit {
                break;
            }
            let Some(workers) = self.waiting.get(&id).and_then(|job| self.fit(job))
            else {
                continue;
            };
            let Some(job) = self.waiting.shift_remove(&id) else {
                continue;
            };
            if self.ledger.reserve(&workers, &job.size).is_err() {
                self.waiting.insert(id, job);
                continue;
            }
            let assigned = workers.iter().cloned().map(Some).collect();
            self.assignments.insert(id, (job, assigned));
            decisions.push(Decision::Start { job: id, workers });
        }
        decisions
    }

    /// The first workers with room for all tasks of a job.
    fn fit(&self, job: &Job) -> Option<Vec<id::Worker>> {
        let mut workers = Vec::new();
        for (name, worker) in self.ledger.iter().filter(|(_, worker)| !worker.draining) {
            let mut free = worker.free();
            while workers.len() < job.count as usize {
                let Some(rest) = free.less(&job.size) else {
                    break;
                };
                free = rest;
                workers.push(name.clone());
                if job.kind == Kind::Service {
                    break;
                }
            }
        }
        (workers.len() == job.count as usize).then_some(workers)
    }

    /// Why no worker could ever hold a task of this size.
    fn infeasibility(&self, size: &Size) -> Option<Infeasible> {
        let (nearest, _) = self.ledger.iter().max_by_key(|(_, worker)| {
            let Size {
                cpu,
                memory,
                accelerators,
            } = worker.size;
            (
                accelerators >= size.accelerators,
                memory >= size.memory,
                cpu >= size.cpu,
            )
        })?;
        if self
            .ledger
            .iter()
            .any(|(_, worker)| size.fits(&worker.size))
        {
            return None;
        }
        let workers = self.ledger.iter().count();
        let shortfall = "which is smaller".to_owned();
        Some(Infeasible {
            workers,
            size: *size,
            nearest: nearest.clone(),
            shortfall,
        })
    }

    /// How many jobs wait.
    #[must_use]
    pub fn waiting_jobs(&self) -> usize {
        self.waiting.len()
    }
}
