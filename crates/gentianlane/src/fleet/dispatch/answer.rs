//! Handling of workers' answers to orders, and of answers to advice requests.

use crate::fleet::State;
use crate::fleet::decision::{Cause, Decision};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::advice::Relay;
use crate::fleet::dispatch::dispatcher::{OrderKind, PendingOrder, Place};
use crate::fleet::dispatch::gone::Sign;
use crate::fleet::dispatch::lease::MAX_START_TRIES;
use crate::fleet::dispatch::session::{Run, RunState, Session};
use crate::fleet::dispatch::stage::Permit;
use crate::fleet::job::Task;
use crate::fleet::order::{AdviceResponse, Answer, CallId, Reason};
use crate::id;
use crate::unit::{Span, Time, Wall};

/// How long a worker that refused a start for lack of capacity gets no new
/// tasks.
const CAPACITY_BACKOFF: Span = Span::from_millis(300);

/// How long an unhealthy worker gets no new tasks, and the delay before a step
/// or a renewal that a worker refused is tried again.
pub(super) const UNHEALTHY_BACKOFF: Span = Span::from_millis(1_000);

/// The delay before an order without an answer is sent again.
const ORDER_RETRY_DELAY: Span = Span::from_millis(60);

/// The delay before the next renewal to a worker that refused the connection.
/// The refusal arrives at once, so without a delay each such worker would be
/// tried hundreds of times.
const UNREACHABLE_RETRY_DELAY: Span = Span::from_millis(250);

/// The reading of the worker's clock that an answer carries.
fn clock_of(answer: &Answer) -> Option<u64> {
    match answer {
        Answer::Done { clock } => Some(*clock),
        Answer::Refused { clock, .. } => *clock,
        Answer::Status(status) => Some(status.clock),
        Answer::OtherIncarnation
        | Answer::Replaced
        | Answer::Unreachable
        | Answer::ConnectionRefused
        | Answer::Lost
        | Answer::Unsent => None,
    }
}

impl Dispatcher {
    /// Handles the outcome of an order; an unknown id is ignored.
    pub fn handle_answer(
        &mut self,
        state: &State,
        id: CallId,
        answer: Answer,
        now: Time,
        wall: Wall,
    ) {
        let Some(order) = self.pending_orders.swap_remove(&id) else {
            return;
        };
        let answer = match &answer {
            Answer::Status(status) if !order.accepts(status) => Answer::Lost,
            _ => answer,
        };
        if order.kind == OrderKind::Question {
            return self.handle_question_answer(state, id, &order, &answer, now, wall);
        }
        if let (OrderKind::Start(task, run), Answer::Lost) = (order.kind, &answer) {
            let start = self.add_unconfirmed(&order, task, run);
            self.effects.decisions.push(Decision::StartUnanswered {
                task,
                run,
                worker: order.worker.clone(),
                binds: start.binds_until.since(now),
            });
            self.propose_unconfirmed(task, start, now, wall);
        }
        if order.extends_lease && answer == Answer::Lost {
            self.unanswered_grants.add(&order.worker, order.sent_at);
        }
        let Some(session) = self.sessions.get_mut(&order.worker) else {
            return;
        };
        if session.incarnation.started_at != order.started_at {
            return;
        }
        let incarnation = session.incarnation.clone();
        if order.kind == OrderKind::Renew {
            session.renewal = None;
            session.next_renewal = now;
        }
        match &answer {
            Answer::OtherIncarnation => {
                self.handle_other_worker(&order.worker, now, wall);
            }
            Answer::Replaced => self.note_later_process(&order.worker, now),
            // A partition refuses connections just as a dead process does, and one that
            // shuts down may close its listener before its runs have ended.
            Answer::ConnectionRefused | Answer::Unreachable | Answer::Lost => {
                let is_refused = answer == Answer::ConnectionRefused;
                if is_refused || answer == Answer::Unreachable {
                    session.unreachable += 1;
                }
                let is_ending = session.is_ending();
                if order.kind == OrderKind::Renew {
                    session.unanswered += 1;
                    session.next_renewal = match answer {
                        // Its process has ended, most likely.
                        Answer::Lost
                            if session.leaving_since.is_some()
                                && session.unanswered == 1 =>
                        {
                            now
                        }
                        Answer::Lost => now.after(ORDER_RETRY_DELAY),
                        _ => now.after(UNREACHABLE_RETRY_DELAY),
                    };
                    if session.unanswered == 1 {
                        let lease = session.lease_remaining(now);
                        self.effects.decisions.push(Decision::WorkerSilent {
                            incarnation: incarnation.clone(),
                            cause: match answer {
                                Answer::ConnectionRefused => Cause::ConnectionRefused,
                                Answer::Unreachable => Cause::Unreachable,
                                _ => Cause::NoAnswer,
                            },
                            lease,
                        });
                        let is_timeout = now.since(order.sent_at) >= order.timeout;
                        self.silences.begin(&order.worker, is_timeout, now);
                    }
                }
                if is_refused && is_ending {
                    self.note_sign(&order.worker, Sign::ConnectionRefused, now, wall);
                }
                self.record_silence(&order.worker, now, wall);
            }
            // Nothing has changed, so this calls for no placement pass either.
            Answer::Unsent => return self.handle_unsent(&order, id, now),
            Answer::Done { .. } | Answer::Refused { .. } | Answer::Status(_) => {
                session.last_answer = now;
                session.unreachable = 0;
                let is_named = matches!(&answer, Answer::Status(status)
                    if status.started_at.unwrap_or_default() == order.started_at);
                if clock_of(&answer).is_some_and(|clock| {
                    !session.update_clock(clock, order.clock, is_named, now)
                }) {
                    self.note_later_process(&order.worker, now);
                }
            }
        }
        self.require_placement();
        match (order.kind, answer) {
            (OrderKind::Renew, Answer::Status(status)) => {
                self.reconcile(state, &order, &status, now, wall);
            }
            (OrderKind::Renew, Answer::Refused { reason, .. }) => {
                self.handle_renewal_refusal(&order, reason, now);
            }
            (OrderKind::Start(task, run), answer) => {
                self.handle_start_answer(&order, &task, run, &answer, now);
            }
            (OrderKind::Stop(task, run), answer) => {
                self.handle_stop_answer(&order, &task, run, &answer, now);
            }
            (
                OrderKind::Throttle(task, run),
                Answer::Lost
                | Answer::Unreachable
                | Answer::ConnectionRefused
                | Answer::OtherIncarnation
                | Answer::Refused {
                    reason: Reason::Unhealthy,
                    ..
                },
            ) => {
                self.repeat_throttling(&order.worker, &task, run, now);
            }
            _ => {}
        }
    }

