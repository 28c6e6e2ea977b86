//! A job in the replicated state.

use serde::{Deserialize, Serialize};

use crate::api::{Answer, Ending, Output, TEXT_LIMIT};
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
    pub max_attempts: u32,
    /// How long one task is declared to run.
    pub expected: Option<Span>,
    /// What the tasks get as their input.
    pub payload: String,
    /// The span that its start orders belong to.
    pub trace: Option<String>,
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
            max_attempts: workload.attempts,
            expected: workload.expected,
            payload: workload.payload.clone(),
            trace: None,
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
    /// Whether a task of an attempt that is over may have begun.
    pub may_have_run: bool,
    /// How many attempts have been used up; one that never began or that had
    /// to make room for other work doesn't count.
    pub attempts_used: u32,
    /// How many of the newest attempts in a row have failed.
    pub consecutive_failures: u32,
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
    Stopping(AfterStop),
}

/// What happens once all tasks of a job are gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AfterStop {
    /// It waits again, if it may run again.
    Requeue,
    /// It waits again, having made room for other work.
    Preempt,
    /// It is given up.
    Close(Reason),
}

/// Where one task is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Slot {
    /// Its room is reserved there.
    Reserved(id::Worker, id::Incarnation),
    /// It is gone, and its room is free.
    Ended(Ending, Output),
}

/// What becomes of a job whose tasks are all gone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Disposition {
    /// It waits again.
    Requeue,
    /// It is over.
    Finished(Outcome),
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
    pub fn all_tasks_ended(&self) -> bool {
        self.slots
            .iter()
            .all(|slot| matches!(slot, Slot::Ended(..)))
    }

    /// The workers that still hold a task, by rank.
    pub fn reserved_workers(
        &self,
    ) -> impl Iterator<Item = (usize, &id::Worker, id::Incarnation)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(rank, slot)| match slot {
                Slot::Reserved(worker, incarnation) => Some((rank, worker, *incarnation)),
                Slot::Ended(..) => None,
            })
    }

    fn endings(&self) -> impl Iterator<Item = Ending> {
        self.slots.iter().filter_map(|slot| match slot {
            Slot::Reserved(..) => None,
            Slot::Ended(ending, _) => Some(*ending),
        })
    }

    /// What becomes of the job, now that all its tasks are gone.
    pub(crate) fn finish_attempt(&mut self) -> Disposition {
        let exited = |ending| matches!(ending, Ending::Done | Ending::Failed);
        let never_began = self.endings().all(|ending| ending == Ending::NeverBegan);
        let all_exited = self.endings().all(exited);
        let failed = self.endings().any(|ending| ending == Ending::Failed);
        self.record_attempt(never_began, failed);
        let ran = match failed {
            true => Outcome::ran(Reason::Failed),
            false => Outcome::ran(Reason::Done),
        };
        if let Phase::Stopping(AfterStop::Close(reason)) = self.phase {
            return Disposition::Finished(match all_exited {
                true => ran,
                false => self.close_outcome(reason),
            });
        }
        if self.key.is_none() {
            return Disposition::Requeue;
        }
        if all_exited && !failed {
            return Disposition::Finished(ran);
        }
        if never_began || self.may_run_again() {
            return Disposition::Requeue;
        }
        Disposition::Finished(if all_exited {
            ran
        } else if self.spec.idempotent {
            Outcome::may_have_run(Reason::AttemptsExhausted)
        } else {
            Outcome::may_have_run(Reason::WorkerLost)
        })
    }

    /// Counts the attempt that is over.
    fn record_attempt(&mut self, never_began: bool, failed: bool) {
        let preempted = self.phase == Phase::Stopping(AfterStop::Preempt);
        self.may_have_run |= !never_began;
        if !never_began && !preempted {
            self.attempts_used = self.attempts_used.saturating_add(1);
        }
        let replica_ended = self.key.is_none() && self.phase == Phase::Running;
        let declined = never_began && self.phase == Phase::Running;
        self.consecutive_failures = match failed || declined || replica_ended {
            true => self.consecutive_failures.saturating_add(1),
            false => 0,
        };
    }

    /// The outcome of a job that is given up while it holds no worker.
    pub(crate) fn close_outcome(&self, reason: Reason) -> Outcome {
        match self.may_have_run {
            true => Outcome::may_have_run(reason),
            false => Outcome::not_run(reason),
        }
    }

    fn may_run_again(&self) -> bool {
        self.spec.idempotent && self.attempts_used < self.spec.max_attempts
    }

    /// Whether the job is given up and only waits for its tasks' end.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        matches!(self.phase, Phase::Stopping(AfterStop::Close(_)))
    }

    /// The longest output of one of its tasks, in bytes.
    #[must_use]
    pub fn output_limit(&self) -> usize {
        TEXT_LIMIT / self.spec.count.max(1) as usize
    }

    /// The whole answer to the job's request.
    pub(crate) fn answer(&self, id: id::Job, key: id::Key, outcome: Outcome) -> Answer {
        let outputs = self.outputs();
        let whole = outputs.iter().all(Output::is_whole);
        let outcome = match outcome.reason {
            Reason::Done if !whole => Outcome::ran(Reason::OutputTooLarge),
            _ => outcome,
        };
        Answer {
            key,
            job: Some(id),
            outcome,
            outputs,
        }
    }

    /// What the tasks wrote, by rank.
    #[must_use]
    pub fn outputs(&self) -> Vec<Output> {
        let output_of = |slot: &Slot| match slot {
            Slot::Reserved(..) => None,
            Slot::Ended(_, output) => Some(output.clone()),
        };
        self.slots.iter().filter_map(output_of).collect()
    }
}
