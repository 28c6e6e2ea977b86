//! How it is known that a worker's process has ended, and all its runs with it.
//!
//! What a worker says of itself, or another writer of it, is no proof: a worker that
//! has announced its end may run on for seconds. Its runs count as active, with all
//! that they use, until one of these shows otherwise:
//!
//! - another incarnation answers at the worker's address;
//! - nothing listens there, and the worker had announced its end;
//! - the lease has ended.
//!
//! The first two show that the process is gone. Its removal is then proposed to the
//! log, and the runs are released once it is removed. After the lease's end each run
//! is released by itself, as the worker may be there, without any.

use crate::collections::IndexMap;
use crate::fleet::decision::{Cause, Decision};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::session::RunState;
use crate::fleet::job::Task;
use crate::fleet::worker::Incarnation;
use crate::fleet::{Command, State};
use crate::id;
use crate::unit::{Time, Wall};

/// What shows that an incarnation has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Proof {
    pub(crate) evidence: Evidence,
    /// When this leader learnt of it.
    pub(crate) at: Time,
}

/// The incarnations that were removed last, and why. One that sends a report after
/// that was removed wrongly, or too soon.
#[derive(Debug, Default, Clone)]
pub(crate) struct RemovedIncarnations {
    removed: IndexMap<Incarnation, (Cause, Time)>,
}

impl RemovedIncarnations {
    fn add(&mut self, incarnation: Incarnation, cause: Cause, now: Time) {
        if self.removed.len() >= REMOVED_LIMIT {
            self.removed.shift_remove_index(0);
        }
        self.removed.insert(incarnation, (cause, now));
    }

    fn take(&mut self, incarnation: &Incarnation) -> Option<(Cause, Time)> {
        self.removed.shift_remove(incarnation)
    }
}

/// How many removed incarnations are remembered.
const REMOVED_LIMIT: usize = 1_024;

/// The kinds of evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// Another incarnation answers at the worker's address.
    OtherIncarnation,
    /// The worker had announced its end, and nothing listens at its address.
    NoListener,
    /// The worker has no lease any more, and neither answers nor reports.
    Silence,
}

impl Evidence {
    /// The evidence as a cause for the log.
    pub(crate) const fn cause(self) -> Cause {
        match self {
            Self::OtherIncarnation => Cause::OtherIncarnation,
            Self::NoListener => Cause::Left,
            Self::Silence => Cause::Unreported,
        }
    }
}

impl Dispatcher {
    /// Handles a worker's announcement that its process ends.
    ///
    /// A worker that drains is ordered to stop what it still runs: that shows soonest
    /// how each run has ended, and saves its progress. One that hasn't reported before
    /// that it drains keeps its runs, as the announcement may be that of an earlier
    /// incarnation; its next report withdraws it.
    pub fn handle_departure(&mut self, worker: &id::Worker, now: Time) {
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        if std::mem::replace(&mut session.leaving, true) {
            return;
        }
        session.next_renewal = now;
        self.effects.decisions.push(Decision::WorkerLeaving {
            incarnation: session.incarnation.clone(),
            drained: session.draining,
            runs: session.runs.len(),
        });
        if session.draining {
            self.stop_all_runs(worker, now);
        }
        self.fleet_revision += 1;
        self.require_placement();
    }

    /// Stops every run on a worker; those whose starts weren't sent are dropped.
    fn stop_all_runs(&mut self, worker: &id::Worker, now: Time) {
        let Some(session) = self.sessions.get(worker) else {
            return;
        };
        let open = session.runs.iter();
        let open = open.filter(|(_, run)| run.state != RunState::Stopping);
        let runs: Vec<(Task, u64)> = open.map(|(key, _)| *key).collect();
        for (task, number) in runs {
            let place = self.placements.get(&task).cloned();
            let current =
                place.filter(|place| place.worker == *worker && place.run == number);
            match current {
                None => self.stop_superseded(worker, &task, number, now),
                Some(place) if self.drop_unsent_run(&place, &task, now) => {}
                Some(_) => self.stop_run(&task, Cause::Leaving, now),
            }
            self.break_gang(&task, now);
        }
    }