    /// Schedules an order that wasn't sent to be sent later; it doesn't count as a
    /// try.
    fn handle_unsent(&mut self, order: &PendingOrder, id: CallId, now: Time) {
        let retry_at = now.after(ORDER_RETRY_DELAY);
        match order.kind {
            OrderKind::Renew => {
                if let Some(session) = self.sessions.get_mut(&order.worker) {
                    session.next_renewal = retry_at;
                }
            }
            OrderKind::Start(task, number) | OrderKind::Stop(task, number) => {
                // A start may have been followed by a stop by now.
                if let Some(run) = self.run_mut(&order.worker, &task, number)
                    && run.order == Some(id)
                {
                    run.order = None;
                    run.tries = run.tries.saturating_sub(1);
                    run.retry_at = retry_at;
                }
            }
            OrderKind::Throttle(task, run) => {
                self.repeat_throttling(&order.worker, &task, run, now);
            }
            OrderKind::Question => {}
        }
    }

    /// Notes that a later process of a worker, which hasn't registered, has answered. The
    /// answer to the next renewal tells which one it is.
    fn note_later_process(&mut self, worker: &id::Worker, now: Time) {
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        session.note_later_incarnation(self.setup.lease_limit, now);
        session.unanswered += 1;
        session.next_renewal = now;
        self.effects.decisions.push(Decision::WorkerAvoided {
            worker: worker.clone(),
            cause: Cause::OtherIncarnation,
            duration: Span::ZERO,
        });
        self.stop_unconfirmed(worker, now);
    }

    /// Handles the answer of another worker at a worker's address. No order is sent there
    /// for a while.
    pub(super) fn handle_other_worker(
        &mut self,
        worker: &id::Worker,
        now: Time,
        wall: Wall,
    ) {
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        session.unanswered += 1;
        session.next_renewal = now.after(UNHEALTHY_BACKOFF);
        self.record_runs(worker, now, wall);
        self.note_sign(worker, Sign::OtherWorker, now, wall);
    }

