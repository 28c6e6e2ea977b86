//! Handling of changes in the replicated state and of workers' reports.

use std::sync::Arc;

use crate::collections::IndexSet;

use crate::fleet::decision::{Cause, Decision};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::advice::Relay;
use crate::fleet::dispatch::dispatcher::{OrderKind, Place};
use crate::fleet::dispatch::gone::Evidence;
use crate::fleet::dispatch::grant::LateGrant;
use crate::fleet::dispatch::open::Submission;
use crate::fleet::dispatch::session::{RunState, Session, longest_lease};
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::dispatch::survey::Seen;
use crate::fleet::job::{self, Spec, Step, Task};
use crate::fleet::order::Status;
use crate::fleet::{Event, Job, State};
use crate::id;
use crate::unit::{Span, Time, Wall};

/// How long after a worker has restarted its earlier incarnation's runs are
/// first ordered to stop: an order that was sent to the earlier incarnation may
/// be carried out by the new one within this time.
const LATE_ORDER_DELAY: Span = Span::from_millis(400);

impl Dispatcher {
    /// Handles a change that was applied to the replicated state.
    pub fn handle_event(&mut self, state: &State, event: &Event, now: Time, wall: Wall) {
        self.require_placement();
        match event {
            Event::PlanReplaced => {
                self.apply_plan(state);
                self.rebuild_ledger(state, now);
            }
            Event::JobSubmitted(job) => {
                if let Some(submitted) = state.job(job) {
                    let submission = Submission::of(state, job, submitted);
                    self.open_jobs.add(*job, submission, now, Span::ZERO);
                }
                self.activate(state, *job, now, wall);
            }
            Event::JobFinished(job) => self.end_job(state, job, now),
            Event::RunEnded(task, run) => {
                self.confirm_run_end(state, task, *run, now, wall);
            }
            Event::WorkerJoined(worker) => {
                self.add_incarnation(state, worker, now, wall);
            }
            Event::WorkerDraining(worker) => {
                if let Some(session) = self.sessions.get_mut(worker) {
                    session.draining = true;
                }
                // A worker that leaves is assumed not to come back under its name.
                self.unconfirmed.unbind(worker, now);
            }
            Event::WorkerLeft(incarnation) => {
                self.forget_incarnation(state, incarnation, Cause::Left, now);
            }
            Event::WorkerCrashed(incarnation) => {
                self.forget_incarnation(state, incarnation, Cause::Crashed, now);
            }
            Event::RunsExposed(incarnation) => self.start_exposed(incarnation, now),
            Event::TaskSuspected(task, suspicion) => {
                self.suspect_task(task, *suspicion);
            }
            Event::SubmissionRejected(job) => self.open_jobs.withdraw(job),
            Event::UnknownJobCancelled(_) => {}
        }
    }

    /// Updates open steps to a new plan; a step whose pool has changed loses its
    /// advice.
    fn apply_plan(&mut self, state: &State) {
        for stage in self.stages.values_mut() {
            let name = state.job(&stage.id.job).map(|job| job.queue.as_str());
            let Some(queue) = name.and_then(|name| state.queue(name)) else {
                continue;
            };
            if queue.pool != stage.queue.pool {
                stage.eligible = None;
                stage.asked.clear();
                stage.may_ask = true;
            }
            stage.examined = false;
            stage.queue = queue.clone();
        }
        let access = state.owners().access();
        self.shares
            .retain(|team| access.is_some_and(|access| access.team(team).is_some()));
        self.fleet_revision += 1;
    }

    /// Opens a stage for each step of a job whose occurrence is due and whose predecessors
    /// are done, of the occurrences that this leader hasn't opened yet, for as long as there
    /// is memory for them.
    pub(super) fn activate(&mut self, state: &State, id: job::Id, now: Time, wall: Wall) {
        let Some(job) = state.job(&id).filter(|job| job.is_open()) else {
            return;
        };
        // A job may be submitted as its queue is removed.
        let has_queue = state.queue(&job.queue).is_some();
        let due = if has_queue {
            job.spec.due_count(wall)
        } else {
            0
        };
        let mut next = job.occurrences.first_open(self.recurrences.next(&id));
        let (finished, limit) = (self.finished_bytes(state), self.setup.job_memory);
        while next < due && self.open_jobs.open_occurrence(&id, next, finished, limit) {
            self.open_occurrence(state, id, next, now, wall);
            next = job.occurrences.first_open(next + 1);
        }
        match job.spec.due(next) {
            Some(due) if next < job.spec.occurrences() => {
                self.recurrences.set(id, next, due);
            }
            _ => self.recurrences.remove(&id),
        }
    }

