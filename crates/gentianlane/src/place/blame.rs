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
const DISTINCT: usize = 3;

/// How many failures in a row of one workload that does well elsewhere count
/// as much as several workloads.
const IN_A_ROW: u32 = 6;

/// How many workers in a hundred may be in quarantine; one always may.
const CAP_PERCENT: usize = 10;

/// The pause before the first probe.
const FIRST_PAUSE: Span = Span::from_secs(60);

/// The longest pause between probes.
const LONGEST_PAUSE: Span = Span::from_secs(3_600);

/// At how many outcomes the older half of a workload's weight is dropped.
const OUTCOMES: u32 = 64;

/// What part of a workload's good record is lost with each worker on which it
/// begins to fail, so that a record from before a bad release doesn't last.
const FADING: u32 = 8;

/// How many failing workers are remembered for a workload.
const FAILING: usize = 64;

/// How many workloads are remembered.
const WORKLOADS: usize = 1_024;

/// Outcomes of workloads and workers.
#[derive(Debug, Default, Clone)]
pub(crate) struct Blame {
    workloads: IndexMap<id::Workload, Rate>,
    workers: IndexMap<id::Worker, Row>,
    quarantine: IndexMap<id::Worker, Probation>,
}

#[derive(Debug, Default, Clone)]
struct Rate {
    done: u32,
    failed: u32,
    /// The workers on which it failed and hasn't done well since.
    failing: IndexSet<id::Worker>,
}

/// What failed on a worker since it last did anything well.
type Row = IndexMap<id::Workload, u32>;

#[derive(Debug, Clone, Copy)]
struct Probation {
    pause: Span,
    next: Time,
    probe: Option<id::Job>,
}

/// What an outcome says of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ruling {
    /// Nothing new.
    Same,
    /// It goes into quarantine.
    Bar,
    /// It comes out of quarantine.
    Clear,
}

impl Blame {
    /// Takes in that a task ended well on a worker.
    pub(crate) fn done(
        &mut self,
        worker: &id::Worker,
        workload: &id::Workload,
    ) -> Ruling {
        let rate = self.rate(workload);
        rate.done += 1;
        rate.failing.swap_remove(worker);
        self.workers.swap_remove(worker);
        match self.quarantine.swap_remove(worker) {
            Some(_) => Ruling::Clear,
            None => Ruling::Same,
        }
    }

    /// Takes in that a task failed on a worker, in a cell of `known` workers.
    pub(crate) fn failed(
        &mut self,
        worker: &id::Worker,
        workload: &id::Workload,
        known: usize,
        now: Time,
    ) -> Ruling {
        let rate = self.rate(workload);
        rate.failed += 1;
        if rate.failing.len() < FAILING && rate.failing.insert(worker.clone()) {
            rate.done -= (rate.done / FADING + 1).min(rate.done);
        }
        let row = self.workers.entry(worker.clone()).or_default();
        *row.entry(workload.clone()).or_default() += 1;
        if let Some(probation) = self.quarantine.get_mut(worker) {
            let pause = probation.pause.times(2).min(LONGEST_PAUSE);
            let next = now.after(pause);
            *probation = Probation {
                pause,
                next,
                probe: None,
            };
            return Ruling::Same;
        }
        let cap = (known * CAP_PERCENT / 100).max(1);
        if !self.is_bad(worker) || self.quarantine.len() >= cap {
            return Ruling::Same;
        }
        let probation = Probation {
            pause: FIRST_PAUSE,
            next: now.after(FIRST_PAUSE),
            probe: None,
        };
        self.quarantine.insert(worker.clone(), probation);
        Ruling::Bar
    }

    /// Whether several workloads failed here that do well elsewhere.
    fn is_bad(&self, worker: &id::Worker) -> bool {
        let Some(row) = self.workers.get(worker) else {
            return false;
        };
        let (mut distinct, mut failures) = (0, 0);
        for (workload, here) in row {
            let Some(rate) = self.workloads.get(workload) else {
                continue;
            };
            let elsewhere = rate.failing.iter().filter(|it| *it != worker).count();
            if (rate.done as usize) < elsewhere {
                continue;
            }
            distinct += 1;
            failures += match rate.done {
                0 => 0,
                _ => *here,
            };
        }
        distinct >= DISTINCT || failures >= IN_A_ROW
    }

    /// A worker in quarantine that may be tried with one task now.
    pub(crate) fn due(&self, now: Time) -> Option<&id::Worker> {
        let due =
            |probation: &Probation| probation.probe.is_none() && now >= probation.next;
        let mut workers = self.quarantine.iter();
        workers.find(|(_, it)| due(it)).map(|(worker, _)| worker)
    }

    /// Says that a job tries a worker in quarantine.
    pub(crate) fn probe(&mut self, worker: &id::Worker, job: id::Job) {
        if let Some(probation) = self.quarantine.get_mut(worker) {
            probation.probe = Some(job);
        }
    }

    /// A job ended and said nothing: if it was a probe, another may follow.
    pub(crate) fn silent(&mut self, worker: &id::Worker, job: id::Job, now: Time) {
        if let Some(probation) = self.quarantine.get_mut(worker)
            && probation.probe == Some(job)
        {
            probation.probe = None;
            probation.next = now.after(probation.pause);
        }
    }

    /// Forgets a worker.
    pub(crate) fn forget(&mut self, worker: &id::Worker) {
        self.workers.swap_remove(worker);
        self.quarantine.swap_remove(worker);
    }

    /// The workers in quarantine.
    pub(crate) fn barred(&self) -> impl Iterator<Item = &id::Worker> {
        self.quarantine.keys()
    }

    fn rate(&mut self, workload: &id::Workload) -> &mut Rate {
        if self.workloads.len() >= WORKLOADS && !self.workloads.contains_key(workload) {
            self.workloads.shift_remove_index(0);
        }
        let rate = self.workloads.entry(workload.clone()).or_default();
        if rate.done + rate.failed >= OUTCOMES {
            rate.done /= 2;
            rate.failed /= 2;
        }
        rate
    }
}