    fn handle_renewal_refusal(
        &mut self,
        order: &PendingOrder,
        reason: Reason,
        now: Time,
    ) {
        let Some(session) = self.sessions.get_mut(&order.worker) else {
            return;
        };
        session.unanswered += 1;
        session.next_renewal = now.after(UNHEALTHY_BACKOFF);
        self.effects.decisions.push(Decision::WorkerAvoided {
            worker: order.worker.clone(),
            cause: Cause::Refusals,
            duration: UNHEALTHY_BACKOFF,
        });
        // The worker has seen a later term, so this leader has been replaced.
        if reason == Reason::StaleToken {
            session.avoid_until = now.after(self.setup.lease);
        }
    }

    /// A task's run on a worker, if it is the one with the given number.
    pub(super) fn run_mut(
        &mut self,
        worker: &id::Worker,
        task: &Task,
        number: u64,
    ) -> Option<&mut Run> {
        let session = self.sessions.get_mut(worker)?;
        session.runs.get_mut(&(*task, number))
    }

    fn handle_start_answer(
        &mut self,
        order: &PendingOrder,
        task: &Task,
        number: u64,
        answer: &Answer,
        now: Time,
    ) {
        let session = self.sessions.get(&order.worker);
        let exceeds_limit = |session: &Session| {
            let run = session.runs.get(&(*task, number));
            let charge = run.and_then(|run| run.charge.as_ref());
            charge.is_some_and(|charge| self.ledger.is_exceeded_by(charge))
        };
        let may_repeat = session.is_some_and(|session| {
            !session.is_ending() && !session.is_overcommitted() && !exceeds_limit(session)
        });
        let Some(run) = self.run_mut(&order.worker, task, number) else {
            return;
        };
        if run.state != RunState::Starting {
            return;
        }
        run.order = None;
        // An earlier try without an answer may have been carried out or may be yet,
        // whatever became of this one.
        let in_doubt = run.tries > 1;
        match answer {
            Answer::Done { .. } => {
                run.state = RunState::Running;
                run.confirmed_at = Some(now);
                self.open_jobs.mark_started(&task.stage.job);
            }
            // The worker knows the run from an earlier order without an answer;
            // the answer to the next renewal tells how it ended.
            Answer::Refused {
                reason: Reason::StaleRun,
                ..
            } => run.confirmed_at = Some(now),
            Answer::Refused { reason, .. } => {
                self.handle_start_refusal(order, task, number, *reason, now);
                match in_doubt {
                    false => {
                        let cause = Cause::NotListed;
                        self.drop_run(&order.worker, task, number, cause, now);
                    }
                    // The answer to the next renewal tells whether an earlier try was
                    // carried out.
                    true if reason.voids_earlier_tries() => {
                        if let Some(run) = self.run_mut(&order.worker, task, number) {
                            run.confirmed_at = Some(now);
                        }
                    }
                    true => self.give_up_start(task, now),
                }
            }
            Answer::Unreachable
            | Answer::ConnectionRefused
            | Answer::OtherIncarnation
                if !in_doubt =>
            {
                self.drop_run(&order.worker, task, number, Cause::Unreachable, now);
            }
            Answer::Replaced if !in_doubt => {
                let cause = Cause::OtherIncarnation;
                self.drop_run(&order.worker, task, number, cause, now);
            }
            // Sending it again is safe: a worker starts a run at most once.
            Answer::Lost if run.tries < MAX_START_TRIES && may_repeat => {
                self.send_start(&order.worker, task, number, now);
            }
            _ => run.retry_at = now.after(ORDER_RETRY_DELAY),
        }
    }

    fn handle_start_refusal(
        &mut self,
        order: &PendingOrder,
        task: &Task,
        run: u64,
        reason: Reason,
        now: Time,
    ) {
        let worker = &order.worker;
        self.effects.decisions.push(Decision::StartRefused {
            task: *task,
            run,
            worker: worker.clone(),
            reason,
        });
        let backoff = match reason {
            Reason::NoCapacity => Some(CAPACITY_BACKOFF),
            Reason::Unhealthy => Some(UNHEALTHY_BACKOFF),
            _ => None,
        };
        if let Some(backoff) = backoff
            && let Some(session) = self.sessions.get_mut(worker)
        {
            session.avoid_until = session.avoid_until.max(now.after(backoff));
        }
        if let Some(stage) = self.stages.get_mut(&task.stage) {
            match reason {
                Reason::InvalidTicket => {
                    if let Some(permit) =
                        stage.eligible.as_mut().and_then(|map| map.get_mut(worker))
                    {
                        permit.expires = now;
                    }
                }
                Reason::Malformed | Reason::StaleToken => {
                    stage.not_before = now.after(UNHEALTHY_BACKOFF);
                }
                _ => {}
            }
        }
    }

