//! How it is known that a worker runs nothing any more, so that it can be removed.
//!
//! Nobody can see from afar whether a process has ended. One that closes its listener, whose
//! address another process has, or that says that it leaves may run on for seconds. Such
//! signs free nothing. A run counts as active, with all that it uses, until one of these
//! shows otherwise:
//!
//! - its worker lists its end, or still lists it nowhere after the longest time that a stop
//!   takes: a run that is being stopped need not be listed;
//! - the worker's lease has ended, on the slowest clock;
//! - a later incarnation answers under the worker's name at its address: the platform
//!   starts one only after the earlier one has ended.
//!
//! A worker that leaves gives the first kind itself: its runs are stopped, and it isn't told
//! that it may end before it has listed their ends.

use crate::collections::IndexMap;
use crate::fleet::call::Refusal;
use crate::fleet::decision::{Cause, Decision};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::claim::Reception;
use crate::fleet::dispatch::session::{RunState, Session};
use crate::fleet::job::Task;
use crate::fleet::worker::Incarnation;
use crate::fleet::{Command, State, Ticket};
use crate::id;
use crate::unit::{Span, Time, Wall};

/// What suggests that a worker's process has ended, and doesn't show it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sign {
    /// Connections to its address are refused, and it drains or has announced its end.
    ConnectionRefused,
    /// Another worker answers at its address.
    OtherWorker,
}

/// What shows that an incarnation runs nothing any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Proof {
    pub(crate) evidence: Evidence,
    /// When this leader learnt of it.
    pub(crate) at: Time,
}

/// The kinds of evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// A later incarnation answers under the worker's name.
    LaterIncarnation,
    /// The worker had announced its end, or seemed to have ended while it drained, and has
    /// no run.
    NoRuns,
    /// Another worker answers at its address, and the lease has ended.
    OtherWorker,
    /// The worker has no lease any more, and neither answers nor reports.
    Silence,
}

impl Evidence {
    /// The evidence as a cause for the log.
    pub(crate) const fn cause(self) -> Cause {
        match self {
            Self::LaterIncarnation | Self::OtherWorker => Cause::OtherIncarnation,
            Self::NoRuns => Cause::Left,
            Self::Silence => Cause::Unreported,
        }
    }
}

/// A worker's announcement that its process ends, which isn't answered yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Departure {
    /// The call by which it came.
    pub(super) ticket: Ticket,
    received_at: Time,
}

/// How long an announcement is answered later than at once. The worker repeats its call
/// after a second without an answer.
const DEPARTURE_WAIT: Span = Span::from_millis(800);

/// How long after its first announcement a worker is told that it may end, whatever it
/// still runs.
const DEPARTURE_LIMIT: Span = Span::from_millis(2_500);

/// The unanswered renewals in a row after which a worker that leaves isn't asked for its
/// ends any longer.
const DEPARTURE_RENEWALS: u32 = 2;

/// An incarnation that was removed.
#[derive(Debug, Clone, Copy)]
struct Removal {
    cause: Cause,
    at: Time,
    /// Whether it had drained, so that it takes no task again.
    drained: bool,
}

/// The incarnations that were removed last, the oldest first.
#[derive(Debug, Default, Clone)]
pub(crate) struct Removals {
    removals: IndexMap<Incarnation, Removal>,
}

impl Removals {
    fn add(&mut self, incarnation: Incarnation, removal: Removal) {
        if self.removals.len() >= REMOVAL_LIMIT {
            self.removals.shift_remove_index(0);
        }
        self.removals.insert(incarnation, removal);
    }

    /// Whether an incarnation had drained before it was removed.
    pub(super) fn has_drained(&self, incarnation: &Incarnation) -> bool {
        let removal = self.removals.get(incarnation);
        removal.is_some_and(|removal| removal.drained)
    }
}

/// How many removed incarnations are remembered.
const REMOVAL_LIMIT: usize = 1_024;

impl Dispatcher {
    /// Handles a worker's announcement that its process ends.
    ///
    /// A worker that drains is ordered to stop what it still runs. It is answered once it
    /// has listed the ends and is removed, as it ends when it is answered. One that
    /// hasn't reported before that it drains keeps its runs and is answered at once, as the
    /// announcement may be that of an earlier incarnation; its next report withdraws it.
    pub fn handle_departure(
        &mut self,
        worker: &id::Worker,
        ticket: Ticket,
        now: Time,
    ) -> Reception {
        let Some(session) = self.sessions.get_mut(worker) else {
            return Reception::Change(Vec::new());
        };
        let drained = session.draining;
        if session.leaving_since.is_none() {
            session.leaving_since = Some(now);
            session.next_renewal = now;
            self.effects.decisions.push(Decision::WorkerLeaving {
                incarnation: session.incarnation.clone(),
                drained,
                runs: session.runs.len(),
            });
            self.stop_runs_if_leaving(worker, now);
            self.fleet_revision += 1;
            self.require_placement();
        }
        if !drained {
            return Reception::Change(Vec::new());
        }
        let departure = Departure {
            ticket,
            received_at: now,
        };
        if let Some(earlier) = self.departures.insert(worker.clone(), departure) {
            // The caller of the earlier call has given up waiting.
            self.conclude(earlier.ticket, Err(Refusal::Leaving));
        }
        Reception::Asked
    }

