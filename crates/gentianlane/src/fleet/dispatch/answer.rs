//! What the leader makes of workers' answers.

use crate::fleet::decision::{Decision, Why};
use crate::fleet::dispatch::Lead;
use crate::fleet::dispatch::advice::Helper;
use crate::fleet::dispatch::lead::{About, Sent};
use crate::fleet::dispatch::learn::worker_pace;
use crate::fleet::dispatch::session::{Doing, Run};
use crate::fleet::dispatch::stage::Pass;
use crate::fleet::job::Task;
use crate::fleet::order::{
    Answer, Ended, How, Number, Opinion, Reason, Running, State as Told,
};
use crate::fleet::worker::Life;
use crate::fleet::{Command, Job, State};
use crate::id;
use crate::unit::{Span, Time, Wall};

/// How long a worker that refused for want of room gets no more work.
const ROOM_REST: Span = Span::from_millis(300);

/// How long an unhealthy worker gets no more work.
const UNHEALTHY_REST: Span = Span::from_millis(1_000);

/// The pause before an order without an answer is sent again.
const ORDER_RETRY: Span = Span::from_millis(60);

/// How many failures of unlike jobs in a row make a worker suspect.
const BLAME_LIMIT: u32 = 3;

/// The first rest of a suspect worker; each further failure doubles it.
const BLAME_REST: Span = Span::from_millis(2_000);

/// After this many refused connections in a row the process has ended.
const UNREACHABLE_LIMIT: u32 = 3;

/// How long a task has to use no processor before it counts as stuck.
const STUCK: Span = Span::from_millis(1_600);

impl Lead {
    /// Takes a worker's answer to an order.
    pub fn answered(
        &mut self,
        state: &State,
        number: Number,
        answer: Answer,
        now: Time,
        wall: Wall,
    ) {
        let Some(sent) = self.sent.swap_remove(&number) else {
            return;
        };
        if let (About::Start(task, run), Answer::Lost) = (sent.about, &answer) {
            self.doubt(&sent, task, run);
        }
        let Some(session) = self.sessions.get_mut(&sent.worker) else {
            return;
        };
        if session.life.born != sent.born {
            return;
        }
        let life = session.life.clone();
        if sent.about == About::Hold {
            session.hold = None;
            session.hold_at = now;
        }
        match &answer {
            Answer::OtherLife => return self.ended_life(&life, Why::OtherLife),
            Answer::Unreachable => {
                session.unreachable += 1;
                session.hold_at = now.after(ORDER_RETRY);
                if session.unreachable >= UNREACHABLE_LIMIT {
                    return self.ended_life(&life, Why::Unreachable);
                }
            }
            Answer::Lost => {
                if sent.about == About::Hold {
                    session.silent += 1;
                    session.hold_at = now.after(ORDER_RETRY);
                    if session.silent == 1 {
                        let lease = session.lease_left(now);
                        self.work.decisions.push(Decision::Silent { life, lease });
                    }
                }
            }
            Answer::Done { clock } => {
                session.read_clock(*clock, now);
                session.heard = now;
                session.unreachable = 0;
            }
            Answer::Refused { clock, .. } => {
                if let Some(clock) = clock {
                    session.read_clock(*clock, now);
                }
                session.heard = now;
                session.unreachable = 0;
            }
            Answer::State(told) => {
                session.read_clock(told.clock, now);
                session.heard = now;
                session.unreachable = 0;
            }
        }
        self.stirred = true;
        match (sent.about, answer) {
            (About::Hold, Answer::State(told)) => {
                self.told(state, &sent, &told, now, wall);
            }
            (About::Hold, Answer::Refused { reason, .. }) => {
                self.hold_refused(&sent, reason, now);
            }
            (About::Start(task, run), answer) => {
                self.start_answered(&sent, &task, run, &answer, now);
            }
            (About::Stop(task, run), answer) => {
                self.stop_answered(&sent, &task, run, &answer, now);
            }
            _ => {}
        }
    }

    /// A life has ended: its runs are gone, and the log is told.
    fn ended_life(&mut self, life: &Life, why: Why) {
        self.left(life, why);
        self.work
            .commands
            .push(Command::Leave { life: life.clone() });
    }

