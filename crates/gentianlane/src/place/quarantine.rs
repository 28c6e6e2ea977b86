//! Bad workers against bad tasks.
//!
//! A failure counts against a worker only if the workload has done well at least
//! as often as there are other workers on which it fails.
//! A worker on which several workloads failed that do well elsewhere is put
//! into quarantine and probed with one task at a time, after pauses that
//! double. How much of the cell may be in quarantine is capped, so that a bad
//! release, which makes workloads fail everywhere, can't empty the cell.

use indexmap::{IndexMap, IndexSet};

use crate::id;
use crate::unit::{Span, Time};

/// How many workloads have to fail on a worker that do well elsewhere.
const MIN_WORKLOADS: usize = 3;

/// How many failures in a row of one workload that does well elsewhere count
/// as much as several workloads.
const MIN_FAILURES: u32 = 6;

/// How many workers in a hundred may be in quarantine; one always may.
const MAX_QUARANTINED_PERCENT: usize = 10;

/// The pause before the first probe.
const MIN_PROBE_DELAY: Span = Span::from_secs(60);

/// The longest pause between probes.
const MAX_PROBE_DELAY: Span = Span::from_secs(3_600);

/// At how many outcomes the older half of a workload's weight is dropped.
const MAX_OUTCOMES: u32 = 64;

/// What part of a workload's good record is lost with each worker on which it
/// begins to fail, so that a record from before a bad release doesn't last.
const SUCCESS_DECAY: u32 = 8;

/// How many failing workers are remembered for a workload.
const MAX_FAILING_WORKERS: usize = 64;

/// How many workloads are remembered.
const MAX_WORKLOADS: usize = 1_024;

/// Outcomes of workloads and workers.
#[derive(Debug, Default, Clone)]
pub(crate) struct Quarantine {
    workloads: IndexMap<id::Workload, History>,
    workers: IndexMap<id::Worker, Failures>,
    entries: IndexMap<id::Worker, Entry>,
}

#[derive(Debug, Default, Clone)]
struct History {
    successes: u32,
    failures: u32,
    /// The workers on which it failed and hasn't done well since.
    failing_workers: IndexSet<id::Worker>,
}

/// What failed on a worker since it last did anything well.
type Failures = IndexMap<id::Workload, u32>;

#[derive(Debug, Clone, Copy)]
struct Entry {
    probe_delay: Span,
    next_probe: Time,
    probe: Option<id::Job>,
}

/// What an outcome says of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Transition {
    /// Nothing new.
    Stay,
    /// It goes into quarantine.
    Enter,
    /// It comes out of quarantine.
    Leave,
}

impl Quarantine {
    /// Takes in that a task ended well on a worker.
    pub(crate) fn record_success(
        &mut self,
        worker: &id::Worker,
        workload: &id::Workload,
    ) -> Transition {
        let history = self.history(workload);
        history.successes += 1;
        history.failing_workers.swap_remove(worker);
        self.workers.swap_remove(worker);
        match self.entries.swap_remove(worker) {
            Some(_) => Transition::Leave,
            None => Transition::Stay,
        }
    }

    /// Takes in that a task failed on a worker, in a cell of `known` workers.
    pub(crate) fn record_failure(
        &mut self,
        worker: &id::Worker,
        workload: &id::Workload,
        known: usize,
        now: Time,
    ) -> Transition {
        let history = self.history(workload);
        history.failures += 1;
        if history.failing_workers.len() < MAX_FAILING_WORKERS
            && history.failing_workers.insert(worker.clone())
        {
            history.successes -=
                (history.successes / SUCCESS_DECAY + 1).min(history.successes);
        }
        let failures_here = self.workers.entry(worker.clone()).or_default();
        *failures_here.entry(workload.clone()).or_default() += 1;
        if let Some(entry) = self.entries.get_mut(worker) {
            let probe_delay = entry.probe_delay.times(2).min(MAX_PROBE_DELAY);
            let next_probe = now.after(probe_delay);
            *entry = Entry {
                probe_delay,
                next_probe,
                probe: None,
            };
            return Transition::Stay;
        }
        let cap = (known * MAX_QUARANTINED_PERCENT / 100).max(1);
        if !self.is_unhealthy(worker) || self.entries.len() >= cap {
            return Transition::Stay;
        }
        let entry = Entry {
            probe_delay: MIN_PROBE_DELAY,
            next_probe: now.after(MIN_PROBE_DELAY),
            probe: None,
        };
        self.entries.insert(worker.clone(), entry);
        Transition::Enter
    }

    /// Whether several workloads failed here that do well elsewhere.
    fn is_unhealthy(&self, worker: &id::Worker) -> bool {
        let Some(failures_here) = self.workers.get(worker) else {
            return false;
        };
        let (mut distinct, mut failures) = (0, 0);
        for (workload, here) in failures_here {
            let Some(history) = self.workloads.get(workload) else {
                continue;
            };
            let elsewhere = history
                .failing_workers
                .iter()
                .filter(|it| *it != worker)
                .count();
            if (history.successes as usize) < elsewhere {
                continue;
            }
            distinct += 1;
            failures += match history.successes {
                0 => 0,
                _ => *here,
            };
        }
        distinct >= MIN_WORKLOADS || failures >= MIN_FAILURES
    }

    /// A worker in quarantine that may be tried with one task now.
    pub(crate) fn due_for_probe(&self, now: Time) -> Option<&id::Worker> {
        let due = |entry: &Entry| entry.probe.is_none() && now >= entry.next_probe;
        let mut workers = self.entries.iter();
        workers.find(|(_, it)| due(it)).map(|(worker, _)| worker)
    }

    /// Says that a job tries a worker in quarantine.
    pub(crate) fn start_probe(&mut self, worker: &id::Worker, job: id::Job) {
        if let Some(entry) = self.entries.get_mut(worker) {
            entry.probe = Some(job);
        }
    }

    /// A job ended and said nothing: if it was a probe, another may follow.
    pub(crate) fn end_probe(&mut self, worker: &id::Worker, job: id::Job, now: Time) {
        if let Some(entry) = self.entries.get_mut(worker)
            && entry.probe == Some(job)
        {
            entry.probe = None;
            entry.next_probe = now.after(entry.probe_delay);
        }
    }

    /// Forgets a worker.
    pub(crate) fn remove(&mut self, worker: &id::Worker) {
        self.workers.swap_remove(worker);
        self.entries.swap_remove(worker);
    }

    /// The workers in quarantine.
    pub(crate) fn workers(&self) -> impl Iterator<Item = &id::Worker> {
        self.entries.keys()
    }

    fn history(&mut self, workload: &id::Workload) -> &mut History {
        if self.workloads.len() >= MAX_WORKLOADS && !self.workloads.contains_key(workload)
        {
            self.workloads.shift_remove_index(0);
        }
        let history = self.workloads.entry(workload.clone()).or_default();
        if history.successes + history.failures >= MAX_OUTCOMES {
            history.successes /= 2;
            history.failures /= 2;
        }
        history
    }
}
