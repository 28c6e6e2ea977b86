//! A cell's workers and jobs as placement is told of them, with a recount of
//! what every worker holds that shares nothing with the planner.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(
    clippy::expect_used,
    clippy::panic,
    reason = "a failed check ends the test"
)]

use gentianlane::id;
use gentianlane::note::Settings;
use gentianlane::place::{Decision, Exit, Job, Kind, Planner, Setup, Worker};
use gentianlane::unit::{Size, Span, Time};
use indexmap::IndexMap;

/// Where a job is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Stage {
    Waits,
    Decided(Vec<Option<id::Worker>>),
    Runs(Vec<Option<id::Worker>>),
}

/// A planner beside its oracle.
pub(crate) struct Cell {
    pub(crate) planner: Planner,
    pub(crate) now: Time,
    pub(crate) workers: IndexMap<id::Worker, Worker>,
    pub(crate) jobs: IndexMap<id::Job, (Job, Stage)>,
    pub(crate) stopping: Vec<id::Job>,
    pub(crate) refused: Vec<id::Job>,
    pub(crate) next: u64,
}

/// Settings that weigh packing so much.
#[allow(clippy::needless_update, reason = "other settings may come")]
pub(crate) fn settings(packing: u8) -> Settings {
    Settings {
        packing,
        ..Settings::default()
    }
}

pub(crate) const GIB: u64 = 1 << 30;

/// A batch job of one task that comes now.
pub(crate) fn batch(team: &str, workload: &str, size: Size) -> Job {
    Job {
        id: id::Job(0),
        team: team.into(),
        workload: workload.into(),
        kind: Kind::Batch,
        size,
        count: 1,
        urgent: false,
        idempotent: true,
        queued_at: Time::default(),
        deadline: None,
        expected: Some(Span::from_secs(10)),
    }
}

pub(crate) fn gang(workload: &str, size: Size, count: u32) -> Job {
    Job {
        kind: Kind::Gang,
        count,
        ..batch("imaging", workload, size)
    }
}

pub(crate) fn service(workload: &str, size: Size) -> Job {
    Job {
        kind: Kind::Service,
        expected: None,
        ..batch("listeners", workload, size)
    }
}

pub(crate) fn urgent(size: Size) -> Job {
    Job {
        urgent: true,
        ..batch("alarms", "alarm", size)
    }
}

impl Cell {
    pub(crate) fn new() -> Self {
        Self {
            planner: Planner::new(&Setup::default()),
            now: Time::default(),
            workers: IndexMap::new(),
            jobs: IndexMap::new(),
            stopping: Vec::new(),
            refused: Vec::new(),
            next: 1,
        }
    }

    /// A cell of equal workers, four to a rack, over three domains.
    pub(crate) fn of(count: usize, size: Size) -> Self {
        let mut cell = Self::new();
        for at in 0..count {
            cell.worker(at, size);
        }
        cell
    }

    pub(crate) fn worker(&mut self, at: usize, size: Size) {
        let rack = at / 4;
        let place = (
            "r".into(),
            id::Domain(format!("d{}", rack % 3)),
            id::Rack(format!("k{rack}")),
        );
        let name = name(at);
        let worker = Worker::new(id::Incarnation(1), place, size);
        self.planner.put_worker(&name, &worker);
        self.workers.insert(name, worker);
    }