    fn hold_refused(&mut self, sent: &Sent, reason: Reason, now: Time) {
        let Some(session) = self.sessions.get_mut(&sent.worker) else {
            return;
        };
        session.silent += 1;
        session.hold_at = now.after(UNHEALTHY_REST);
        self.work.decisions.push(Decision::Shunned {
            worker: sent.worker.clone(),
            why: Why::Refusals,
            span: UNHEALTHY_REST,
        });
        // A later leadership is known there, so this one is over.
        if reason == Reason::Fence {
            session.shunned = now.after(self.setup.lease);
        }
    }

    fn run_mut(
        &mut self,
        worker: &id::Worker,
        task: &Task,
        run: u64,
    ) -> Option<&mut Run> {
        let session = self.sessions.get_mut(worker)?;
        let held = session.runs.get_mut(task)?;
        (held.number == run).then_some(held)
    }

    fn start_answered(
        &mut self,
        sent: &Sent,
        task: &Task,
        run: u64,
        answer: &Answer,
        now: Time,
    ) {
        let Some(held) = self.run_mut(&sent.worker, task, run) else {
            return;
        };
        if held.state != Doing::Starting {
            return;
        }
        held.order = None;
        match answer {
            Answer::Done { .. } => {
                held.state = Doing::Up;
                held.settled = Some(now);
                self.begun.insert(task.stage.job);
            }
            // The run was there before, from an order without an answer: the
            // next hold tells how it ended.
            Answer::Refused {
                reason: Reason::Old,
                ..
            } => held.settled = Some(now),
            Answer::Refused { reason, .. } => {
                self.start_refused(sent, task, run, *reason, now);
            }
            Answer::Unreachable => {
                self.void(&sent.worker, task, Why::Unreachable, now);
            }
            _ => held.retry = now.after(ORDER_RETRY),
        }
    }

    fn start_refused(
        &mut self,
        sent: &Sent,
        task: &Task,
        run: u64,
        reason: Reason,
        now: Time,
    ) {
        let worker = &sent.worker;
        self.work.decisions.push(Decision::StartRefused {
            task: *task,
            run,
            worker: worker.clone(),
            reason,
        });
        let rest = match reason {
            Reason::Room => Some(ROOM_REST),
            Reason::Unhealthy => Some(UNHEALTHY_REST),
            _ => None,
        };
        if let Some(rest) = rest
            && let Some(session) = self.sessions.get_mut(worker)
        {
            session.shunned = session.shunned.max(now.after(rest));
        }
        if let Some(stage) = self.stages.get_mut(&task.stage) {
            match reason {
                Reason::Ticket => {
                    if let Some(pass) =
                        stage.eligible.as_mut().and_then(|map| map.get_mut(worker))
                    {
                        pass.until = now;
                    }
                }
                Reason::Malformed | Reason::Fence => {
                    stage.not_before = now.after(UNHEALTHY_REST);
                }
                _ => {}
            }
        }
        self.void(worker, task, Why::NotListed, now);
    }

    /// A start never comes about: its task waits again.
    ///
    /// The other members of a gang would wait in vain.
    fn void(&mut self, worker: &id::Worker, task: &Task, why: Why, now: Time) {
        let run = self
            .sessions
            .get(worker)
            .and_then(|session| session.runs.get(task))
            .map_or(0, |run| run.number);
        self.work.decisions.push(Decision::Gone {
            task: *task,
            run,
            worker: worker.clone(),
            why,
        });
        self.release(worker, task);
        self.break_gang(task, now);
    }

    /// Stops the members of a gang that has lost one.
    pub(super) fn break_gang(&mut self, task: &Task, now: Time) {
        let gang = self
            .stages
            .get(&task.stage)
            .is_some_and(|stage| stage.step.gang);
        if !gang {
            return;
        }
        let others = self.placed.keys().filter(|other| other.stage == task.stage);
        let others: Vec<Task> = others.copied().collect();
        for other in others {
            self.stop(&other, Why::Gang, now);
        }
    }

