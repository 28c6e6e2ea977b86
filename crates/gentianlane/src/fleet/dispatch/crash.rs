//! Workers that fall silent or crash, and what is held against their tasks.

use std::collections::VecDeque;

use crate::collections::IndexMap;
use crate::fleet::crash::{
    POINTS_FOR_TRIAL, POINTS_TO_GIVE_UP, Run as Exposed, Suspicion,
};
use crate::fleet::decision::{Cause, Decision};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::session::{Run, Session};
use crate::fleet::job::{self, Task};
use crate::fleet::worker::Incarnation;
use crate::fleet::{Command, State};
use crate::id;
use crate::unit::{Span, Time, Wall};

/// The unanswered renewals in a row after which the runs of a worker are recorded; a
/// single answer is lost now and then.
const SILENT_RENEWALS: u32 = 2;

/// Workers whose connections break within this time of each other may have a common
/// cause.
const COINCIDENCE: Span = Span::from_millis(100);

/// How many other workers have to fall silent with one for a common cause, in a small
/// fleet.
const MIN_COINCIDENT: usize = 3;

/// How many workers a larger fleet has for each of these.
const WORKERS_PER_COINCIDENT: usize = 16;

/// How long a start waits for the record of its run, which an elected leader makes
/// within a fraction of this.
const RECORD_WAIT: Span = Span::from_secs(2);

/// How long it is remembered when a worker fell silent.
const SILENCE_RETENTION: Span = Span::from_secs(60);

/// For how many workers it is remembered.
const SILENCE_LIMIT: usize = 4_096;

/// What is held against one task.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Suspect {
    /// The points that it is charged with.
    points: u32,
    /// The silent workers on which its lease has ended, and which may have crashed
    /// under it.
    doubts: u32,
}

impl Suspect {
    /// Whether anything is held against the task.
    pub(crate) const fn is_suspected(self) -> bool {
        self.points + self.doubts > 0
    }

    /// Whether the task may run only where no other task could be blamed.
    pub(crate) const fn needs_trial(self) -> bool {
        self.points + self.doubts >= POINTS_FOR_TRIAL
    }

    /// Whether the task waits until it is known what became of silent workers: it
    /// would have to be given up if they had crashed.
    pub(crate) const fn is_held(self) -> bool {
        self.points + self.doubts >= POINTS_TO_GIVE_UP
    }
}

/// When a worker fell silent.
#[derive(Debug, Clone)]
struct Silence {
    worker: id::Worker,
    at: Time,
    /// Whether its answer was overdue, instead of a connection that broke: then the
    /// worker may have been gone for as long as the answer might take.
    is_timeout: bool,
}

/// When workers fell silent, oldest first, and the tasks whose leases have ended on
/// those that haven't been heard since.
#[derive(Debug, Default, Clone)]
pub(crate) struct Silences {
    began: VecDeque<Silence>,
    doubts: IndexMap<Incarnation, Vec<Task>>,
}

impl Silences {
    /// Notes that a worker has fallen silent.
    pub(crate) fn begin(&mut self, worker: &id::Worker, is_timeout: bool, now: Time) {
        let is_old = |silence: &Silence| now.since(silence.at) > SILENCE_RETENTION;
        while self.began.len() >= SILENCE_LIMIT || self.began.front().is_some_and(is_old)
        {
            self.began.pop_front();
        }
        self.began.push_back(Silence {
            worker: worker.clone(),
            at: now,
            is_timeout,
        });
    }

    /// How many other workers fell silent when this one did; none if that isn't known.
    ///
    /// `overdue` is how much sooner than noticed a worker may be gone whose answer was
    /// overdue.
    fn coincident(&self, worker: &id::Worker, overdue: Span) -> Option<usize> {
        let mut latest_first = self.began.iter().rev();
        let own = latest_first.find(|silence| silence.worker == *worker)?;
        let near = self.began.iter().filter(|other| {
            let window = match own.is_timeout {
                true if other.is_timeout => overdue,
                _ => COINCIDENCE,
            };
            other.at.max(own.at).since(other.at.min(own.at)) <= window
        });
        Some(near.count().saturating_sub(1))
    }
}

impl Dispatcher {
    /// Proposes to record what runs on a worker that doesn't answer.
    pub(super) fn record_silence(&mut self, worker: &id::Worker, now: Time, wall: Wall) {
        let Some(session) = self.sessions.get(worker) else {
            return;
        };
        if session.unanswered >= SILENT_RENEWALS || session.unreachable > 0 {
            self.record_runs(worker, now, wall);
        }
    }

