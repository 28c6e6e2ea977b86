//! Leases of workers: renewal, retry of orders, and release of what ran under an
//! expired lease.

use crate::collections::IndexMap;

use crate::fleet::Command;
use crate::fleet::decision::{Cause, Decision};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::dispatcher::Place;
use crate::fleet::dispatch::gone::Evidence;
use crate::fleet::dispatch::grant::LateGrant;
use crate::fleet::dispatch::session::{Run, RunState, Session};
use crate::fleet::job::{self, Task};
use crate::fleet::order::{Action, Start};
use crate::id;
use crate::unit::{Span, Time, Wall};

/// How often a start is sent before the run is stopped instead.
pub(super) const MAX_START_TRIES: u32 = 3;

/// The interval between sending a start or stop again while it is unanswered.
const RUN_ORDER_INTERVAL: Span = Span::from_millis(100);

/// How long after its last report a worker with an expired lease is removed.
const REMOVAL_DELAY: Span = Span::from_secs(20);

/// How long a renewal is put off until reported ends are durable, so that it can
/// acknowledge them.
const DURABILITY_WAIT: Span = Span::from_millis(60);

impl Dispatcher {
    /// Retries unanswered orders, expires leases and removes workers that are
    /// gone.
    pub(super) fn check_sessions(&mut self, now: Time, wall: Wall) {
        let unsettled = self
            .sessions
            .iter()
            .filter(|(_, session)| is_unsettled(session, now));
        let workers: Vec<id::Worker> =
            unsettled.map(|(worker, _)| worker.clone()).collect();
        for worker in workers {
            self.retry_orders(&worker, now);
            self.remove_idle(&worker, now, wall);
            self.expire_lease(&worker, now);
            self.remove_silent_worker(&worker, now, wall);
        }
        self.settle_late_grants(now);
    }

    /// Has the log tell which workers hold no lease from an order to an earlier incarnation
    /// any more.
    fn settle_late_grants(&mut self, now: Time) {
        for session in self.sessions.values_mut() {
            let is_over = |grant: &LateGrant| grant.is_last && now >= grant.ends_by;
            if session.late_grant.take_if(|grant| is_over(grant)).is_some() {
                let incarnation = session.incarnation.clone();
                self.effects.commands.push(Command::Settle { incarnation });
            }
        }
    }

    /// Sends due starts and stops again; stops a run whose start was sent too
    /// often or whose step is gone.
    ///
    /// Nothing is sent again to a silent worker. A gang isn't kept waiting for
    /// one either: its other members would hold their capacity until that worker
    /// answers or its lease expires.
    fn retry_orders(&mut self, worker: &id::Worker, now: Time) {
        let Some(session) = self.sessions.get(worker) else {
            return;
        };
        let silent = session.unanswered > 0;
        let is_ending = session.is_ending();
        let overcommitted = session.is_overcommitted();
        let is_due = |run: &Run| {
            let open = run.state != RunState::Running && run.confirmed_at.is_none();
            open && run.order.is_none() && run.retry_at <= now
        };
        let due = session.runs.iter().filter(|(_, run)| is_due(run));
        let exceeds_limit = |run: &Run| {
            let charge = run.charge.as_ref();
            charge.is_some_and(|charge| self.ledger.is_exceeded_by(charge))
        };
        let due: Vec<(Task, u64, RunState, u32, bool, bool)> = due
            .map(|((task, number), run)| {
                let unrecorded = run.awaits_record;
                let exceeds = exceeds_limit(run);
                (*task, *number, run.state, run.tries, unrecorded, exceeds)
            })
            .collect();
        for (task, number, state, tries, unrecorded, exceeds) in due {
            let may_retry = tries < MAX_START_TRIES
                && !is_ending
                && !overcommitted
                && !exceeds
                && self.stages.contains_key(&task.stage);
            match state {
                RunState::Starting
                    if tries == 0
                        && (unrecorded
                            || exceeds
                            || !self.may_start(worker, &task, now)) =>
                {
                    let place = Place {
                        worker: worker.clone(),
                        run: number,
                    };
                    if self.drop_unsent_run(&place, &task, now) {
                        self.break_gang(&task, now);
                    }
                }
                RunState::Starting if silent && !self.is_in_gang(&task) => {}
                RunState::Starting if may_retry && !silent => {
                    self.send_start(worker, &task, number, now);
                }
                RunState::Starting => self.give_up_start(&task, now),
                _ if silent => {}
                _ => self.send_stop(worker, &task, number, now),
            }
        }
    }

    /// Whether a task may still be started on the worker where it is placed. What
    /// held at its placement may have changed if its start hasn't been sent since.
    pub(super) fn may_start(&self, worker: &id::Worker, task: &Task, now: Time) -> bool {
        let (Some(session), Some(stage)) =
            (self.sessions.get(worker), self.stages.get(&task.stage))
        else {
            return false;
        };
        let permit = stage.permit(worker);
        let permitted =
            !stage.needs_advice() || permit.is_some_and(|permit| permit.is_valid(now));
        permitted && session.is_usable(now) && !session.is_overcommitted()
    }

