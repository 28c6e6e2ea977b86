//! Crashes of workers, and the tasks that may have caused them.
//!
//! A worker that crashes reports nothing of what it ran. The runs of a worker that
//! falls silent are therefore recorded at once, while it isn't known what became of
//! it, and outlive the leader. When another incarnation shows that the worker has
//! crashed, the tasks among them are charged; when it answers again, the record is
//! dropped. A task that has been charged is recorded before it starts on a worker of
//! its own. One that is charged again and again is given up.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::collections::IndexMap;
use crate::fleet::job::{Id, Task};
use crate::fleet::worker::Incarnation;
use crate::unit::{Span, Wall};

/// How long a run has to last to be no cause of a crash, unless its task has been
/// charged before or no run on the worker is younger.
pub(crate) const SETTLING_TIME: Span = Span::from_millis(3_000);

/// How long a run has to last to be no cause of a crash that came with many others.
const STARTING_TIME: Span = Span::from_millis(250);

/// How long a run has to last for what its task was charged before to lapse.
const LAPSE_TIME: Span = Span::from_secs(20);

/// How much longer than at a crash a task has to have run elsewhere to show that it
/// doesn't crash its workers at that point.
const INCONSISTENCY: Span = Span::from_secs(1);

/// The points for a crash that no other task can have caused.
const POINTS_ALONE: u32 = 2;

/// The points for a crash that another task, or something else, may have caused.
const POINTS_SHARED: u32 = 1;

/// The points from which on a task runs beside no task that could be blamed.
pub(crate) const POINTS_FOR_TRIAL: u32 = 2;

/// The points at which a task is given up.
pub(crate) const POINTS_TO_GIVE_UP: u32 = 4;

/// A run on a worker that may have crashed or may crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The task that runs or was to be started.
    pub task: Task,
    /// The number of the run.
    pub run: u64,
    /// How long it had run when the worker last answered.
    pub ran: Span,
}

/// What a task has been charged with.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The number of workers that crashed under it.
    pub crashes: u32,
    /// The weight of these crashes.
    pub points: u32,
    /// The highest run that was charged: a gang's run may be on several workers that
    /// crash.
    last_run: u64,
    /// The longest that a run had lasted at a crash.
    longest: Span,
}

impl Suspicion {
    /// Whether the task is given up.
    pub(crate) const fn is_conclusive(self) -> bool {
        self.points >= POINTS_TO_GIVE_UP
    }
}

/// The recorded runs of a worker, and since when there is the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Exposure {
    at: Wall,
    address: SocketAddr,
    runs: Vec<Run>,
}

/// The workers that may have crashed and the charged tasks. A gang is charged as its
/// first member.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ledger {
    exposures: IndexMap<Incarnation, Exposure>,
    suspicions: IndexMap<Task, Suspicion>,
}

impl Ledger {
    /// Records runs of a worker, beside those recorded for it before.
    pub(crate) fn expose(
        &mut self,
        incarnation: Incarnation,
        address: SocketAddr,
        at: Wall,
        runs: Vec<Run>,
    ) {
        let exposure = self.exposures.entry(incarnation).or_insert(Exposure {
            at,
            address,
            runs: Vec::new(),
        });
        for run in runs {
            let is_same = |old: &Run| old.task == run.task && old.run == run.run;
            if !exposure.runs.iter().any(is_same) {
                exposure.runs.push(run);
            }
        }
    }

    /// Whether there is a record of an incarnation.
    pub(crate) fn is_exposed(&self, incarnation: &Incarnation) -> bool {
        self.exposures.contains_key(incarnation)
    }

    /// The incarnations with a record.
    pub(crate) fn exposed(&self) -> impl Iterator<Item = &Incarnation> {
        self.exposures.keys()
    }

    /// Those of them at an address.
    pub(crate) fn exposed_at(
        &self,
        address: SocketAddr,
    ) -> impl Iterator<Item = &Incarnation> {
        let exposures = self.exposures.iter();
        let here = exposures.filter(move |(_, exposure)| exposure.address == address);
        here.map(|(incarnation, _)| incarnation)
    }

    /// Drops the record of an incarnation, and returns its runs.
    pub(crate) fn clear(&mut self, incarnation: &Incarnation) -> Vec<Run> {
        let exposure = self.exposures.swap_remove(incarnation);
        exposure.map_or_else(Vec::new, |exposure| exposure.runs)
    }

    /// Drops the records from before a time.
    pub(crate) fn expire(&mut self, before: Wall) {
        self.exposures.retain(|_, exposure| exposure.at >= before);
    }

    /// Drops what is held against the tasks of a job.
    pub(crate) fn remove_job(&mut self, job: &Id) {
        self.suspicions.retain(|task, _| task.stage.job != *job);
    }

    /// The charged tasks.
    pub(crate) fn suspicions(&self) -> impl Iterator<Item = (&Task, &Suspicion)> {
        self.suspicions.iter()
    }

    /// The runs that may have caused the crash of the worker that they were on: those
    /// that hadn't settled, or any if all had. If many workers crashed together, only
    /// those that had just started.
    pub(crate) fn suspects(&self, runs: &[Run], widespread: bool) -> Vec<Run> {
        if widespread {
            let starting = runs.iter().filter(|run| run.ran < STARTING_TIME);
            return starting.copied().collect();
        }
        let may_be_cause = |run: &&Run| {
            run.ran < SETTLING_TIME || self.suspicions.contains_key(&run.task)
        };
        let unsettled: Vec<Run> = runs.iter().filter(may_be_cause).copied().collect();
        match unsettled.is_empty() {
            true => runs.to_vec(),
            false => unsettled,
        }
    }

    /// Charges the task of a run with the crash of its worker; none if that run was
    /// charged before. `alone` says that nothing else can have caused it.
    pub(crate) fn charge(&mut self, run: &Run, alone: bool) -> Option<Suspicion> {
        let suspicion = self.suspicions.entry(run.task).or_default();
        if run.run <= suspicion.last_run {
            return None;
        }
        // It has outlived the point at which it was charged before.
        if run.ran >= LAPSE_TIME || run.ran > suspicion.longest + INCONSISTENCY {
            *suspicion = Suspicion::default();
        }
        let consistent = suspicion.longest <= run.ran + INCONSISTENCY;
        suspicion.longest = suspicion.longest.max(run.ran);
        suspicion.last_run = run.run;
        suspicion.crashes += 1;
        suspicion.points += match alone && consistent {
            true => POINTS_ALONE,
            false => POINTS_SHARED,
        };
        Some(*suspicion)
    }
}
