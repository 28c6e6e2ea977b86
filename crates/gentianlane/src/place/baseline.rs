//! A first-fit scheduler that the planner is benchmarked against.
//!
//! It tries every waiting job on every worker, oldest job first. Later jobs may
//! overtake those that don't fit.

use indexmap::IndexMap;

use crate::id;
use crate::place::{Decision, Exit, Infeasible, Job, Kind, Ledger, Worker};
use crate::unit::{Size, Time};

/// A first-in, first-out queue with first-fit placement. Its calls correspond
/// to those of [`Planner`](crate::place::Planner).
#[derive(Debug, Default, Clone)]
pub struct Baseline {
    ledger: Ledger,
    waiting: IndexMap<id::Job, Job>,
    assignments: IndexMap<id::Job, (Job, Vec<Option<id::Worker>>)>,
}

impl Baseline {
    /// Adds or updates a worker.
    pub fn put_worker(&mut self, name: &id::Worker, worker: &Worker) {
        self.ledger.put(name, worker.clone());
    }

    /// Takes a worker out of use. Its tasks stay reserved until each is
    /// released.
    pub fn remove_worker(&mut self, name: &id::Worker) {
        self.ledger.set_draining(name, true);
    }

    /// Adds a job to the queue.
    ///
    /// # Errors
    ///
    /// [`Infeasible`] if no known worker could hold one of its tasks even when
    /// empty; the job isn't queued.
    pub fn admit(&mut self, job: Job) -> Result<(), Infeasible> {
        if let Some(reason) = self.infeasibility(&job.size) {
            return Err(reason);
        }
        self.waiting.insert(job.id, job);
        Ok(())
    }

    /// Removes a job from the queue; false if it isn't queued.
    pub fn withdraw(&mut self, job: id::Job) -> bool {
        self.waiting.shift_remove(&job).is_some()
    }

    /// Adds a job that already holds workers when a new leader takes over.
    pub fn restore(&mut self, job: Job, workers: &[Option<id::Worker>]) {
        for name in workers.iter().flatten() {
            self.ledger.force_reserve(name, &job.size);
        }
        self.assignments.insert(job.id, (job, workers.to_vec()));
    }

    /// Records that the log has applied a start, which changes nothing here.
    pub fn confirm_start(&mut self, _job: id::Job, _now: Time) {}

    /// Reverts a start that the log didn't apply, and queues the job again.
    pub fn revert_start(&mut self, job: id::Job) {
        let Some((job, workers)) = self.assignments.swap_remove(&job) else {
            return;
        };
        for name in workers.iter().flatten() {
            self.ledger.release(name, &job.size);
        }
        self.waiting.insert(job.id, job);
    }

    /// Releases what a task held once it has left its worker for certain.
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

    /// Decides which jobs can start now, at most `limit` of them.
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

    /// The first workers with room for all tasks of a job. A worker takes only
    /// one replica of a service.
    fn fit(&self, job: &Job) -> Option<Vec<id::Worker>> {
        let mut workers = Vec::new();
        for (name, worker) in self.ledger.iter().filter(|(_, worker)| !worker.draining) {
            let mut free = worker.free();
            while workers.len() < job.count as usize {
                let Some(rest) = free.checked_sub(&job.size) else {
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

    /// Why no known worker could hold a task of this size even when empty;
    /// `None` if one could or none is known.
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

    /// The number of jobs that wait.
    #[must_use]
    pub fn waiting_jobs(&self) -> usize {
        self.waiting.len()
    }
}
