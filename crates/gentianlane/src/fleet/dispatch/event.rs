//! What the leader does about changes of the state and reports of workers.

use crate::fleet::decision::{Decision, Why};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::advice::Helper;
use crate::fleet::dispatch::dispatcher::{OrderKind, PendingOrder};
use crate::fleet::dispatch::session::{RunState, Session};
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::job::{self, Spec, Step, Task};
use crate::fleet::worker::{Life, Report};
use crate::fleet::{Command, Event, Job, State};
use crate::id;
use crate::unit::{Span, Time, Wall};

/// The rest of an earlier life's lease may hide behind a new life for this
/// long: an order that was sent to the old one may be carried out late.
const LATE_ORDER_DELAY: Span = Span::from_millis(400);

impl Dispatcher {
    /// Takes note of a change of the state.
    pub fn handle_event(&mut self, state: &State, event: &Event, now: Time, wall: Wall) {
        self.needs_placement = true;
        match event {
            Event::Planned => self.apply_plan(state),
            Event::Submitted(job) => {
                self.open_jobs.entry(*job).or_insert((now, Span::ZERO));
                self.activate(state, *job, now, wall);
            }
            Event::Over(job) => self.end_job(state, job, now),
            Event::Noted(task, run) => self.confirm_run_end(state, task, *run, now, wall),
            Event::Joined(worker) => self.add_incarnation(state, worker, now),
            Event::Draining(worker) => {
                if let Some(session) = self.sessions.get_mut(worker) {
                    session.draining = true;
                }
            }
            Event::Left(life) => self.remove_incarnation(life, Why::Left),
        }
    }

    /// Lets open steps follow a new plan.
    fn apply_plan(&mut self, state: &State) {
        for stage in self.stages.values_mut() {
            let name = state.job(&stage.id.job).map(|job| job.queue.as_str());
            let Some(queue) = name.and_then(|name| state.queue(name)) else {
                continue;
            };
            if queue.pool != stage.queue.pool {
                stage.eligible = None;
                stage.asked.clear();
            }
            stage.queue = queue.clone();
        }
    }

    /// Makes the steps of a job that can run ready.
    pub(super) fn activate(&mut self, state: &State, id: job::Id, now: Time, wall: Wall) {
        let Some(job) = state.job(&id).filter(|job| job.is_open()) else {
            return;
        };
        let Some(queue) = state.queue(&job.queue) else {
            return;
        };
        let rounds = u32::try_from(job.rounds.len()).unwrap_or(u32::MAX);
        let due = |round: u32| job.spec.due(round).is_none_or(|due| due <= wall);
        if (0..rounds).any(|round| !due(round)) {
            self.recurring_jobs.insert(id);
        } else {
            self.recurring_jobs.swap_remove(&id);
        }
        let chains = self.remaining_paths(&job.queue, &job.spec);
        let chain = chains.iter().copied().max().unwrap_or_default();
        let known = self.open_jobs.get(&id).copied();
        let (since, earlier) = known.unwrap_or((now, Span::ZERO));
        for round in (0..rounds).filter(|&round| due(round)) {
            for (at, step) in job.spec.steps.iter().enumerate() {
                let Ok(number) = u16::try_from(at) else {
                    break;
                };
                let stage = job::Stage {
                    job: id,
                    round,
                    step: number,
                };
                let done = job
                    .progress(&stage)
                    .is_none_or(crate::fleet::Progress::is_done);
                if done || self.stages.contains_key(&stage) || !job.is_ready(&stage) {
                    continue;
                }
                let mut ready = new_stage(job, stage, step, now);
                ready.queue = queue.clone();
                ready.queue_name.clone_from(&job.queue);
                ready.critical_path = chain;
                ready.remaining_path = chains[at];
                ready.work = job.spec.work();
                (ready.queued_at, ready.prior_wait) = match job.spec.due(round) {
                    Some(due) => (now, wall.since(due)),
                    None => (since, earlier),
                };
                self.stages.insert(stage, ready);
            }
        }
    }

