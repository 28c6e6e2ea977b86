//! Reconciliation of a worker's reported runs with the leader's: active runs,
//! runs that have ended, and runs that the worker doesn't list any more.

use crate::fleet::decision::{Cause, Decision};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::answer::UNHEALTHY_BACKOFF;
use crate::fleet::dispatch::dispatcher::{PendingOrder, Place};
use crate::fleet::dispatch::estimate::smoothed_slowdown;
use crate::fleet::dispatch::session::{Run, RunState};
use crate::fleet::job::Task;
use crate::fleet::order::{ActiveRun, EndedRun, Outcome, Status};
use crate::fleet::{Command, Job, State};
use crate::id;
use crate::unit::{Span, Time, Wall};

/// How long after the time that a stop may take a run that is still listed is stopped
/// again: another process may have confirmed the stop.
const STOP_SLACK: Span = Span::from_millis(250);

impl Dispatcher {
    /// Handles the status that a worker sent in answer to a lease renewal.
    pub(super) fn reconcile(
        &mut self,
        state: &State,
        order: &PendingOrder,
        status: &Status,
        now: Time,
        wall: Wall,
    ) {
        let worker = &order.worker;
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        if status
            .started_at
            .is_some_and(|started_at| started_at != session.incarnation.started_at)
        {
            // Another incarnation answered. It registers through its own report;
            // until then none of its runs are known.
            session.note_later_incarnation(self.setup.lease_limit, now);
            session.unanswered += 1;
            session.next_renewal = now.after(UNHEALTHY_BACKOFF);
            self.stop_unconfirmed(worker, now);
            return;
        }
        if let Some(grant) = &mut session.late_grant {
            grant.note_answer(self.setup.lease_limit, now);
        }
        if session.unanswered > 0 || !session.reconciled {
            self.effects.decisions.push(Decision::WorkerResponsive {
                incarnation: session.incarnation.clone(),
                running: status.running.len(),
                clock: Time::from_millis(status.clock),
                lease: session.lease_remaining(now),
            });
        }
        session.unanswered = 0;
        session.sign = None;
        // What ran under an earlier leader isn't known while ends are missing.
        session.reconciled |= !status.ends_cut;
        self.end_silence(worker);
        self.open_listed_stages(state, status, now, wall);
        for ended in &status.ended {
            self.handle_run_end(state, worker, ended, now, wall);
        }
        for running in &status.running {
            let read_at = Time::from_millis(status.clock);
            self.update_run(state, worker, running, read_at, now);
        }
        self.note_lasting_probe(worker);
        self.drop_unlisted_runs(worker, status, order.sent_at, now);
        if !status.ends_cut {
            self.unconfirmed.unbind_listed(worker, order.sent_at);
        }
        self.stop_runs_if_leaving(worker, now);
        self.remove_idle(worker, now, wall);
        self.restart_stragglers(worker, now);
    }

    /// Handles the end of a run that a worker reported, and proposes it to the
    /// log where it counts.
    fn handle_run_end(
        &mut self,
        state: &State,
        worker: &id::Worker,
        ended: &EndedRun,
        now: Time,
        wall: Wall,
    ) {
        let task = ended.task;
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        let open = state.job(&task.stage.job).is_some_and(Job::is_open);
        let long_running = self
            .stages
            .get(&task.stage)
            .is_some_and(|stage| stage.step.long_running);
        let counts =
            matches!(ended.outcome, Outcome::Done | Outcome::Failed) && !long_running;
        let logged = open && counts;
        if !session.record_end(ended.sequence, task, ended.run, !logged) {
            return;
        }
        self.open_jobs.mark_started(&task.stage.job);
        let run = session.runs.get_mut(&(task, ended.run));
        let from_start = run.as_ref().filter(|run| run.progress.is_from_start());
        let started_at = from_start.map(|run| run.started_at);
        let is_current = run.as_ref().is_some_and(|run| !run.may_run_earlier(now));
        if let Some(run) = run
            && !ended.checkpoint.is_empty()
        {
            run.checkpoint.clone_from(&ended.checkpoint);
        }
        self.effects.decisions.push(Decision::End {
            task,
            run: ended.run,
            worker: worker.clone(),
            outcome: ended.outcome,
            sequence: ended.sequence,
        });
        if logged {
            self.unlogged.insert(task);
            let reporters = self.reporters.entry((task, ended.run)).or_default();
            reporters.push(worker.clone());
            self.effects.commands.push(Command::End {
                at: wall,
                task,
                run: ended.run,
                done: ended.outcome == Outcome::Done,
            });
        }
        if let Some(stage) = self.stages.get_mut(&task.stage) {
            match ended.outcome {
                Outcome::Done if counts => {
                    let unit = if stage.step.gang { 0 } else { task.index };
                    stage.done.insert(unit);
                    stage.pending.remove(&task.index);
                }
                Outcome::Failed => {
                    let key = stage.unit_key(task.index);
                    let failed = stage.failed_on.entry(key).or_default();
                    failed.insert(worker.clone());
                }
                _ => {}
            }
            if let (Outcome::Done, Some(started_at)) = (ended.outcome, started_at) {
                let run_time = now.since(started_at);
                stage.record_pace(run_time.as_millis() * 1_000 / 100);
                self.estimator
                    .observe(&stage.queue_name, &stage.step.image, run_time);
                if let Some(session) = self.sessions.get_mut(worker) {
                    let kind = session.kind().to_owned();
                    let ratio =
                        self.estimator
                            .observe_kind(&stage.queue_name, &kind, run_time);
                    session.slowdown = smoothed_slowdown(session.slowdown, ratio);
                    if self.setup.learn_speeds {
                        session.speed.observe(run_time, &mut stage.reference);
                    }
                }
            }
        }
        match ended.outcome {
            Outcome::Done => self.note_completion(worker),
            Outcome::Failed => self.count_failure(worker, &task, now),
            _ => {}
        }
        if is_current {
            self.release_run(worker, &task, ended.run, now);
        }
    }