    pub(crate) fn drain(&mut self, at: usize, on: bool) {
        let name = name(at);
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.draining = on;
            self.planner.put_worker(&name, worker);
        }
    }

    /// Loses a worker with all that runs there, whole jobs at a time.
    pub(crate) fn lose(&mut self, at: usize) {
        let name = name(at);
        if self.workers.swap_remove(&name).is_none() {
            return;
        }
        let holds = |stage: &Stage| match stage {
            Stage::Waits => false,
            Stage::Decided(at) | Stage::Runs(at) => at.contains(&Some(name.clone())),
        };
        let hit = self.jobs.iter().filter(|(_, (_, stage))| holds(stage));
        let hit: Vec<id::Job> = hit.map(|(id, _)| *id).collect();
        for id in hit {
            if matches!(self.jobs[&id].1, Stage::Decided(_)) {
                self.refuse(id);
            } else {
                self.finish(id, Exit::Stopped, true);
            }
        }
        self.planner.remove_worker(&name);
    }

    /// Takes in a job; gives its number, or none if it fits nowhere.
    pub(crate) fn admit(&mut self, job: Job) -> Option<id::Job> {
        let id = id::Job(self.next);
        self.next += 1;
        let queued_at = self.now;
        let job = Job {
            id,
            queued_at,
            ..job
        };
        self.planner.admit(job.clone()).ok()?;
        self.jobs.insert(id, (job, Stage::Waits));
        Some(id)
    }

    pub(crate) fn cancel(&mut self, id: id::Job) {
        if matches!(self.jobs.get(&id), Some((_, Stage::Waits))) {
            assert!(
                self.planner.withdraw(id),
                "{id} waits but isn't in the queue"
            );
            self.jobs.swap_remove(&id);
        }
    }

    /// One round, checked against the recount; decided starts aren't yet taken
    /// up.
    pub(crate) fn decide(&mut self, limit: usize) -> Vec<Decision> {
        let decisions = self.planner.plan(self.now, limit);
        for decision in &decisions {
            match decision {
                Decision::Start { job, workers } => self.check_start(*job, workers),
                Decision::Preempt { job } => {
                    let (view, stage) = &self.jobs[job];
                    assert!(view.idempotent, "{job} may run once and was preempted");
                    assert!(!view.urgent, "{job} is urgent and was preempted");
                    assert_ne!(*stage, Stage::Waits, "{job} waits and was preempted");
                    self.stopping.push(*job);
                }
                Decision::Evict { job } => self.stopping.push(*job),
                Decision::Refuse { job, .. } => {
                    self.jobs.swap_remove(job);
                    self.refused.push(*job);
                }
            }
        }
        self.check();
        decisions
    }

    fn check_start(&mut self, id: id::Job, workers: &[id::Worker]) {
        let (job, stage) = &self.jobs[&id];
        assert_eq!(*stage, Stage::Waits, "{id} is started in two places");
        assert_eq!(workers.len(), job.count as usize, "{id} is started in part");
        for name in workers {
            assert!(!self.workers[name].draining, "{name} is draining");
        }
        let workers = workers.iter().cloned().map(Some).collect();
        self.jobs[&id].1 = Stage::Decided(workers);
        let held = self.recount();
        for (name, size) in held {
            let Some(worker) = self.workers.get(&name) else {
                panic!("{name} is gone and holds {size}");
            };
            let here = self.jobs[&id].1.holds(&name);
            assert!(!here || size.fits(&worker.size), "{name} holds {size}");
        }
    }

    /// What every worker holds, counted from the jobs.
    pub(crate) fn recount(&self) -> IndexMap<id::Worker, Size> {
        let mut held: IndexMap<id::Worker, Size> = IndexMap::new();
        for (job, stage) in self.jobs.values() {
            for name in stage.workers() {
                *held.entry(name.clone()).or_default() += job.size;
            }
        }
        held
    }

    /// The planner's ledger says what the recount says.
    pub(crate) fn check(&self) {
        let held = self.recount();
        for name in self.workers.keys() {
            let counted = held.get(name).copied().unwrap_or_default();
            let worker = self.planner.ledger().get(name).expect("a worker");
            assert_eq!(worker.reserved(), counted, "reserved on {name}");
        }
        let waits = self.jobs.values().filter(|(_, it)| *it == Stage::Waits);
        assert_eq!(self.planner.waiting_jobs(), waits.count(), "jobs that wait");
    }

    /// The log takes up a decided start.
    pub(crate) fn commit(&mut self, id: id::Job) {
        let stage = &mut self.jobs[&id].1;
        if let Stage::Decided(workers) = stage {
            *stage = Stage::Runs(std::mem::take(workers));
            self.planner.confirm_start(id, self.now);
        }
    }

    /// The log doesn't take up a decided start.
    pub(crate) fn refuse(&mut self, id: id::Job) {
        let stage = &mut self.jobs[&id].1;
        if matches!(stage, Stage::Decided(_)) {
            *stage = Stage::Waits;
            self.planner.revert_start(id);
        }
    }

    /// All tasks of a job end; it may come back.
    pub(crate) fn finish(&mut self, id: id::Job, ended: Exit, again: bool) {
        if !self.runs(id) {
            return;
        }
        let Some((job, Stage::Runs(workers))) = self.jobs.swap_remove(&id) else {
            return;
        };
        self.stopping.retain(|stopping| *stopping != id);
        for (rank, _) in (0..).zip(&workers) {
            let task = id::Task { job: id, rank };
            self.planner.release(task, ended, self.now);
        }
        if again {
            let queued_at = self.now;
            let job = Job { queued_at, ..job };
            if self.planner.admit(job.clone()).is_ok() {
                self.jobs.insert(id, (job, Stage::Waits));
            }
        }
    }

    /// A round in which the log takes up every start and stops what is to stop.
    pub(crate) fn step(&mut self, limit: usize) -> Vec<Decision> {
        let decisions = self.decide(limit);
        for decision in &decisions {
            if let Decision::Start { job, .. } = decision {
                self.commit(*job);
            }
        }
        for id in self.stopping.clone() {
            self.finish(id, Exit::Stopped, true);
        }
        decisions
    }

    pub(crate) fn pass(&mut self, span: Span) {
        self.now = self.now.after(span);
    }

    pub(crate) fn runs(&self, id: id::Job) -> bool {
        matches!(self.jobs.get(&id), Some((_, Stage::Runs(_))))
    }

    pub(crate) fn places(&self, id: id::Job) -> Vec<id::Worker> {
        let workers = self.jobs[&id].1.workers();
        workers.cloned().collect()
    }
}

impl Stage {
    pub(crate) fn workers(&self) -> impl Iterator<Item = &id::Worker> {
        match self {
            Self::Waits => [].iter().flatten(),
            Self::Decided(workers) | Self::Runs(workers) => workers.iter().flatten(),
        }
    }

    fn holds(&self, name: &id::Worker) -> bool {
        self.workers().any(|worker| worker == name)
    }
}

pub(crate) fn name(at: usize) -> id::Worker {
    id::Worker(format!("w{at}"))
}