    /// Opens a stage for each step of an occurrence whose predecessors are done.
    fn open_occurrence(
        &mut self,
        state: &State,
        id: job::Id,
        occurrence: u32,
        now: Time,
        wall: Wall,
    ) {
        let Some(job) = state.job(&id).filter(|job| job.is_open()) else {
            return;
        };
        for step in (0..=u16::MAX).take(job.spec.steps.len()) {
            let stage = job::Stage {
                job: id,
                occurrence,
                step,
            };
            self.open_stage(state, &stage, now, wall);
        }
    }

    /// Opens the stages of scheduled occurrences that aren't due yet by this
    /// leader's wall clock, but of which a worker lists runs: they were due by the
    /// clock of an earlier leader.
    pub(super) fn open_listed_stages(
        &mut self,
        state: &State,
        status: &Status,
        now: Time,
        wall: Wall,
    ) {
        let running = status.running.iter().map(|run| run.task.stage);
        let ended = status.ended.iter().map(|run| run.task.stage);
        let is_scheduled = |stage: &job::Stage| {
            let job = state.job(&stage.job);
            job.is_some_and(|job| job.spec.schedule.is_some())
        };
        let unopened: IndexSet<job::Stage> = running
            .chain(ended)
            .filter(|stage| !self.stages.contains_key(stage) && is_scheduled(stage))
            .collect();
        for listed in unopened {
            self.open_stage(state, &listed, now, wall);
        }
    }

    /// Opens a stage of a job if it isn't done and its predecessors are.
    fn open_stage(&mut self, state: &State, id: &job::Stage, now: Time, wall: Wall) {
        let Some(job) = state.job(&id.job).filter(|job| job.is_stage_open(id)) else {
            return;
        };
        let index = usize::from(id.step);
        let (Some(queue), Some(step)) =
            (state.queue(&job.queue), job.spec.steps.get(index))
        else {
            return;
        };
        if self.stages.contains_key(id) || !job.is_ready(id) {
            return;
        }
        let paths = self.remaining_paths(&job.queue, &job.spec);
        let open_job = self.open_jobs.get(&id.job);
        let (queued_at, prior_wait) =
            open_job.map_or((now, Span::ZERO), |job| (job.queued_at, job.prior_wait));
        let payload = open_job.map_or_else(
            || job.spec.payload.as_str().into(),
            |job| Arc::clone(&job.payload),
        );
        let mut stage = new_stage(job, *id, step, payload, now);
        stage.queue = queue.clone();
        stage.queue_name.clone_from(&job.queue);
        stage.critical_path = paths.iter().copied().max().unwrap_or_default();
        stage.remaining_path = paths.get(index).copied().unwrap_or_default();
        stage.work = job.spec.work();
        if let Some(owner) = state.owners().of(&id.job) {
            stage.owner = Some(owner.team.clone());
            stage.beyond_share = owner.beyond_share;
        }
        (stage.queued_at, stage.prior_wait) = match job.spec.due(id.occurrence) {
            Some(due) => {
                stage.not_before = now.after(due.since(wall));
                // An earlier leader may have opened it by another clock.
                stage.recovering = self.recovering;
                (now, wall.since(due))
            }
            None => (queued_at, prior_wait),
        };
        self.stages.insert(*id, stage);
        self.load_suspects(state, id);
        self.count_rack_demand(id, now);
    }

    /// For each step, the expected run time of the longest chain from it on.
    fn remaining_paths(&self, queue: &str, spec: &Spec) -> Vec<Span> {
        let mut paths = vec![Span::ZERO; spec.steps.len()];
        for (index, step) in spec.steps.iter().enumerate().rev() {
            let duration = self.estimator.expected_duration(queue, step);
            paths[index] += duration;
            let path_from_step = paths[index];
            for &dependency in &step.depends_on {
                if let Some(path) = paths.get_mut(usize::from(dependency)) {
                    *path = (*path).max(path_from_step);
                }
            }
        }
        paths
    }