    /// For each step, the longest chain of work from it on.
    fn remaining_paths(&self, queue: &str, spec: &Spec) -> Vec<Span> {
        let mut chains = vec![Span::ZERO; spec.steps.len()];
        for (at, step) in spec.steps.iter().enumerate().rev() {
            let own = self.estimator.expected_duration(queue, step);
            chains[at] += own;
            let from = chains[at];
            for &before in &step.after {
                if let Some(slot) = chains.get_mut(usize::from(before)) {
                    *slot = (*slot).max(from);
                }
            }
        }
        chains
    }

    /// Makes occurrences ready whose time has come.
    pub(super) fn activate_due(&mut self, state: &State, now: Time, wall: Wall) {
        let timed: Vec<job::Id> = self.recurring_jobs.iter().copied().collect();
        for id in timed {
            match state.job(&id).is_some_and(Job::is_open) {
                true => self.activate(state, id, now, wall),
                false => {
                    self.recurring_jobs.swap_remove(&id);
                }
            }
        }
    }

    fn end_job(&mut self, state: &State, id: &job::Id, now: Time) {
        if let Some((phase, _)) = state.job(id).and_then(|job| job.over) {
            self.effects
                .decisions
                .push(Decision::Over { job: *id, phase });
        }
        self.open_jobs.swap_remove(id);
        self.started_jobs.swap_remove(id);
        self.recurring_jobs.swap_remove(id);
        self.stages.retain(|stage, _| stage.job != *id);
        let of_job = |task: &&Task| task.stage.job == *id;
        let tasks: Vec<Task> = self.placements.keys().filter(of_job).copied().collect();
        for task in tasks {
            self.stop_run(&task, Why::JobOver, now);
        }
    }

    /// An end is durable: the worker may forget it, and a failed task may be
    /// tried again.
    fn confirm_run_end(
        &mut self,
        state: &State,
        task: &Task,
        run: u64,
        now: Time,
        wall: Wall,
    ) {
        for session in self.sessions.values_mut() {
            if session.mark_durable(task, run) && session.renewal.is_none() {
                session.next_renewal = now;
            }
        }
        let id = task.stage.job;
        let Some(job) = state.job(&id).filter(|job| job.is_open()) else {
            return;
        };
        let Some(progress) = job.progress(&task.stage) else {
            return;
        };
        if progress.is_done() {
            self.stages.swap_remove(&task.stage);
            return self.activate(state, id, now, wall);
        }
        let Some(stage) = self.stages.get_mut(&task.stage) else {
            return;
        };
        let unit = if stage.step.gang { 0 } else { task.index };
        let done = progress
            .units
            .get(unit as usize)
            .is_some_and(|unit| unit.done);
        if done {
            stage.done.insert(unit);
            stage.pending.remove(&task.index);
        } else if !self.placements.contains_key(task) && !stage.done.contains(&unit) {
            stage.pending.insert(task.index);
        }
    }

    fn add_incarnation(&mut self, state: &State, name: &id::Worker, now: Time) {
        let Some(member) = state.life(name) else {
            return;
        };
        let elsewhere = self.sessions.values().filter(|session| {
            session.profile.address == member.site.address
                && session.incarnation.worker != *name
                && session.incarnation.born < member.life.born
        });
        for earlier in elsewhere {
            let life = earlier.incarnation.clone();
            self.effects.commands.push(Command::Leave { life });
        }
        let known = self.sessions.get_mut(name);
        if let Some(held) = known
            && held.incarnation == member.life
        {
            held.profile = member.site.clone();
            return;
        }
        self.add_pending_starts(name);
        let mut fresh = Session::new(member, self.setup.lease, now);
        self.unconfirmed.add_stopping(&mut fresh, now);
        let Some(held) = self.sessions.get_mut(name) else {
            self.sessions.insert(name.clone(), fresh);
            return;
        };
        // An order to the earlier life may have reached this one, so each of
        // its runs is stopped here before its task starts anywhere.
        let old = std::mem::replace(held, fresh);
        self.effects.decisions.push(Decision::WorkerGone {
            life: old.incarnation,
            why: Why::OtherLife,
        });
        for (task, mut run) in old.runs {
            run.state = RunState::Stopping;
            run.order = None;
            run.confirmed_at = None;
            run.tries = 0;
            run.retry_at = now.after(LATE_ORDER_DELAY);
            held.insert(task, run);
        }
    }