    /// Updates a run that a worker lists as active; `read_at` is the time on the
    /// worker's clock.
    fn update_run(
        &mut self,
        state: &State,
        worker: &id::Worker,
        running: &ActiveRun,
        read_at: Time,
        now: Time,
    ) {
        let task = running.task;
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        let Some(run) = session.runs.get_mut(&(task, running.run)) else {
            return self.adopt_or_stop(state, worker, running, now);
        };
        let is_overdue = |at: Time| now.since(at) >= self.setup.stop_time + STOP_SLACK;
        if run.state == RunState::Stopping && run.confirmed_at.is_some_and(is_overdue) {
            run.confirmed_at = None;
            run.retry_at = now;
        }
        run.unlisted_since = None;
        if run.state == RunState::Starting {
            run.state = RunState::Running;
            run.confirmed_at = Some(now);
            self.open_jobs.mark_started(&task.stage.job);
        }
        if !running.checkpoint.is_empty() {
            run.checkpoint.clone_from(&running.checkpoint);
        }
        run.measurement = running.measurement;
        run.progress.record(running.progress, read_at, now);
    }

    /// Adopts a run that an earlier leader started, or stops it if its task is
    /// placed elsewhere or completed.
    fn adopt_or_stop(
        &mut self,
        state: &State,
        worker: &id::Worker,
        running: &ActiveRun,
        now: Time,
    ) {
        let task = running.task;
        let requirements = state.job(&task.stage.job).and_then(|job| {
            let step = job.spec.steps.get(usize::from(task.stage.step))?;
            Some((step.demand(), step.best_effort, step.tail_limit))
        });
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        let owner = state.owners().of(&task.stage.job);
        let charge = owner.and_then(|owner| owner.charge(&task));
        // The demand of a run whose job is over isn't known any more, so the
        // worker gets no tasks until that run has ended.
        let unknown_demand = requirements.is_none();
        let (demand, best_effort, tail_limit) = requirements.unwrap_or_default();
        let run = Run {
            confirmed_at: Some(now),
            checkpoint: running.checkpoint.clone(),
            best_effort,
            tail_limit,
            measurement: running.measurement,
            unknown_demand,
            charge,
            ..Run::new(running.run, demand, RunState::Running, now)
        };
        session.insert(task, run);
        let unplaced = !self.placements.contains_key(&task);
        let stage = self.stages.get_mut(&task.stage);
        // Being pending isn't a condition: the task isn't pending while an
        // earlier failure is being written to the log.
        let adopter = stage.filter(|stage| {
            let unit = if stage.step.gang { 0 } else { task.index };
            unplaced && !stage.done.contains(&unit)
        });
        if let Some(stage) = adopter {
            stage.pending.remove(&task.index);
            let place = Place {
                worker: worker.clone(),
                run: running.run,
            };
            self.placements.insert(task, place);
            self.open_jobs.mark_started(&task.stage.job);
            self.effects.decisions.push(Decision::Adopt {
                task,
                run: running.run,
                worker: worker.clone(),
            });
            return;
        }
        let place = self.placements.get(&task);
        if let Some(place) = place.filter(|place| place.worker != *worker) {
            self.effects.decisions.push(Decision::SecondRun {
                task,
                run: running.run,
                worker: worker.clone(),
                other_run: place.run,
                other_worker: place.worker.clone(),
            });
        }
        self.stop_superseded(worker, &task, running.run, now);
    }

    /// Drops the runs that a worker doesn't list any more, of those confirmed
    /// before it was asked at `asked_at`; none if ends may be missing, as one of
    /// them may have succeeded.
    ///
    /// A run that is being stopped may be left out until its end is listed, so that one
    /// is dropped only if the worker was asked once its stop must be over.
    fn drop_unlisted_runs(
        &mut self,
        worker: &id::Worker,
        status: &Status,
        asked_at: Time,
        now: Time,
    ) {
        let stop_time = self.setup.stop_time;
        let session = self.sessions.get_mut(worker);
        let Some(session) = session.filter(|_| !status.ends_cut) else {
            return;
        };
        let listed = |task: &Task, run: u64| {
            let mut all = status.running.iter();
            all.any(|running| running.task == *task && running.run == run)
        };
        // A renewal sent in the same millisecond as the order's answer arrived
        // may have been sent before it, and answered before the start.
        let is_unlisted = |((task, number), run): &(&(Task, u64), &mut Run)| {
            let confirmed = run.confirmed_at.is_some_and(|at| at < asked_at);
            run.is_settled(now) && confirmed && !listed(task, *number)
        };
        let mut gone = Vec::new();
        for ((task, number), run) in session.runs.iter_mut().filter(is_unlisted) {
            run.unlisted_since.get_or_insert(now);
            let ended_by = run.unlisted_end(stop_time);
            if ended_by.is_some_and(|ended_by| ended_by <= asked_at) {
                gone.push((*task, *number));
            }
        }
        for (task, number) in gone {
            self.drop_run(worker, &task, number, Cause::NotListed, now);
        }
    }
}
