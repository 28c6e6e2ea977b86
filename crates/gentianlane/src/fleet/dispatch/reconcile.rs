//! What the leader makes of a worker's lists: runs that go on, runs that have
//! ended, and runs that aren't there any more.

use crate::fleet::decision::{Decision, Why};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::answer::UNHEALTHY_BACKOFF;
use crate::fleet::dispatch::dispatcher::PendingOrder;
use crate::fleet::dispatch::estimate::smoothed_slowdown;
use crate::fleet::dispatch::session::{Run, RunState};
use crate::fleet::job::Task;
use crate::fleet::order::{Ended, How, Running, State as Told};
use crate::fleet::{Command, Job, State};
use crate::id;
use crate::unit::{Span, Time, Wall};

/// How many failures of unlike jobs in a row make a worker suspect.
const SUSPECT_FAILURES: u32 = 3;

/// The first rest of a suspect worker; each further failure doubles it.
const SUSPECT_BACKOFF: Span = Span::from_millis(2_000);

impl Dispatcher {
    /// Takes what a worker tells in answer to a hold.
    pub(super) fn reconcile(
        &mut self,
        state: &State,
        order: &PendingOrder,
        told: &Told,
        now: Time,
        wall: Wall,
    ) {
        let worker = &order.worker;
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        if told
            .born
            .is_some_and(|born| born != session.incarnation.born)
        {
            // The new life reports by itself; until then nothing is known.
            session.unanswered += 1;
            session.next_renewal = now.after(UNHEALTHY_BACKOFF);
            return;
        }
        if session.unanswered > 0 || !session.reconciled {
            let life = session.incarnation.clone();
            let running = told.running.len();
            self.effects
                .decisions
                .push(Decision::Heard { life, running });
        }
        session.unanswered = 0;
        session.reconciled = true;
        for ended in &told.ended {
            self.record_run_end(state, worker, ended, now, wall);
        }
        for running in &told.running {
            self.update_run(state, worker, running, now);
        }
        self.drop_unlisted_runs(worker, told, order.sent_at, now);
        self.rescue(worker, now);
    }

    /// Takes a run's end.
    fn record_run_end(
        &mut self,
        state: &State,
        worker: &id::Worker,
        ended: &Ended,
        now: Time,
        wall: Wall,
    ) {
        let task = ended.task;
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        let wanted = state.job(&task.stage.job).is_some_and(Job::is_open);
        let lasts = self
            .stages
            .get(&task.stage)
            .is_some_and(|stage| stage.step.lasts);
        let counts = matches!(ended.how, How::Done | How::Failed) && !lasts;
        let logged = wanted && counts;
        if !session.record_end(ended.number, task, ended.run, !logged) {
            return;
        }
        self.started_jobs.insert(task.stage.job);
        let held = session.runs.get_mut(&task);
        let held = held.filter(|run| run.number == ended.run);
        let whole = held.as_ref().filter(|run| run.progress.is_whole());
        let began = whole.map(|run| run.started_at);
        let known = held.is_some();
        if let Some(run) = held
            && !ended.saved.is_empty()
        {
            run.checkpoint.clone_from(&ended.saved);
        }
        self.effects.decisions.push(Decision::End {
            task,
            run: ended.run,
            worker: worker.clone(),
            how: ended.how,
            number: ended.number,
        });
        if logged {
            self.effects.commands.push(Command::End {
                at: wall,
                task,
                run: ended.run,
                done: ended.how == How::Done,
            });
        }
        if let Some(stage) = self.stages.get_mut(&task.stage) {
            match ended.how {
                How::Done if counts => {
                    let unit = if stage.step.gang { 0 } else { task.index };
                    stage.done.insert(unit);
                    stage.pending.remove(&task.index);
                }
                How::Failed => {
                    let key = stage.unit_key(task.index);
                    let failed = stage.failed_on.entry(key).or_default();
                    failed.insert(worker.clone());
                }
                _ => {}
            }
            if let (How::Done, Some(began)) = (ended.how, began) {
                let took = now.since(began);
                stage.record_pace(took.as_millis() * 1_000 / 100);
                self.estimator
                    .observe(&stage.queue_name, &stage.step.image, took);
                if let Some(session) = self.sessions.get_mut(worker) {
                    let kind = session.kind().to_owned();
                    let ratio =
                        self.estimator.observe_kind(&stage.queue_name, &kind, took);
                    session.slowdown = smoothed_slowdown(session.slowdown, ratio);
                }
            }
        }
        self.count_failure(worker, &task, ended.how, now);
        if known {
            self.release_run(worker, &task);
        }
        // A failed task waits until its failure is in the log, so that it is
        // never started more often than it may fail.
        if logged && let Some(stage) = self.stages.get_mut(&task.stage) {
            stage.pending.remove(&task.index);
        }
    }