    /// Stops a run that isn't its task's current one.
    pub(super) fn stop_superseded(
        &mut self,
        worker: &id::Worker,
        task: &Task,
        number: u64,
        now: Time,
    ) {
        let Some(run) = self.run_mut(worker, task, number) else {
            return;
        };
        run.state = RunState::Stopping;
        run.confirmed_at = None;
        run.tries = 0;
        self.superseded.insert(*task);
        self.effects.decisions.push(Decision::Stop {
            task: *task,
            run: number,
            worker: worker.clone(),
            cause: Cause::Superseded,
        });
        self.send_stop(worker, task, number, now);
    }

    /// Sends the order to stop a run, for the first time or again.
    fn send_stop(&mut self, worker: &id::Worker, task: &Task, number: u64, now: Time) {
        let stop = Action::Stop {
            task: *task,
            run: number,
        };
        let order = self.send_order(worker, self.setup.order_timeout, stop, now);
        if let Some(run) = self.run_mut(worker, task, number) {
            run.order = order;
            run.tries += 1;
            run.retry_at = now.after(RUN_ORDER_INTERVAL);
        }
    }

    /// Sends the order to start a run, for the first time or again. It extends
    /// the lease.
    pub(super) fn send_start(
        &mut self,
        worker: &id::Worker,
        task: &Task,
        number: u64,
        now: Time,
    ) {
        let Some(stage) = self.stages.get(&task.stage) else {
            return;
        };
        let payload = stage.payload.as_ref().to_owned();
        let checkpoint = stage.checkpoints.get(&stage.unit_key(task.index)).cloned();
        let permit = stage.permit(worker);
        let ticket = permit.map(|permit| permit.ticket.clone());
        let lease = self.setup.lease;
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        let since_answer = now.since(session.last_answer);
        let Some(deadline) = session.extend_lease(lease, now) else {
            return;
        };
        let remaining = session.lease_remaining(now);
        let incarnation = session.incarnation.clone();
        let Some(run) = session.runs.get_mut(&(*task, number)) else {
            return;
        };
        run.tries += 1;
        run.retry_at = now.after(RUN_ORDER_INTERVAL);
        // The step's ticket may have been renewed since the run was placed.
        if ticket.is_some() {
            run.ticket = ticket;
        }
        let start = Start {
            task: *task,
            run: run.number,
            payload,
            deadline,
            checkpoint,
            ticket: run.ticket.clone(),
        };
        self.effects.decisions.push(Decision::Start {
            task: *task,
            run: run.number,
            incarnation,
            since_answer,
            lease: remaining,
            attempt: run.tries,
        });
        let action = Action::Start(Box::new(start));
        let order = self.send_order(worker, self.setup.order_timeout, action, now);
        if let Some(run) = self.run_mut(worker, task, number) {
            run.order = order;
        }
    }

    /// Releases all runs on a worker once its lease has expired: the worker stops
    /// by itself those that were sent to it.
    fn expire_lease(&mut self, worker: &id::Worker, now: Time) {
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        if now < session.lease_end() || session.runs.is_empty() {
            return;
        }
        let runs: Vec<(Task, u64)> = session.runs.keys().copied().collect();
        for (task, run) in runs {
            self.log_lost_run(worker, &task, run, Cause::LeaseExpired, now);
            self.add_doubt(worker, &task);
            self.release_run(worker, &task, run, now);
            self.break_gang(&task, now);
        }
    }

    /// Proposes to remove a worker that neither answers nor reports, has no runs, and
    /// can't run an earlier leader's tasks any more.
    fn remove_silent_worker(&mut self, worker: &id::Worker, now: Time, wall: Wall) {
        let Some(session) = self.sessions.get(worker) else {
            return;
        };
        let unreported = session.leaving_since.is_some()
            || now.since(session.last_report) >= REMOVAL_DELAY;
        let unreachable = session.unanswered > 0
            && now >= session.lease_end()
            && now >= self.recovery_deadline;
        if !unreported || !unreachable || !session.runs.is_empty() {
            return;
        }
        let incarnation = session.incarnation.clone();
        self.declare_gone(&incarnation, Evidence::Silence, now, wall);
    }

    /// Sends the lease renewals that are due; those that have been for longest, if
    /// not all may be under way.
    pub(super) fn send_due_renewals(&mut self, now: Time) {
        let sessions = self.sessions.values();
        let pending = sessions.filter(|session| session.renewal.is_some()).count();
        let due = self
            .sessions
            .iter()
            .filter(|(_, session)| is_renewal_due(session, now));
        let mut due: Vec<(Time, id::Worker)> = due
            .map(|(worker, session)| (session.next_renewal, worker.clone()))
            .collect();
        let room = self.setup.renewal_limit.saturating_sub(pending);
        if due.len() > room {
            due.sort_by_key(|(since, _)| *since);
            due.truncate(room);
        }
        for (_, worker) in due {
            self.send_renewal(&worker, now);
        }
    }