    /// Activates the occurrences of jobs that have become due.
    pub(super) fn activate_due(&mut self, state: &State, now: Time, wall: Wall) {
        let due: Vec<job::Id> = self.recurrences.due(wall).collect();
        for id in due {
            self.activate(state, id, now, wall);
        }
    }

    /// Removes all that concerns a job that is over, and stops its runs.
    fn end_job(&mut self, state: &State, id: &job::Id, now: Time) {
        if let Some((phase, _)) = state.job(id).and_then(|job| job.outcome) {
            self.effects
                .decisions
                .push(Decision::JobFinished { job: *id, phase });
        }
        self.count_ended_job(state, id);
        self.open_jobs.remove(id);
        self.recurrences.remove(id);
        // Unlike `retain`, this moves none of the other stages.
        let stages = self.stages.keys().filter(|stage| stage.job == *id);
        for stage in stages.copied().collect::<Vec<_>>() {
            self.stages.swap_remove(&stage);
        }
        let of_job = |task: &&Task| task.stage.job == *id;
        let tasks: Vec<Task> = self.placements.keys().filter(of_job).copied().collect();
        for task in tasks {
            self.stop_run(&task, Cause::JobFinished, now);
        }
    }

    /// Handles a run's end that is in the log: the worker may discard it, a failed
    /// task becomes pending again, and completed steps open their successors.
    fn confirm_run_end(
        &mut self,
        state: &State,
        task: &Task,
        run: u64,
        now: Time,
        wall: Wall,
    ) {
        let reporters = self.reporters.swap_remove(&(*task, run));
        for worker in reporters.unwrap_or_default() {
            if let Some(session) = self.sessions.get_mut(&worker)
                && session.mark_durable(task, run)
                && session.renewal.is_none()
            {
                session.next_renewal = now;
            }
        }
        self.unlogged.swap_remove(task);
        let id = task.stage.job;
        let Some(job) = state.job(&id).filter(|job| job.is_open()) else {
            return;
        };
        if !job.is_stage_open(&task.stage) {
            self.stages.swap_remove(&task.stage);
            let occurrence = task.stage.occurrence;
            if job.occurrences.is_complete(occurrence) {
                self.open_jobs.close_occurrence(&id, occurrence);
            }
            return self.open_occurrence(state, id, occurrence, now, wall);
        }
        let Some(stage) = self.stages.get_mut(&task.stage) else {
            return;
        };
        let unit = if stage.step.gang { 0 } else { task.index };
        if job.unit(&task.stage, unit).done {
            stage.done.insert(unit);
            stage.pending.remove(&task.index);
        } else if !self.placements.contains_key(task) && !stage.done.contains(&unit) {
            stage.add_pending(task.index, now);
        }
    }

