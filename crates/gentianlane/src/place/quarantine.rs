//! Quarantine of faulty workers, as opposed to faulty workloads.
//!
//! A failure counts against a worker only if its workload has succeeded at
//! least as often as there are other workers on which it is failing. A worker
//! on which several such workloads fail is quarantined and probed with one task
//! at a time, with a delay that doubles after each failed probe. The
//! quarantined part of the cell is capped, so that a bad release, which makes
//! workloads fail everywhere, can't empty the cell.

use indexmap::{IndexMap, IndexSet};

use crate::id;
use crate::unit::{Span, Time};

/// The number of workloads healthy elsewhere whose failures quarantine a
/// worker.
const MIN_WORKLOADS: usize = 3;

/// The number of failures that quarantine a worker if it has had no success
/// between them, however few the workloads. Only workloads that are healthy
/// elsewhere and have ever succeeded count.
const MIN_FAILURES: u32 = 6;

/// The most workers in quarantine, in percent; one always may be.
const MAX_QUARANTINED_PERCENT: usize = 10;

/// The delay before the first probe.
const MIN_PROBE_DELAY: Span = Span::from_secs(60);

/// The longest delay between probes.
const MAX_PROBE_DELAY: Span = Span::from_secs(3_600);

/// The number of outcomes at which a workload's counts are halved, so that
/// older outcomes weigh less.
const MAX_OUTCOMES: u32 = 64;

/// The divisor for the part of its successes that a workload loses with each
/// worker on which it begins to fail, so that successes from before a bad
/// release don't last.
const SUCCESS_DECAY: u32 = 8;

/// The most failing workers remembered per workload.
const MAX_FAILING_WORKERS: usize = 64;

/// The most workloads remembered; the one added first is forgotten first.
const MAX_WORKLOADS: usize = 1_024;

/// The quarantined workers, and the outcomes that decide about them.
#[derive(Debug, Default, Clone)]
pub(crate) struct Quarantine {
    workloads: IndexMap<id::Workload, History>,
    /// The workers that have failed tasks since their last success.
    workers: IndexMap<id::Worker, Failures>,
    /// The quarantined workers.
    entries: IndexMap<id::Worker, Entry>,
}

/// The outcomes of one workload.
#[derive(Debug, Default, Clone)]
struct History {
    successes: u32,
    failures: u32,
    /// The workers on which it failed and hasn't succeeded since.
    failing_workers: IndexSet<id::Worker>,
}

/// The number of failures on a worker since its last success, by workload.
type Failures = IndexMap<id::Workload, u32>;

/// The probing of one quarantined worker.
#[derive(Debug, Clone, Copy)]
struct Entry {
    probe_delay: Span,
    next_probe: Time,
    /// The job that probes the worker now.
    probe: Option<id::Job>,
}

/// The effect of an outcome on a worker's quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Transition {
    /// The worker stays in or out of quarantine.
    Stay,
    /// The worker enters quarantine.
    Enter,
    /// The worker leaves quarantine.
    Leave,
}

impl Quarantine {
    /// Records a success, which takes the worker out of quarantine.
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

    /// Records a failure, in a cell of `known` workers. It quarantines the
    /// worker if that is unhealthy now, or delays its next probe if it is
    /// quarantined.
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
            let probe_delay = entry.probe_delay.saturating_mul(2).min(MAX_PROBE_DELAY);
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

    /// Whether the failures since the worker's last success are its own fault:
    /// they are of [`MIN_WORKLOADS`] workloads that are healthy elsewhere, or
    /// there are [`MIN_FAILURES`] of such workloads that have ever succeeded.
    fn is_unhealthy(&self, worker: &id::Worker) -> bool {
        let Some(failures_here) = self.workers.get(worker) else {
            return false;
        };
        let (mut workloads, mut failures) = (0, 0);
        for (workload, here) in failures_here {
            let Some(history) = self.workloads.get(workload) else {
                continue;
            };
            let failing_elsewhere = history
                .failing_workers
                .iter()
                .filter(|it| *it != worker)
                .count();
            if (history.successes as usize) < failing_elsewhere {
                continue;
            }
            workloads += 1;
            failures += match history.successes {
                0 => 0,
                _ => *here,
            };
        }
        workloads >= MIN_WORKLOADS || failures >= MIN_FAILURES
    }

    /// A quarantined worker whose next probe is due and that isn't being
    /// probed.
    pub(crate) fn due_for_probe(&self, now: Time) -> Option<&id::Worker> {
        let due = |entry: &Entry| entry.probe.is_none() && now >= entry.next_probe;
        let mut workers = self.entries.iter();
        workers.find(|(_, it)| due(it)).map(|(worker, _)| worker)
    }

    /// Records that a job probes a quarantined worker.
    pub(crate) fn start_probe(&mut self, worker: &id::Worker, job: id::Job) {
        if let Some(entry) = self.entries.get_mut(worker) {
            entry.probe = Some(job);
        }
    }

    /// Ends a probe without an outcome, if the job was one. The next follows
    /// after the same delay.
    pub(crate) fn end_probe(&mut self, worker: &id::Worker, job: id::Job, now: Time) {
        if let Some(entry) = self.entries.get_mut(worker)
            && entry.probe == Some(job)
        {
            entry.probe = None;
            entry.next_probe = now.after(entry.probe_delay);
        }
    }

    /// Forgets a worker and its failures; workloads keep theirs.
    pub(crate) fn remove(&mut self, worker: &id::Worker) {
        self.workers.swap_remove(worker);
        self.entries.swap_remove(worker);
    }

    /// The workers in quarantine.
    pub(crate) fn workers(&self) -> impl Iterator<Item = &id::Worker> {
        self.entries.keys()
    }

    /// A workload's history, which is added if there is none.
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