    fn stop_answered(
        &mut self,
        sent: &Sent,
        task: &Task,
        run: u64,
        answer: &Answer,
        now: Time,
    ) {
        let Some(held) = self.run_mut(&sent.worker, task, run) else {
            return;
        };
        held.order = None;
        match answer {
            Answer::Done { .. } => held.settled = Some(now),
            Answer::Refused {
                reason: Reason::Old,
                ..
            } => held.settled = Some(now),
            _ => held.retry = now.after(ORDER_RETRY),
        }
    }

    /// Takes what a worker tells in answer to a hold.
    fn told(&mut self, state: &State, sent: &Sent, told: &Told, now: Time, wall: Wall) {
        let worker = &sent.worker;
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        if told.born.is_some_and(|born| born != session.life.born) {
            // The new life reports by itself; until then nothing is known.
            session.silent += 1;
            session.hold_at = now.after(UNHEALTHY_REST);
            return;
        }
        if session.silent > 0 || !session.resolved {
            let life = session.life.clone();
            let running = told.running.len();
            self.work.decisions.push(Decision::Heard { life, running });
        }
        session.silent = 0;
        session.resolved = true;
        for ended in &told.ended {
            self.run_ended(state, worker, ended, now, wall);
        }
        for running in &told.running {
            self.run_goes_on(state, worker, running, now);
        }
        self.drop_unlisted(worker, told, sent.at, now);
    }

    /// Takes a run's end.
    fn run_ended(
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
        if !session.see(ended.number, task, ended.run, !logged) {
            return;
        }
        self.begun.insert(task.stage.job);
        let held = session.runs.get_mut(&task);
        let held = held.filter(|run| run.number == ended.run);
        let began = held.as_ref().map(|run| run.began);
        let known = held.is_some();
        if let Some(run) = held
            && !ended.saved.is_empty()
        {
            run.saved.clone_from(&ended.saved);
        }
        self.work.decisions.push(Decision::End {
            task,
            run: ended.run,
            worker: worker.clone(),
            how: ended.how,
            number: ended.number,
        });
        if logged {
            self.work.commands.push(Command::End {
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
                    let key = stage.save_key(task.index);
                    let failed = stage.failed_on.entry(key).or_default();
                    failed.insert(worker.clone());
                }
                _ => {}
            }
            if let (How::Done, Some(began)) = (ended.how, began)
                && ended.saved.is_empty()
            {
                let took = now.since(began);
                self.learn.observe(&stage.name, &stage.step.image, took);
                if let Some(session) = self.sessions.get_mut(worker) {
                    let kind = session.kind().to_owned();
                    let ratio = self.learn.observe_kind(&stage.name, &kind, took);
                    session.pace = worker_pace(session.pace, ratio);
                }
            }
        }
        self.blame(worker, &task, ended.how, now);
        if known {
            self.release(worker, &task);
        }
        // A failed task waits until its failure is in the log, so that it is
        // never started more often than it may fail.
        if logged && let Some(stage) = self.stages.get_mut(&task.stage) {
            stage.pending.remove(&task.index);
        }
    }

    /// Weighs an end for or against its worker.
    fn blame(&mut self, worker: &id::Worker, task: &Task, how: How, now: Time) {
        let stage = self.stages.get(&task.stage);
        let failed_on: Vec<id::Worker> = stage
            .and_then(|stage| stage.failed_on.get(&stage.save_key(task.index)))
            .map(|workers| workers.iter().cloned().collect())
            .unwrap_or_default();
        // A task that fails elsewhere too speaks against the task, and its
        // first worker was blamed for nothing.
        if how == How::Failed && failed_on.len() > 1 {
            for name in failed_on.iter().filter(|name| *name != worker) {
                if let Some(session) = self.sessions.get_mut(name) {
                    session.blame = session.blame.saturating_sub(1);
                }
            }
        }
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        match how {
            How::Done => session.blame = 0,
            How::Failed if failed_on.len() <= 1 => {
                session.blame += 1;
                session.failed_at = now;
            }
            _ => {}
        }
        if how == How::Failed && session.blame >= BLAME_LIMIT {
            let doubled = (session.blame - BLAME_LIMIT).min(2);
            let span = BLAME_REST.times(1 << doubled);
            session.shunned = now.after(span);
            self.work.decisions.push(Decision::Shunned {
                worker: worker.clone(),
                why: Why::Failures,
                span,
            });
        }
    }