    /// Weighs an end for or against its worker.
    fn count_failure(&mut self, worker: &id::Worker, task: &Task, how: How, now: Time) {
        let stage = self.stages.get(&task.stage);
        let failed_on: Vec<id::Worker> = stage
            .and_then(|stage| stage.failed_on.get(&stage.unit_key(task.index)))
            .map(|workers| workers.iter().cloned().collect())
            .unwrap_or_default();
        // A task that fails elsewhere too speaks against the task, and its
        // first worker was blamed for nothing.
        if how == How::Failed && failed_on.len() > 1 {
            for name in failed_on.iter().filter(|name| *name != worker) {
                if let Some(session) = self.sessions.get_mut(name) {
                    session.failures = session.failures.saturating_sub(1);
                }
            }
        }
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        match how {
            How::Done => session.failures = 0,
            How::Failed if failed_on.len() <= 1 => {
                session.failures += 1;
                session.last_failure = now;
            }
            _ => {}
        }
        if how == How::Failed && session.failures >= SUSPECT_FAILURES {
            let doubled = (session.failures - SUSPECT_FAILURES).min(2);
            let span = SUSPECT_BACKOFF.times(1 << doubled);
            session.avoid_until = now.after(span);
            self.effects.decisions.push(Decision::Avoided {
                worker: worker.clone(),
                why: Why::Failures,
                span,
            });
        }
    }

    /// Takes a run that a worker lists.
    fn update_run(
        &mut self,
        state: &State,
        worker: &id::Worker,
        running: &Running,
        now: Time,
    ) {
        let task = running.task;
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        let Some(held) = session.runs.get_mut(&task) else {
            return self.adopt_or_stop(state, worker, running, now);
        };
        if held.number != running.run {
            return;
        }
        if held.state == RunState::Starting {
            held.state = RunState::Running;
            held.confirmed_at = Some(now);
            self.started_jobs.insert(task.stage.job);
        }
        if !running.saved.is_empty() {
            held.checkpoint.clone_from(&running.saved);
        }
        held.measurement = running.gauge;
        held.progress.read(running.progress, now);
    }

    /// A worker runs what this leader didn't start: an earlier one did.
    fn adopt_or_stop(
        &mut self,
        state: &State,
        worker: &id::Worker,
        running: &Running,
        now: Time,
    ) {
        let task = running.task;
        let step = state.job(&task.stage.job).and_then(|job| {
            let step = job.spec.steps.get(usize::from(task.stage.step))?;
            Some((step.room(), step.fills, step.tail))
        });
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        // Nobody remembers the size of what a job that is over left behind, so
        // the worker gets nothing until it has ended.
        let unknown_demand = step.is_none();
        let (demand, best_effort, tail_limit) = step.unwrap_or_default();
        let run = Run {
            confirmed_at: Some(now),
            checkpoint: running.saved.clone(),
            best_effort,
            tail_limit,
            measurement: running.gauge,
            unknown_demand,
            ..Run::new(running.run, demand, RunState::Running, now)
        };
        session.insert(task, run);
        let free = !self.placements.contains_key(&task);
        let open = self.stages.get_mut(&task.stage);
        // The task may not be pending, while an earlier failure of its is on
        // the way into the log.
        let wanted = open.filter(|stage| {
            let unit = if stage.step.gang { 0 } else { task.index };
            free && !stage.done.contains(&unit)
        });
        if let Some(stage) = wanted {
            stage.pending.remove(&task.index);
            self.placements.insert(task, worker.clone());
            self.started_jobs.insert(task.stage.job);
            self.effects.decisions.push(Decision::Adopt {
                task,
                run: running.run,
                worker: worker.clone(),
            });
            return;
        }
        self.stop_superseded(worker, &task, now);
    }

    /// Drops the runs that a worker doesn't list any more.
    fn drop_unlisted_runs(
        &mut self,
        worker: &id::Worker,
        told: &Told,
        asked: Time,
        now: Time,
    ) {
        let Some(session) = self.sessions.get(worker) else {
            return;
        };
        let listed = |task: &Task, run: u64| {
            let mut all = told.running.iter();
            all.any(|running| running.task == *task && running.run == run)
        };
        // A hold that left in the millisecond of the order's answer may have
        // left before it, and its answer been made before the start.
        let gone = |(task, run): &(&Task, &Run)| {
            let settled = run.confirmed_at.is_some_and(|settled| settled < asked);
            run.order.is_none() && settled && !listed(task, run.number)
        };
        let gone: Vec<(Task, RunState)> = session
            .runs
            .iter()
            .filter(gone)
            .map(|(task, run)| (*task, run.state))
            .collect();
        for (task, doing) in gone {
            match doing {
                RunState::Stopping => {
                    self.release_run(worker, &task);
                    self.break_gang(&task, now);
                }
                RunState::Starting | RunState::Running => {
                    self.drop_run(worker, &task, Why::NotListed, now);
                }
            }
        }
    }
}
