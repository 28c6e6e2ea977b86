//! Jobs in the replicated state: their specification, phase and attempts.

use serde::{Deserialize, Serialize};

use crate::api::{Answer, Ending, Output, TEXT_LIMIT};
use crate::id;
use crate::note::Workload;
use crate::place::Kind;
use crate::unit::{Size, Span, Wall};
use crate::verdict::{Outcome, Reason};

/// What a job asks for, copied from its workload when the job was opened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The team that the job's use is accounted to.
    pub team: id::Team,
    /// The workload that it runs, as named in release notes.
    pub workload: id::Workload,
    /// Whether it is a service, a batch job or a gang.
    pub kind: Kind,
    /// The resources that each task reserves.
    pub size: Size,
    /// The number of tasks, which all start together.
    pub count: u32,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it may preempt jobs that aren't urgent.
    pub urgent: bool,
    /// The most attempts of idempotent work.
    pub max_attempts: u32,
    /// The declared run time of one task.
    pub expected: Option<Span>,
    /// The tasks' input.
    pub payload: String,
    /// The W3C `traceparent` of its start orders.
    pub trace: Option<String>,
}

impl Spec {
    /// The specification of a job that a team runs from a workload.
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

/// A job that hasn't ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The key of its request; `None` for a replica of a service.
    pub key: Option<id::Key>,
    /// What it runs, and with which resources.
    pub spec: Spec,
    /// The time by which it has to start; it is closed if it still waits then.
    pub deadline: Option<Wall>,
    /// The number of the last attempt; zero before the first.
    pub attempt: id::Attempt,
    /// Whether a task of an earlier attempt may have begun.
    pub may_have_run: bool,
    /// The number of attempts that count towards `Spec::max_attempts`. Attempts
    /// that never began or were preempted don't.
    pub attempts_used: u32,
    /// How many attempts in a row have failed, up to the last one that ended.
    pub consecutive_failures: u32,
    /// Whether the job waits, runs or is being stopped.
    pub phase: Phase,
    /// The tasks of the current attempt, by rank; empty while it waits.
    pub slots: Vec<Slot>,
}

/// Whether a job waits, runs or is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It waits for workers and holds none.
    Waiting,
    /// Its tasks are to run on the workers that it holds.
    Running,
    /// Its tasks are to stop; this happens once all have ended.
    Stopping(AfterStop),
}

/// What happens to a job once all its tasks have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AfterStop {
    /// It is queued again, if it may run again.
    Requeue,
    /// It is queued again, as it was preempted; the attempt isn't counted.
    Preempt,
    /// It is closed, with this reason unless all its tasks ended by themselves.
    Close(Reason),
}

/// One task of a job's current attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Slot {
    /// Resources are reserved for it on this worker.
    Reserved(id::Worker, id::Incarnation),
    /// It has ended with this output, and its resources are released.
    Ended(Ending, Output),
}

/// What happens to a job after an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Disposition {
    /// It is queued for another attempt.
    Requeue,
    /// It has ended.
    Finished(Outcome),
}

impl Job {
    /// The fencing token of a task in the current attempt.
    #[must_use]
    pub fn token(&self, job: id::Job, rank: usize) -> id::Token {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        id::Token {
            task: id::Task { job, rank },
            attempt: self.attempt,
        }
    }

    /// Whether all tasks of the current attempt have ended.
    #[must_use]
    pub fn all_tasks_ended(&self) -> bool {
        self.slots
            .iter()
            .all(|slot| matches!(slot, Slot::Ended(..)))
    }

    /// The tasks that haven't ended: their ranks, workers and incarnations.
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

    /// Counts an attempt whose tasks have all ended, and decides whether the
    /// job is queued again.
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

    /// Updates the counters after an attempt. An attempt counts as failed if a
    /// task failed, or if the job was to run but none of its tasks began or,
    /// for a replica of a service, it ended.
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

    /// The outcome of a job that is closed before its work is done.
    pub(crate) fn close_outcome(&self, reason: Reason) -> Outcome {
        match self.may_have_run {
            true => Outcome::may_have_run(reason),
            false => Outcome::not_run(reason),
        }
    }

    fn may_run_again(&self) -> bool {
        self.spec.idempotent && self.attempts_used < self.spec.max_attempts
    }

    /// Whether the job is to be closed once its tasks have ended.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        matches!(self.phase, Phase::Stopping(AfterStop::Close(_)))
    }

    /// The longest output that is kept of each task, in bytes.
    #[must_use]
    pub fn output_limit(&self) -> usize {
        TEXT_LIMIT / self.spec.count.max(1) as usize
    }

    /// The answer to the job's request. The outcome says so if an output was
    /// cut.
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

    /// The outputs of the tasks that have ended, by rank.
    #[must_use]
    pub fn outputs(&self) -> Vec<Output> {
        let output_of = |slot: &Slot| match slot {
            Slot::Reserved(..) => None,
            Slot::Ended(_, output) => Some(output.clone()),
        };
        self.slots.iter().filter_map(output_of).collect()
    }
}