    /// Proposes to record what runs on a worker, unless that has been done or its end
    /// is announced: it may come at any time.
    pub(super) fn record_runs(&mut self, worker: &id::Worker, now: Time, wall: Wall) {
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        if session.silence_recorded || session.is_ending() {
            return;
        }
        session.silence_recorded = true;
        let runs = exposed_runs(session, now);
        if !runs.is_empty() {
            self.expose(worker, runs, wall);
        }
    }

    /// Proposes to record runs of a worker.
    fn expose(&mut self, worker: &id::Worker, runs: Vec<Exposed>, wall: Wall) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.exposed = true;
            self.effects.commands.push(Command::Expose {
                at: wall,
                incarnation: session.incarnation.clone(),
                address: session.profile.address,
                runs,
            });
        }
    }

    /// Proposes to record a run before it is started, so that its start counts whatever
    /// becomes of this leader.
    pub(super) fn expose_start(
        &mut self,
        worker: &id::Worker,
        task: &Task,
        number: u64,
        now: Time,
        wall: Wall,
    ) {
        if let Some(run) = self.run_mut(worker, task, number) {
            run.awaits_record = true;
            run.retry_at = now.after(RECORD_WAIT);
        }
        let run = Exposed {
            task: *task,
            run: number,
            ran: Span::ZERO,
        };
        self.expose(worker, vec![run], wall);
    }

    /// Starts the runs on a worker that had to be recorded before.
    pub(super) fn start_exposed(&mut self, incarnation: &Incarnation, now: Time) {
        let worker = &incarnation.worker;
        let session = self.sessions.get_mut(worker);
        let Some(session) = session.filter(|session| session.incarnation == *incarnation)
        else {
            return;
        };
        let mut recorded = Vec::new();
        for ((task, number), run) in &mut session.runs {
            if std::mem::take(&mut run.awaits_record) && run.is_unsent() {
                run.retry_at = now;
                recorded.push((*task, *number));
            }
        }
        for (task, number) in recorded {
            if self.may_start(worker, &task, now) {
                self.send_start(worker, &task, number, now);
            }
        }
    }

    /// Drops what was recorded for a trial that is over, unless the worker is silent.
    pub(super) fn clear_trial_record(&mut self, worker: &id::Worker) {
        if let Some(session) = self.sessions.get_mut(worker)
            && session.exposed
            && !session.silence_recorded
        {
            session.exposed = false;
            let incarnation = session.incarnation.clone();
            self.effects.commands.push(Command::Clear { incarnation });
        }
    }

    /// Drops what was recorded of a worker that has answered again.
    pub(super) fn end_silence(&mut self, worker: &id::Worker) {
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        let was_silent = std::mem::take(&mut session.silence_recorded);
        // The record of a trial stays while its run may crash the worker.
        if !was_silent && (!session.exposed || session.trial.is_some()) {
            return;
        }
        session.exposed = false;
        let incarnation = session.incarnation.clone();
        self.clear_doubts(&incarnation);
        self.effects.commands.push(Command::Clear { incarnation });
    }

    /// Proposes to remove an incarnation that has ended without having announced it,
    /// and to charge its tasks.
    pub(super) fn declare_crash(
        &mut self,
        incarnation: &Incarnation,
        cause: Cause,
        now: Time,
        wall: Wall,
    ) {
        let worker = &incarnation.worker;
        self.record_runs(worker, now, wall);
        self.log_crash(worker, cause, now);
        self.propose_crash(incarnation, wall);
    }

    fn propose_crash(&mut self, incarnation: &Incarnation, wall: Wall) {
        let least = MIN_COINCIDENT.max(self.sessions.len() / WORKERS_PER_COINCIDENT);
        let overdue = self.setup.renewal_wait + self.setup.renewal_margin;
        let coincident = self.silences.coincident(&incarnation.worker, overdue);
        self.effects.commands.push(Command::Crash {
            at: wall,
            incarnation: incarnation.clone(),
            widespread: coincident.is_none_or(|others| others >= least),
        });
    }

    /// Proposes the removal of incarnations with a record that have no session any more,
    /// and to which the registered worker is a successor, under the name or at the
    /// address.
    pub(super) fn declare_succeeded(
        &mut self,
        state: &State,
        worker: &id::Worker,
        wall: Wall,
    ) {
        let Some(registered) = state.worker(worker) else {
            return;
        };
        let successor = &registered.incarnation;
        let same_name = |exposed: &&Incarnation| exposed.worker == *worker;
        let named = state.crashes().exposed().filter(same_name);
        let here = state.crashes().exposed_at(registered.profile.address);
        let earlier: Vec<Incarnation> = named
            .chain(here)
            .filter(|earlier| {
                let session = self.sessions.get(&earlier.worker);
                earlier.started_at < successor.started_at
                    && session.is_none_or(|session| session.incarnation != **earlier)
            })
            .cloned()
            .collect();
        for incarnation in earlier {
            self.propose_crash(&incarnation, wall);
        }
    }

    /// Logs the crash of a worker, with the runs that it had.
    fn log_crash(&mut self, worker: &id::Worker, cause: Cause, now: Time) {
        let Some(session) = self.sessions.get(worker) else {
            return;
        };
        self.effects.decisions.push(Decision::WorkerCrashed {
            incarnation: session.incarnation.clone(),
            cause,
            runs: session.runs.len(),
        });
        for run in exposed_runs(session, now) {
            self.effects.decisions.push(Decision::RunCrashed {
                task: run.task,
                run: run.run,
                worker: worker.clone(),
                ran: run.ran,
            });
        }
    }

    /// Takes over what a task has been charged with.
    pub(super) fn suspect_task(&mut self, task: &Task, suspicion: Suspicion) {
        self.effects.decisions.push(Decision::TaskSuspected {
            task: *task,
            crashes: suspicion.crashes,
            points: suspicion.points,
            given_up: suspicion.is_conclusive(),
        });
        if let Some(stage) = self.stages.get_mut(&task.stage) {
            stage.suspects.entry(task.index).or_default().points = suspicion.points;
            self.suspect_stages.insert(task.stage);
        }
    }

    /// Takes over what tasks of a step have been charged with, when it is opened.
    pub(super) fn load_suspects(&mut self, state: &State, id: &job::Stage) {
        let suspicions = state.crashes().suspicions();
        let of_stage = suspicions.filter(|(task, _)| task.stage == *id);
        for (task, suspicion) in of_stage {
            if let Some(stage) = self.stages.get_mut(id) {
                stage.suspects.entry(task.index).or_default().points = suspicion.points;
                self.suspect_stages.insert(*id);
            }
        }
    }

    /// Notes that the lease of a task's run has ended on a worker that doesn't answer.
    pub(super) fn add_doubt(&mut self, worker: &id::Worker, task: &Task) {
        let Some(session) = self
            .sessions
            .get(worker)
            .filter(|session| !session.is_ending())
        else {
            return;
        };
        let Some(stage) = self.stages.get_mut(&task.stage) else {
            return;
        };
        let index = stage.unit_key(task.index);
        let unit = Task { index, ..*task };
        let doubts = self.silences.doubts.entry(session.incarnation.clone());
        let doubts = doubts.or_default();
        if !doubts.contains(&unit) {
            doubts.push(unit);
            stage.suspects.entry(index).or_default().doubts += 1;
            self.suspect_stages.insert(task.stage);
        }
    }

    /// Drops the doubts about tasks on a worker of which it is known what became of it,
    /// or that is forgotten.
    pub(super) fn clear_doubts(&mut self, incarnation: &Incarnation) {
        let doubts = self.silences.doubts.swap_remove(incarnation);
        for task in doubts.unwrap_or_default() {
            if let Some(stage) = self.stages.get_mut(&task.stage)
                && let Some(suspect) = stage.suspects.get_mut(&task.index)
            {
                suspect.doubts = suspect.doubts.saturating_sub(1);
                stage.examined = false;
            }
        }
    }
}

/// The runs that a worker has or may have started, each with how long it had run when
/// the worker last answered.
fn exposed_runs(session: &Session, now: Time) -> Vec<Exposed> {
    let last_answer = session.last_answer.min(now);
    let exposed = |((task, number), run): (&(Task, u64), &Run)| Exposed {
        task: *task,
        run: *number,
        ran: last_answer.since(run.started_at),
    };
    let started = session.runs.iter().filter(|(_, run)| !run.is_unsent());
    started.map(exposed).collect()
}