    /// How long a worker may delay its answer to a renewal: so long that all workers
    /// have had their turn within half a lease.
    fn renewal_wait(&self) -> Span {
        let turns = self
            .sessions
            .len()
            .div_ceil(self.setup.renewal_limit.max(1));
        let turn = self.setup.lease.as_millis() / 2 / (turns as u64).max(1);
        match turns {
            0 | 1 => self.setup.renewal_wait,
            _ => self.setup.renewal_wait.min(Span::from_millis(turn)),
        }
    }

    /// Sends a lease renewal, which also asks for the worker's status.
    fn send_renewal(&mut self, worker: &id::Worker, now: Time) {
        let lease = self.setup.lease;
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        // The lease of a worker that doesn't answer or whose process ends isn't
        // extended, so that its tasks can be placed elsewhere once it has expired.
        let deadline = match session.unanswered {
            0 if session.leaving_since.is_none() => session.extend_lease(lease, now),
            _ => None,
        };
        // A new incarnation under the same name numbers its ends from one again;
        // with the earlier incarnation's number it would discard ends that it
        // hasn't reported to any leader.
        let acknowledged = match session.unanswered {
            0 => session.acknowledged_end(),
            _ => 0,
        };
        // The first renewal, and one after a missed answer, is answered at once
        // instead of waiting for a run to end.
        let at_once = !session.reconciled || session.unanswered > 0;
        // Runs that are being stopped, whose stops may be confirmed while the worker waits,
        // and refused starts of which an earlier try may have been carried out.
        let is_in_doubt = |run: &Run| match run.state {
            RunState::Starting => run.confirmed_at.is_some(),
            RunState::Running => false,
            RunState::Stopping => true,
        };
        let any_in_doubt = session.runs.values().any(is_in_doubt);
        let settled = session.runs.values().filter(|run| run.is_settled(now));
        let unlisted_ends =
            settled.filter_map(|run| run.unlisted_end(self.setup.stop_time));
        let unlisted_end = unlisted_ends.min().map(|end| end.since(now));
        let wait = match unlisted_end {
            _ if at_once => Span::ZERO,
            Some(left) => left.min(STOP_WAIT),
            None if any_in_doubt || session.leaving_since.is_some() => STOP_WAIT,
            None if deadline.is_none() => Span::ZERO,
            None => self.renewal_wait(),
        };
        let timeout = wait + self.setup.renewal_margin;
        let action = Action::Renew {
            deadline,
            acknowledged,
            wait,
        };
        let order = self.send_order(worker, timeout, action, now);
        if let Some(session) = self.sessions.get_mut(worker) {
            session.renewal = order.map(|id| (id, now));
        }
    }

    /// Ends the recovery once every worker has listed its runs, or all leases
    /// that an earlier leader granted have expired.
    pub(super) fn check_recovery(&mut self, now: Time) {
        if !self.recovering {
            return;
        }
        let reconciled = self.sessions.values().all(|session| session.reconciled);
        if reconciled || now >= self.recovery_deadline {
            self.recovering = false;
            self.ended_charges = IndexMap::default();
            for stage in self.stages.values_mut() {
                stage.recovering = false;
            }
            self.schedule.want();
            self.break_partial_gangs(now);
        }
    }

    /// Breaks the gangs that the earlier leader didn't start as a whole: their
    /// members would wait for others that nobody starts.
    fn break_partial_gangs(&mut self, now: Time) {
        let mut gangs: IndexMap<job::Stage, Vec<(Task, u64)>> = IndexMap::default();
        for (task, place) in &self.placements {
            if self.is_in_gang(task) {
                let members = gangs.entry(task.stage).or_default();
                members.push((*task, place.run));
            }
        }
        for (id, members) in gangs {
            let count = self.stages.get(&id).map(|stage| stage.step.count as usize);
            let is_whole = count == Some(members.len())
                && members.windows(2).all(|pair| pair[0].1 == pair[1].1);
            if let (false, Some((first, _))) = (is_whole, members.first()) {
                self.break_gang(first, now);
            }
        }
    }
}

/// How long a worker may delay its answer to a renewal while a stop is in
/// progress or a start in doubt; short, so that the freed capacity is known soon.
const STOP_WAIT: Span = Span::from_millis(250);

/// Whether an order to a worker may have to be sent again, its lease has ended or it
/// may be gone. Most workers need nothing at most times.
fn is_unsettled(session: &Session, now: Time) -> bool {
    let mut runs = session.runs.values();
    session.unanswered > 0
        || session.leaving_since.is_some()
        || now >= session.lease_end()
        || runs.any(|run| run.state != RunState::Running)
}

/// Whether a renewal is due, and the reported ends are durable or have been
/// waited for long enough.
fn is_renewal_due(session: &Session, now: Time) -> bool {
    if session.renewal.is_some() || session.next_renewal > now {
        return false;
    }
    !session.has_open_ends() || now.since(session.last_answer) >= DURABILITY_WAIT
}