    /// Takes a run that a worker lists.
    fn run_goes_on(
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
            return self.found(state, worker, running, now);
        };
        if held.number != running.run {
            return;
        }
        if held.state == Doing::Starting {
            held.state = Doing::Up;
            held.settled = Some(now);
            self.begun.insert(task.stage.job);
        }
        if !running.saved.is_empty() {
            held.saved.clone_from(&running.saved);
        }
        held.percent = running.percent;
        held.gauge = running.gauge;
        let works = held.state == Doing::Up && held.tail.is_none() && !held.fills;
        let idle = works && running.percent == 100 && running.gauge == Some(0);
        if !idle {
            held.idle_since = None;
            return;
        }
        let since = *held.idle_since.get_or_insert(now);
        let gang = self
            .stages
            .get(&task.stage)
            .is_none_or(|stage| stage.step.gang);
        if now.since(since) >= STUCK && !gang {
            if let Some(session) = self.sessions.get_mut(worker) {
                session.shunned = session.shunned.max(now.after(BLAME_REST));
            }
            self.stop(&task, Why::Stuck, now);
        }
    }

    /// A worker runs what this leader didn't start: an earlier one did.
    fn found(
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
        let unknown = step.is_none();
        let (size, fills, tail) = step.unwrap_or_default();
        let run = Run {
            number: running.run,
            size,
            state: Doing::Up,
            order: None,
            tries: 0,
            retry: now,
            settled: Some(now),
            began: now,
            saved: running.saved.clone(),
            fills,
            tail,
            gauge: running.gauge,
            idle_since: None,
            percent: running.percent,
            unknown,
            ticket: None,
        };
        session.insert(task, run);
        let free = !self.placed.contains_key(&task);
        let open = self.stages.get_mut(&task.stage);
        let wanted = open.filter(|stage| stage.pending.contains(&task.index) && free);
        if let Some(stage) = wanted {
            stage.pending.remove(&task.index);
            self.placed.insert(task, worker.clone());
            self.begun.insert(task.stage.job);
            self.work.decisions.push(Decision::Adopt {
                task,
                run: running.run,
                worker: worker.clone(),
            });
            return;
        }
        self.stop_stray(worker, &task, now);
    }

    /// Drops the runs that a worker doesn't list any more.
    fn drop_unlisted(
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
        let gone = |(task, run): &(&Task, &Run)| {
            let settled = run.settled.is_some_and(|settled| settled <= asked);
            run.order.is_none() && settled && !listed(task, run.number)
        };
        let gone: Vec<(Task, Doing)> = session
            .runs
            .iter()
            .filter(gone)
            .map(|(task, run)| (*task, run.state))
            .collect();
        for (task, doing) in gone {
            match doing {
                Doing::Stopping => {
                    self.release(worker, &task);
                    self.break_gang(&task, now);
                }
                Doing::Starting | Doing::Up => {
                    self.void(worker, &task, Why::NotListed, now);
                }
            }
        }
    }

    /// Takes the answer to a question for advice.
    pub fn advised(&mut self, helper: Helper, opinion: Opinion, now: Time) {
        let Some(asked) = self.desk.answered(helper, opinion.number) else {
            return;
        };
        self.stirred = true;
        let took = now.since(asked.since);
        let stage_id = asked.stage;
        let Some(eligible) = opinion.eligible else {
            self.desk.rest(helper, now);
            self.work.decisions.push(Decision::AdviceLost {
                stage: stage_id,
                took,
            });
            if let Some(stage) = self.stages.get_mut(&stage_id) {
                stage.asking = None;
            }
            return;
        };
        self.work.decisions.push(Decision::Advice {
            stage: stage_id,
            asked: asked.workers.len(),
            eligible: eligible.len(),
            took,
        });
        let Some(stage) = self.stages.get_mut(&stage_id) else {
            return;
        };
        stage.asking = None;
        let Some(advice) = stage.queue.advice else {
            return;
        };
        let until = now.after(advice.validity);
        let passes = stage.eligible.get_or_insert_default();
        for (worker, ticket) in eligible {
            passes.insert(worker, Pass { ticket, until });
        }
        stage.asked.extend(asked.workers);
    }
}
