//! A job in the replicated state.

use serde::{Deserialize, Serialize};

use crate::api::{Ending, Output};
use crate::id;
use crate::note::Workload;
use crate::place::Kind;
use crate::unit::{Size, Span, Wall};
use crate::verdict::{Outcome, Reason};

/// What a job asks for, as it was when the job came.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The team that pays.
    pub team: id::Team,
    /// The workload.
    pub workload: id::Workload,
    /// Service, batch or gang.
    pub kind: Kind,
    /// What each task needs.
    pub size: Size,
    /// How many tasks start together.
    pub count: u32,
    /// Whether running twice does no harm.
    pub idempotent: bool,
    /// Whether it may take the place of work that isn't urgent.
    pub urgent: bool,
    /// How often idempotent work is tried.
    pub attempts: u32,
    /// How long one task is declared to run.
    pub expected: Option<Span>,
    /// What the tasks get as their input.
    pub payload: String,
}

impl Spec {
    /// What a request for a workload asks for.
    #[must_use]
    pub fn new(name: &id::Workload, workload: &Workload, team: &id::Team) -> Self {
        Self {
            team: team.clone(),
            workload: name.clone(),
            kind: workload.kind,
            size: workload.size,
            count: workload.count,
            idempotent: workload.idempotent,
            urgent: workload.urgent,
            attempts: workload.attempts,
            expected: workload.expected,
            payload: workload.payload.clone(),
        }
    }
}

/// A job that waits for workers or holds them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The request that it came from; none for a service's replica.
    pub key: Option<id::Key>,
    /// What it asks for.
    pub spec: Spec,
    /// The latest useful start.
    pub deadline: Option<Wall>,
    /// The newest attempt; zero before the first.
    pub attempt: id::Attempt,
    /// Whether it waits, runs or is being stopped.
    pub phase: Phase,
    /// Where each task of the newest attempt is, by rank; empty while waiting.
    pub slots: Vec<Slot>,
}

/// Whether a job waits, runs or is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It holds no worker.
    Waiting,
    /// Its tasks shall run.
    Running,
    /// Its tasks shall end, and then this happens.
    Stopping(After),
}

/// What happens once all tasks of a job are gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum After {
    /// It waits again, if it may run again.
    Requeue,
    /// It is given up.
    Close(Reason),
}

/// Where one task is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Slot {
    /// Its room is reserved there.
    Held(id::Worker, id::Incarnation),
    /// It is gone, and its room is free.
    Gone(Ending, Output),
}

/// What becomes of a job whose tasks are all gone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Settled {
    /// It waits again.
    Requeue,
    /// It is over.
    Over(Outcome),
}

impl Job {
    /// The token of the task of this rank.
    #[must_use]
    pub fn token(&self, job: id::Job, rank: usize) -> id::Token {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        id::Token {
            task: id::Task { job, rank },
            attempt: self.attempt,
        }
    }

    /// Whether all tasks of the newest attempt are gone.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.slots.iter().all(|slot| matches!(slot, Slot::Gone(..)))
    }

    /// The workers that still hold a task, by rank.
    pub fn held(&self) -> impl Iterator<Item = (usize, &id::Worker, id::Incarnation)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(rank, slot)| match slot {
                Slot::Held(worker, incarnation) => Some((rank, worker, *incarnation)),
                Slot::Gone(..) => None,
            })
    }

    fn endings(&self) -> impl Iterator<Item = Ending> {
        self.slots.iter().filter_map(|slot| match slot {
            Slot::Held(..) => None,
            Slot::Gone(ending, _) => Some(*ending),
        })
    }

    /// What becomes of the job, now that all its tasks are gone.
    pub(crate) fn settle(&self) -> Settled {
        let all = |wanted| self.endings().all(|ending| ending == wanted);
        let never_began = all(Ending::NeverBegan);
        if all(Ending::Done) && (self.key.is_some() || !self.may_run_again()) {
            return Settled::Over(Outcome::ran(Reason::Done));
        }
        if let Phase::Stopping(After::Close(reason)) = self.phase {
            return Settled::Over(match never_began {
                true => Outcome::not_run(reason),
                false => Outcome::may_have_run(reason),
            });
        }
        if never_began || self.may_run_again() {
            return Settled::Requeue;
        }
        let failed = self.endings().any(|ending| ending == Ending::Failed);
        let ended = |ending| matches!(ending, Ending::Failed | Ending::Done);
        Settled::Over(if failed && self.endings().all(ended) {
            Outcome::ran(Reason::Failed)
        } else if self.spec.idempotent {
            Outcome::may_have_run(Reason::AttemptsExhausted)
        } else {
            Outcome::may_have_run(Reason::WorkerLost)
        })
    }

    fn may_run_again(&self) -> bool {
        let tries_left = self.attempt.0 < u64::from(self.spec.attempts);
        self.spec.idempotent && (self.key.is_none() || tries_left)
    }

    /// What the tasks wrote, by rank.
    #[must_use]
    pub fn outputs(&self) -> Vec<Output> {
        let wrote = |slot: &Slot| match slot {
            Slot::Held(..) => None,
            Slot::Gone(_, output) => Some(output.clone()),
        };
        self.slots.iter().filter_map(wrote).collect()
    }
}
