//! The queue, and the decisions upon it.

use derive_more::Display;
use indexmap::IndexMap;

use crate::id;
use crate::note::{Quota, Settings};
use crate::place::{Job, Kind, Ledger, Worker};
use crate::unit::{Size, Span, Time};

/// What a planner is given at first.
#[derive(Debug, Clone, Default)]
pub struct Setup {
    /// The seed of its random choices.
    pub seed: u64,
}

/// What the planner wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Start a job: the task of rank `i` on the `i`th worker.
    ///
    /// The planner holds the room until it hears [`Planner::started`] or
    /// [`Planner::refused`].
    Start {
        /// The job.
        job: id::Job,
        /// A worker for each task.
        workers: Vec<id::Worker>,
    },
    /// Have a running job write a checkpoint and stop, to make room.
    ///
    /// The planner hears of its end by [`Planner::released`], and gets it back
    /// by [`Planner::admit`].
    Preempt {
        /// The job.
        job: id::Job,
    },
}

/// How a task's end looks to placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// By itself, after running this long.
    Done(Span),
    /// With a failure, after running this long.
    Failed(Span),
    /// By an order, or with its worker: says nothing about either.
    Stopped,
}

/// Why a job can never start.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("no worker of {known} can hold {size}; the nearest is {nearest}, {lack}")]
pub struct Misfit {
    /// How many workers were looked at.
    pub known: usize,
    /// What one task needs.
    pub size: Size,
    /// The worker that comes closest.
    pub nearest: id::Worker,
    /// What it lacks.
    pub lack: String,
}

/// The queue, the workers as placement sees them, and what was learned.
#[derive(Debug, Clone)]
pub struct Planner {
    ledger: Ledger,
    waiting: IndexMap<id::Job, Job>,
    held: IndexMap<id::Job, (Job, Vec<Option<id::Worker>>)>,
}

impl Planner {
    /// A planner that knows of nothing yet.
    #[must_use]
    pub fn new(_setup: &Setup) -> Self {
        Self {
            ledger: Ledger::default(),
            waiting: IndexMap::new(),
            held: IndexMap::new(),
        }
    }

    /// Takes over the settings and quotas in force.
    pub fn configure<'a>(
        &mut self,
        _settings: &Settings,
        _teams: impl Iterator<Item = (&'a id::Team, &'a Quota)>,
    ) {
    }

    /// Takes in a worker, or what has changed of it.
    pub fn put_worker(&mut self, name: &id::Worker, worker: &Worker) {
        self.ledger.put(name, worker.clone());
    }

    /// Takes a worker out of use; what it still holds is released one by one.
    pub fn drop_worker(&mut self, name: &id::Worker) {
        self.ledger.drain(name, true);
    }

    /// Takes a job into the queue.
    ///
    /// # Errors
    ///
    /// [`Misfit`] if no worker that the planner knows, however empty, could
    /// hold one of its tasks; it isn't taken in.
    pub fn admit(&mut self, job: Job) -> Result<(), Misfit> {
        if let Some(misfit) = self.misfit(&job.size) {
            return Err(misfit);
        }
        self.waiting.insert(job.job, job);
        Ok(())
    }

    /// Takes a job out of the queue; false if it doesn't wait there.
    pub fn withdraw(&mut self, job: id::Job) -> bool {
        self.waiting.shift_remove(&job).is_some()
    }

    /// Takes in a job that already holds workers, when a leader begins.
    pub fn resume(&mut self, job: Job, workers: Vec<Option<id::Worker>>) {
        for name in workers.iter().flatten() {
            self.ledger.assume(name, &job.size);
        }
        self.held.insert(job.job, (job, workers));
    }

    /// The log has taken up a decision to start.
    pub fn started(&mut self, _job: id::Job, _now: Time) {}

    /// A decision to start didn't hold: the job waits again.
    pub fn refused(&mut self, job: id::Job) {
        let Some((job, workers)) = self.held.swap_remove(&job) else {
            return;
        };
        for name in workers.iter().flatten() {
            self.ledger.release(name, &job.size);
        }
        self.waiting.insert(job.job, job);
    }

    /// A task is known to be gone from its worker.
    pub fn released(&mut self, task: id::Task, _ended: Ended, _now: Time) {
        let Some((job, workers)) = self.held.get_mut(&task.job) else {
            return;
        };
        let slot = workers.get_mut(task.rank as usize);
        if let Some(name) = slot.and_then(Option::take) {
            self.ledger.release(&name, &job.size);
        }
        if workers.iter().all(Option::is_none) {
            self.held.swap_remove(&task.job);
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
            let held = workers.iter().cloned().map(Some).collect();
            self.held.insert(id, (job, held));
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
    fn misfit(&self, size: &Size) -> Option<Misfit> {
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
        let known = self.ledger.iter().count();
        let lack = "which is smaller".to_owned();
        Some(Misfit {
            known,
            size: *size,
            nearest: nearest.clone(),
            lack,
        })
    }

    /// How many jobs wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Why a job waits, in one sentence; `None` if it doesn't wait here.
    #[must_use]
    pub fn explain(&self, job: id::Job, now: Time) -> Option<String> {
        let job = self.waiting.get(&job)?;
        let waited = now.since(job.since);
        let (count, size) = (job.count, job.size);
        Some(format!(
            "waits since {waited} for room for {count} times {size}"
        ))
    }
}