    /// Answers the announcements of workers that have been removed, or that aren't
    /// waited for any longer.
    pub(super) fn answer_departures(&mut self, now: Time) {
        let mut answers = Vec::new();
        self.departures.retain(|worker, departure| {
            let session = self.sessions.get(worker);
            let answer = match session.map(|session| (session, session.leaving_since)) {
                Some((session, Some(since))) => {
                    let can_list =
                        session.sign.is_none() && session.unanswered < DEPARTURE_RENEWALS;
                    match () {
                        () if !can_list || now.since(since) >= DEPARTURE_LIMIT => {
                            Ok(Vec::new())
                        }
                        () if now.since(departure.received_at) >= DEPARTURE_WAIT => {
                            Err(Refusal::Leaving)
                        }
                        () => return true,
                    }
                }
                Some((_, None)) | None => Ok(Vec::new()),
            };
            answers.push((departure.ticket, answer));
            false
        });
        for (ticket, answer) in answers {
            self.conclude(ticket, answer);
        }
    }

    /// Stops every run on a worker that has drained and leaves; those whose starts weren't
    /// sent are dropped.
    pub(super) fn stop_runs_if_leaving(&mut self, worker: &id::Worker, now: Time) {
        let session = self.sessions.get(worker);
        let Some(session) = session.filter(|session| session.leaves()) else {
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

    /// Notes a sign that a worker's process has ended. Its lease isn't extended any more.
    pub(super) fn note_sign(
        &mut self,
        worker: &id::Worker,
        sign: Sign,
        now: Time,
        wall: Wall,
    ) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.sign = Some(sign);
            self.remove_idle(worker, now, wall);
        }
    }

    /// Proposes to remove a worker that leaves, or whose process seems to have ended, once
    /// it can't run anything.
    pub(super) fn remove_idle(&mut self, worker: &id::Worker, now: Time, wall: Wall) {
        let Some(session) = self.sessions.get(worker) else {
            return;
        };
        let evidence = match session.sign {
            Some(Sign::OtherWorker) => Evidence::OtherWorker,
            Some(Sign::ConnectionRefused) => Evidence::NoRuns,
            None if session.leaves() => Evidence::NoRuns,
            None => return,
        };
        // Ends that aren't in the log yet would be lost with the session.
        if !session.may_run(now) && !session.has_open_ends() {
            let incarnation = session.incarnation.clone();
            self.declare_gone(&incarnation, evidence, now, wall);
        }
    }

    /// Proposes to remove an incarnation that runs nothing any more. If it hadn't
    /// announced its end, its tasks may be charged.
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
            Evidence::LaterIncarnation | Evidence::OtherWorker => session.is_ending(),
            Evidence::NoRuns | Evidence::Silence => true,
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
        let session = self.sessions.get(&incarnation.worker);
        let session = session.filter(|session| session.incarnation == *incarnation);
        let was_ending = session.is_some_and(Session::is_ending);
        self.release_incarnation(incarnation, cause, now);
        // A worker that leaves is assumed not to come back under its name, so that nothing
        // carries out a late start.
        if was_ending && state.worker(&incarnation.worker).is_none() {
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
                leaves: session.leaving_since.is_some(),
            });
        }
    }

    /// Logs that an incarnation which counts as ended has sent a report, once. One that
    /// has drained may do so until it is told that it may end.
    pub(super) fn log_report_after_end(&mut self, incarnation: &Incarnation, now: Time) {
        if self.removals.has_drained(incarnation) {
            return;
        }
        if let Some(removal) = self.removals.removals.shift_remove(incarnation) {
            self.effects.decisions.push(Decision::WorkerAlive {
                incarnation: incarnation.clone(),
                cause: removal.cause,
                since: now.since(removal.at),
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
        let (proof, drained) = (session.proof, session.draining);
        let cause = proof.map_or(cause, |proof| proof.evidence.cause());
        let since_answer = now.since(session.last_answer);
        let runs: Vec<(Task, u64)> = session.runs.keys().copied().collect();
        for &(task, run) in &runs {
            self.log_lost_run(worker, &task, run, cause, now);
            self.release_run(worker, &task, run, now);
        }
        for (task, _) in &runs {
            self.break_gang(task, now);
        }
        self.sessions.swap_remove(worker);
        let removal = Removal {
            cause,
            at: now,
            drained,
        };
        self.removals.add(incarnation.clone(), removal);
        self.fleet_revision += 1;
        self.effects.decisions.push(Decision::WorkerGone {
            incarnation: incarnation.clone(),
            cause,
            known: proof.map_or_else(Default::default, |proof| now.since(proof.at)),
            since_answer,
        });
    }
}