    /// Proposes to remove an incarnation that has ended; its runs are released once
    /// that is in the log. If it hadn't announced its end, its tasks may be charged.
    pub(super) fn declare_gone(
        &mut self,
        incarnation: &Incarnation,
        evidence: Evidence,
        now: Time,
        wall: Wall,
    ) {
        let session = self.sessions.get_mut(&incarnation.worker);
        let Some(session) = session.filter(|session| session.incarnation == *incarnation)
        else {
            return;
        };
        if session.proof.is_some() {
            return;
        }
        session.proof = Some(Proof { evidence, at: now });
        let was_announced = match evidence {
            Evidence::OtherIncarnation => session.is_ending(),
            Evidence::NoListener | Evidence::Silence => true,
        };
        if !was_announced {
            return self.declare_crash(incarnation, evidence.cause(), now, wall);
        }
        let incarnation = incarnation.clone();
        self.effects.commands.push(Command::Leave { incarnation });
    }

    /// Drops all that is known of an incarnation that is removed. `cause` is given for
    /// one of which this leader has no proof, as an earlier leader removed it.
    pub(super) fn forget_incarnation(
        &mut self,
        state: &State,
        incarnation: &Incarnation,
        cause: Cause,
        now: Time,
    ) {
        self.clear_doubts(incarnation);
        self.release_incarnation(incarnation, cause, now);
        // Without a later incarnation nothing carries out a late start.
        if state.worker(&incarnation.worker).is_none() {
            self.unconfirmed.unbind(&incarnation.worker, now);
        }
    }

    /// Logs that a run can't be active any more, with what is known of its worker.
    pub(super) fn log_lost_run(
        &mut self,
        worker: &id::Worker,
        task: &Task,
        run: u64,
        cause: Cause,
        now: Time,
    ) {
        if let Some(session) = self.sessions.get(worker) {
            self.effects.decisions.push(Decision::RunLost {
                task: *task,
                run,
                worker: worker.clone(),
                cause,
                since_answer: now.since(session.last_answer),
                lease: session.lease_remaining(now),
                drains: session.draining,
                leaves: session.leaving,
            });
        }
    }

    /// Logs a report of an incarnation that counts as ended.
    pub(super) fn log_report_after_end(&mut self, incarnation: &Incarnation, now: Time) {
        if let Some((cause, at)) = self.removed.take(incarnation) {
            self.effects.decisions.push(Decision::WorkerAlive {
                incarnation: incarnation.clone(),
                cause,
                since: now.since(at),
            });
        }
    }

    /// Ends the session with an incarnation, and releases its runs.
    fn release_incarnation(
        &mut self,
        incarnation: &Incarnation,
        cause: Cause,
        now: Time,
    ) {
        let worker = &incarnation.worker;
        let session = self.sessions.get(worker);
        let Some(session) = session.filter(|session| session.incarnation == *incarnation)
        else {
            return;
        };
        let proof = session.proof;
        let cause = proof.map_or(cause, |proof| proof.evidence.cause());
        let since_answer = now.since(session.last_answer);
        let runs: Vec<(Task, u64)> = session.runs.keys().copied().collect();
        for &(task, run) in &runs {
            self.log_lost_run(worker, &task, run, cause, now);
            self.release_run(worker, &task, run);
        }
        for (task, _) in &runs {
            self.break_gang(task, now);
        }
        self.sessions.swap_remove(worker);
        self.removed.add(incarnation.clone(), cause, now);
        self.fleet_revision += 1;
        self.effects.decisions.push(Decision::WorkerGone {
            incarnation: incarnation.clone(),
            cause,
            known: proof.map_or_else(Default::default, |proof| now.since(proof.at)),
            since_answer,
        });
    }
}