    /// Starts on their way to a life that is over may reach the next one.
    fn add_pending_starts(&mut self, name: &id::Worker) {
        let under_way = self
            .pending_orders
            .values()
            .filter(|order| order.worker == *name);
        for order in under_way.cloned().collect::<Vec<_>>() {
            if let OrderKind::Start(task, run) = order.kind {
                self.add_unconfirmed(&order, task, run);
            }
        }
    }

    /// Takes note of a start that may be carried out unseen.
    pub(super) fn add_unconfirmed(&mut self, order: &PendingOrder, task: Task, run: u64) {
        let held = self.sessions.get(&order.worker);
        let held = held.and_then(|session| session.runs.get(&task));
        let stage = self.stages.get(&task.stage);
        let size = held
            .map(|run| run.demand)
            .or_else(|| stage.map(|stage| stage.step.room()));
        self.unconfirmed
            .add(&order.worker, task, run, size, order.sent_at);
    }

    /// A life is over: nothing runs there any more.
    pub(super) fn remove_incarnation(&mut self, life: &Life, why: Why) {
        let worker = &life.worker;
        let Some(session) = self.sessions.get(worker) else {
            return;
        };
        if session.incarnation != *life {
            return;
        }
        let runs: Vec<(Task, u64)> = session
            .runs
            .iter()
            .map(|(task, run)| (*task, run.number))
            .collect();
        for (task, run) in runs {
            self.effects.decisions.push(Decision::Gone {
                task,
                run,
                worker: worker.clone(),
                why,
            });
            self.release_run(worker, &task);
        }
        self.sessions.swap_remove(worker);
        let life = life.clone();
        self.effects
            .decisions
            .push(Decision::WorkerGone { life, why });
    }

    /// Takes a worker's report; a command if the state has to learn of it.
    ///
    /// A draining worker's report is answered once the drain is in the log, so
    /// that a new leader knows of every drain that was acknowledged.
    pub fn handle_report(
        &mut self,
        state: &State,
        report: &Report,
        now: Time,
    ) -> Option<Command> {
        let Report { life, site, .. } = report;
        let join = || Command::Join {
            life: life.clone(),
            site: site.clone(),
        };
        let Some(known) = state.life(&life.worker) else {
            return Some(join());
        };
        if known.life.born > life.born {
            return None;
        }
        if known.life != *life || known.site != *site {
            return Some(join());
        }
        let session = self.sessions.get_mut(&life.worker)?;
        if report.number <= session.report_sequence {
            return None;
        }
        session.report_sequence = report.number;
        session.last_report = now;
        if report.draining {
            session.draining = true;
            if !known.draining {
                return Some(Command::Drain { life: life.clone() });
            }
        }
        None
    }

    /// Drops a helper; its question is put again by another.
    pub fn remove_relay(&mut self, helper: Helper) {
        if let Some(asked) = self.desk.leave(helper)
            && let Some(stage) = self.stages.get_mut(&asked.stage)
        {
            stage.open_request = None;
            self.needs_placement = true;
        }
    }
}

/// A step with the tasks that haven't ended well.
fn new_stage(job: &Job, id: job::Stage, step: &Step, now: Time) -> Stage {
    let payload = job.spec.payload.clone();
    let mut stage = Stage::new(id, step.clone(), Default::default(), payload, now);
    let progress = job.progress(&id);
    let done = |unit: u32| {
        progress
            .and_then(|progress| progress.units.get(unit as usize))
            .is_some_and(|unit| unit.done)
    };
    for index in 0..step.count {
        let unit = if step.gang { 0 } else { index };
        match done(unit) {
            true => stage.done.insert(unit),
            false => stage.pending.insert(index),
        };
    }
    stage
}