    /// Opens a session for a worker that has registered or restarted, or updates
    /// the profile if it has a session for this incarnation.
    fn add_incarnation(
        &mut self,
        state: &State,
        worker: &id::Worker,
        now: Time,
        wall: Wall,
    ) {
        let Some(registered) = state.worker(worker) else {
            return;
        };
        // Only one process listens at an address, so one that is registered there under
        // another name may be gone.
        let others = self.sessions.values().filter(|session| {
            session.profile.address == registered.profile.address
                && session.incarnation.worker != *worker
        });
        let others: Vec<id::Worker> = others
            .map(|session| session.incarnation.worker.clone())
            .collect();
        for other in others {
            self.question_session(&other, now);
        }
        self.declare_succeeded(state, worker, wall);
        self.fleet_revision += 1;
        let first_sequence = self.first_sequences.swap_remove(&registered.incarnation);
        let mut current = self.sessions.get_mut(worker);
        if let Some(session) = &mut current
            && session.incarnation == registered.incarnation
        {
            session.profile = registered.profile.clone();
            // What has changed may matter to any step.
            session.seen = Seen::default();
            return;
        }
        let earlier = current.map(|session| session.incarnation.clone());
        if let Some(earlier) = earlier {
            self.declare_gone(&earlier, Evidence::LaterIncarnation, now, wall);
        }
        self.add_pending_orders(worker);
        self.fencing_token += 1;
        let (token, lease) = (self.fencing_token, self.setup.lease);
        let mut new_session = Session::new(registered, token, lease, now);
        new_session.report_sequence = first_sequence.unwrap_or_default();
        self.unconfirmed.add_stopping(&mut new_session, now);
        // The incarnation may have carried out orders to an earlier one before it was
        // registered, and may carry out others until it answers the first order of this
        // session.
        let limit = self.setup.lease_limit;
        let early_end = now.after(longest_lease(limit));
        let early_end = state.is_unsettled(worker).then_some(early_end);
        let late_end = self.unanswered_grants.lease_end(worker, limit, now);
        new_session.late_grant = early_end.max(late_end).map(LateGrant::until);
        let Some(session) = self.sessions.get_mut(worker) else {
            self.sessions.insert(worker.clone(), new_session);
            return self.hold_tasks(worker);
        };
        // An order to the earlier incarnation may have reached this one, so each
        // earlier run is stopped here before its task starts anywhere.
        let old = std::mem::replace(session, new_session);
        let has_moved = old.profile.address != session.profile.address;
        let old_end = old.lease_end();
        self.effects.decisions.push(Decision::WorkerGone {
            incarnation: old.incarnation,
            cause: Cause::OtherIncarnation,
            known: Span::ZERO,
            since_answer: now.since(old.last_answer),
        });
        for ((task, number), mut run) in old.runs {
            // Of a start without an answer it isn't known when it arrives.
            let in_doubt = session.runs.contains_key(&(task, number));
            // A process that listens elsewhere says nothing of the one that may run on.
            if has_moved && !run.is_unsent() {
                let until = run.earlier_until.unwrap_or_default().max(old_end);
                run.earlier_until = Some(until);
            }
            run.state = RunState::Stopping;
            run.order = None;
            run.confirmed_at = None;
            run.tries = 0;
            run.retry_at = match in_doubt {
                true => now,
                false => now.after(LATE_ORDER_DELAY),
            };
            session.insert(task, run);
        }
        self.hold_tasks(worker);
    }

    /// Keeps the tasks of which a worker may have runs from being placed elsewhere.
    fn hold_tasks(&mut self, worker: &id::Worker) {
        let Some(session) = self.sessions.get(worker) else {
            return;
        };
        for (task, number) in session.runs.keys() {
            match self.placements.get(task) {
                Some(place) if place.worker == *worker && place.run == *number => {}
                Some(_) => {
                    self.superseded.insert(*task);
                }
                None => {
                    let place = Place {
                        worker: worker.clone(),
                        run: *number,
                    };
                    self.placements.insert(*task, place);
                    if let Some(stage) = self.stages.get_mut(&task.stage) {
                        stage.pending.remove(&task.index);
                    }
                }
            }
        }
    }

    /// Records the pending orders to a worker that has restarted as unanswered, as
    /// they may reach the new incarnation.
    fn add_pending_orders(&mut self, worker: &id::Worker) {
        let pending = self
            .pending_orders
            .values()
            .filter(|order| order.worker == *worker);
        for order in pending.cloned().collect::<Vec<_>>() {
            if order.extends_lease {
                self.unanswered_grants.add(worker, order.sent_at);
            }
            if let OrderKind::Start(task, run) = order.kind {
                self.add_unconfirmed(&order, task, run);
            }
        }
    }

    /// Removes a relay; the advice request that it was handling is sent again
    /// through another.
    pub fn remove_relay(&mut self, relay: Relay) {
        if let Some(query) = self.relays.remove(relay)
            && let Some(stage) = self.stages.get_mut(&query.stage)
        {
            stage.open_requests.retain(|&open| open != query.id);
            self.schedule.want();
        }
    }
}

/// A stage for a step, with all its tasks that haven't completed as pending.
fn new_stage(
    job: &Job,
    id: job::Stage,
    step: &Step,
    payload: Arc<str>,
    now: Time,
) -> Stage {
    let mut stage = Stage::new(id, step.clone(), Default::default(), payload, now);
    let done = |unit: u32| job.unit(&id, unit).done;
    for index in 0..step.count {
        let unit = if step.gang { 0 } else { index };
        match done(unit) {
            true => stage.done.insert(unit),
            false => stage.pending.insert(index, now).is_none(),
        };
    }
    stage
}
