//! Probation of workers on which runs have failed.
//!
//! A failed run may be its task's fault or its worker's. A worker that fails all that it
//! starts always has room, so that it would draw in one task after another. After a
//! failure it therefore takes one probe at a time, until a run shows that it is sound: one
//! that completes, or that has lasted for [`PROBE_TIME`] and began after the failure. A
//! probe is one task or, as they end together, all members of a gang that go there.

use crate::fleet::decision::{Decision, Soundness};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::session::{Run, RunState, Session};
use crate::fleet::job::Task;
use crate::id;
use crate::unit::{Span, Time};

/// How long a probe has to last to show that its worker is sound.
const PROBE_TIME: Span = Span::from_millis(1_000);

/// The consecutive failures, of tasks that failed nowhere else, from which on a
/// worker pauses before the next probe.
const PAUSE_FAILURES: u32 = 3;

/// The first pause; each further failure doubles it, up to four times this.
const FIRST_PAUSE: Span = Span::from_millis(2_000);

/// What the failures of runs on a worker say about it.
#[derive(Debug, Clone)]
pub(crate) struct Probation {
    /// Failed runs since one that showed the worker to be sound, without those of tasks
    /// that failed on other workers too.
    failures: u32,
    /// When the last of them was reported.
    last_failure: Time,
    /// No probe begins before this time.
    paused_until: Time,
}

impl Probation {
    /// That of a worker on which no run has failed.
    pub(crate) fn new(now: Time) -> Self {
        Self {
            failures: 0,
            last_failure: now,
            paused_until: now,
        }
    }

    /// How many failures count against the worker; zero if it isn't on probation.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the worker is on probation.
    pub(crate) fn is_on(&self) -> bool {
        self.failures > 0
    }

    /// Whether the worker pauses before the next probe.
    pub(crate) fn is_paused(&self, now: Time) -> bool {
        self.pause_left(now) > Span::ZERO
    }

    /// How long the worker pauses before the next probe.
    pub(crate) fn pause_left(&self, now: Time) -> Span {
        self.paused_until.since(now)
    }

    /// How long the worker pauses after a failure before the next probe, if it does.
    fn pause(&self) -> Option<Span> {
        let doublings = self.failures.checked_sub(PAUSE_FAILURES)?.min(2);
        Some(FIRST_PAUSE.saturating_mul(1 << doublings))
    }

    /// Whether a run began after the last failure.
    fn is_later(&self, run: &Run) -> bool {
        run.started_at >= self.last_failure
    }
}

impl Session {
    /// Whether the worker is on probation and has a probe that may still fail.
    pub(crate) fn has_probe(&self) -> bool {
        let is_probe = |run: &Run| {
            run.state != RunState::Stopping
                && self.probation.is_later(run)
                && !self.has_lasted(run, PROBE_TIME)
        };
        self.probation.is_on() && self.runs.values().any(is_probe)
    }

    /// Whether a run had been active for some time when the worker last answered; of a
    /// silent worker that isn't known.
    pub(crate) fn has_lasted(&self, run: &Run, time: Span) -> bool {
        let ran = self.last_answer.since(run.started_at);
        run.state == RunState::Running && self.unanswered == 0 && ran >= time
    }
}

impl Dispatcher {
    /// Counts the failure of a task's run on a worker, unless the task has failed on
    /// others too.
    pub(super) fn count_failure(&mut self, worker: &id::Worker, task: &Task, now: Time) {
        let stage = self.stages.get(&task.stage);
        let failed_on: Vec<id::Worker> = stage
            .and_then(|stage| stage.failed_on.get(&stage.unit_key(task.index)))
            .map(|workers| workers.iter().cloned().collect())
            .unwrap_or_default();
        let others = failed_on.iter().filter(|other| *other != worker);
        // A task that fails on several workers is itself at fault, so its
        // failure doesn't count against the earlier worker any more.
        for other in others.clone() {
            if let Some(session) = self.sessions.get_mut(other) {
                let failures = &mut session.probation.failures;
                *failures = failures.saturating_sub(1);
            }
        }
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        if others.count() == 0 {
            session.probation.failures += 1;
            session.probation.last_failure = now;
        }
        let pause = session.probation.pause();
        if let Some(pause) = pause {
            session.probation.paused_until = now.after(pause);
        }
        if session.probation.is_on() {
            self.effects.decisions.push(Decision::WorkerOnProbation {
                worker: worker.clone(),
                task: *task,
                failures: session.probation.failures,
                pause: pause.unwrap_or_default(),
            });
        }
    }

    /// Ends a worker's probation, as a run has completed there.
    pub(super) fn note_completion(&mut self, worker: &id::Worker) {
        self.end_probation(worker, Soundness::Completed);
    }

    /// Ends a worker's probation if a probe has lasted there.
    pub(super) fn note_lasting_probe(&mut self, worker: &id::Worker) {
        let has_lasted = |session: &Session| {
            let mut runs = session.runs.values();
            session.probation.is_on()
                && runs.any(|run| {
                    session.probation.is_later(run) && session.has_lasted(run, PROBE_TIME)
                })
        };
        if self.sessions.get(worker).is_some_and(has_lasted) {
            self.end_probation(worker, Soundness::Lasted);
        }
    }

    fn end_probation(&mut self, worker: &id::Worker, soundness: Soundness) {
        let session = self.sessions.get_mut(worker);
        let Some(session) = session.filter(|session| session.probation.is_on()) else {
            return;
        };
        session.probation.failures = 0;
        self.effects.decisions.push(Decision::WorkerSound {
            worker: worker.clone(),
            soundness,
        });
    }
}