    /// Stops a run that may have started, and breaks its gang.
    pub(super) fn give_up_start(&mut self, task: &Task, now: Time) {
        self.stop_run(task, Cause::NoAnswer, now);
        self.break_gang(task, now);
    }

    /// Drops a run that doesn't exist on its worker, so that its task is pending
    /// again.
    ///
    /// The other members of its gang are stopped, as they would wait for it.
    pub(super) fn drop_run(
        &mut self,
        worker: &id::Worker,
        task: &Task,
        run: u64,
        cause: Cause,
        now: Time,
    ) {
        self.log_lost_run(worker, task, run, cause, now);
        self.release_run(worker, task, run, now);
        self.break_gang(task, now);
    }

    /// Whether a task has to run together with others of an open step.
    pub(super) fn is_in_gang(&self, task: &Task) -> bool {
        let stage = self.stages.get(&task.stage);
        stage.is_some_and(|stage| stage.step.gang && stage.step.count > 1)
    }

    /// Stops the remaining members of a gang after one of them was lost.
    pub(super) fn break_gang(&mut self, task: &Task, now: Time) {
        if !self.is_in_gang(task) {
            return;
        }
        let others = self
            .placements
            .keys()
            .filter(|other| other.stage == task.stage);
        let others: Vec<Task> = others.copied().collect();
        for other in others {
            let place = self.placements.get(&other).cloned();
            if !place.is_some_and(|place| self.drop_unsent_run(&place, &other, now)) {
                self.stop_run(&other, Cause::GangIncomplete, now);
            }
        }
    }

    /// Drops a run whose start was never sent, so that its task can be placed
    /// elsewhere at once; false for any other run.
    pub(super) fn drop_unsent_run(
        &mut self,
        place: &Place,
        task: &Task,
        now: Time,
    ) -> bool {
        let Place { worker, run } = place;
        if !self
            .run_mut(worker, task, *run)
            .is_some_and(|run| run.is_unsent())
        {
            return false;
        }
        self.log_lost_run(worker, task, *run, Cause::Unsent, now);
        self.release_run(worker, task, *run, now);
        true
    }

    fn handle_stop_answer(
        &mut self,
        order: &PendingOrder,
        task: &Task,
        number: u64,
        answer: &Answer,
        now: Time,
    ) {
        let Some(run) = self.run_mut(&order.worker, task, number) else {
            return;
        };
        if run.state != RunState::Stopping {
            return;
        }
        run.order = None;
        match answer {
            Answer::Done { .. }
            | Answer::Refused {
                reason: Reason::StaleRun,
                ..
            } => {
                run.confirmed_at.get_or_insert(now);
            }
            _ => run.retry_at = now.after(ORDER_RETRY_DELAY),
        }
    }

    /// Lets a throttling order that may not have been carried out be sent again.
    fn repeat_throttling(
        &mut self,
        worker: &id::Worker,
        task: &Task,
        run: u64,
        now: Time,
    ) {
        if let Some(run) = self.run_mut(worker, task, run) {
            run.share_in_doubt = true;
            run.retry_at = now.after(ORDER_RETRY_DELAY);
        }
    }

    /// Handles the answer to an advice request from the relay that sent it.
    pub fn handle_advice(&mut self, relay: Relay, response: AdviceResponse, now: Time) {
        let Some(query) = self.relays.complete(relay, response.id) else {
            return;
        };
        self.require_placement();
        let elapsed = now.since(query.sent_at);
        let stage_id = query.stage;
        let Some(eligible) = response.eligible else {
            self.relays.back_off(relay, now);
            self.effects.decisions.push(Decision::AdviceLost {
                stage: stage_id,
                elapsed,
            });
            if let Some(stage) = self.stages.get_mut(&stage_id) {
                stage.open_requests.retain(|&open| open != query.id);
            }
            return;
        };
        self.effects.decisions.push(Decision::Advice {
            stage: stage_id,
            asked: query.workers.len(),
            eligible: eligible.len(),
            elapsed,
        });
        let Some(stage) = self.stages.get_mut(&stage_id) else {
            return;
        };
        stage.open_requests.retain(|&open| open != query.id);
        let Some(advice) = stage.queue.advice else {
            return;
        };
        let expires = now.after(advice.ticket_validity);
        let permits = stage.eligible.get_or_insert_default();
        for (worker, ticket) in eligible {
            permits.insert(worker, Permit { ticket, expires });
        }
        stage.asked.extend(query.workers);
        stage.examined = false;
    }
}
