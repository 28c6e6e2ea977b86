//! Detects stragglers and restarts them on other workers.
//!
//! A worker can look healthy while its tasks make no progress, or make it
//! several times slower than before. Whether a restart pays is estimated on the
//! assumption that a stall goes on for as long as it has lasted so far.

use crate::fleet::decision::{Cause, Decision};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::place::is_feasible;
use crate::fleet::dispatch::session::{Run, RunState, Session};
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::job::Task;
use crate::id;
use crate::unit::{Span, Time};

/// How long a run makes no progress before it counts as stalled. Workers report
/// their runs at least once a second.
const STALL_TIMEOUT: Span = Span::from_millis(1_200);

/// How many times slower than at its best a run has to be to count as slow;
/// measured paces are off by a sixth. Other tasks of its step are no reference,
/// as they differ in size and in the kind of their worker.
const SLOWDOWN_FACTOR: u64 = 3;

/// How long a worker gets no new tasks after a straggler was seen there.
const AVOID_PERIOD: Span = Span::from_millis(2_000);

/// The time from the end of a stop until the task makes progress elsewhere.
const RESTART_DELAY: Span = Span::from_millis(200);

/// The highest age of the newest checkpoint, by the platform's rules.
const CHECKPOINT_AGE: Span = Span::from_millis(1_000);

impl Dispatcher {
    /// Checks a worker's runs right after it has reported them.
    ///
    /// A worker with stragglers gets no new tasks for a while. The stragglers
    /// that finish sooner elsewhere are stopped, so that they are placed again.
    pub(super) fn restart_stragglers(&mut self, worker: &id::Worker, now: Time) {
        let Some(session) = self.sessions.get(worker) else {
            return;
        };
        let stragglers: Vec<(Task, Cause, bool)> = session
            .runs
            .iter()
            .filter(|(_, run)| run.state == RunState::Running)
            .filter_map(|((task, _), run)| self.diagnose(worker, session, task, run))
            .collect();
        let Some(&(_, cause, _)) = stragglers.first() else {
            return;
        };
        self.avoid_worker(worker, cause, now);
        for (task, cause, _) in stragglers.into_iter().filter(|&(_, _, pays)| pays) {
            self.stop_run(&task, cause, now);
        }
    }

    /// Whether a run is a straggler: its task, the cause, and whether a restart
    /// elsewhere pays.
    fn diagnose(
        &self,
        worker: &id::Worker,
        session: &Session,
        task: &Task,
        run: &Run,
    ) -> Option<(Task, Cause, bool)> {
        let stage = self.stages.get(&task.stage)?;
        // Long-running and best-effort tasks have no meaningful pace, and which
        // member holds up a gang can't be told from it.
        let single = !stage.step.gang || stage.step.count == 1;
        if stage.step.long_running || stage.step.best_effort || !single {
            return None;
        }
        let progress = &run.progress;
        let expected = expected_pace(stage, run)?;
        let stalled = progress.stalled();
        let best = progress.best_pace().unwrap_or(expected);
        let is_slow = progress
            .pace()
            .is_some_and(|pace| pace >= best.saturating_mul(SLOWDOWN_FACTOR));
        let left = progress.remaining_at(expected);
        let (cause, here) = match () {
            () if stalled >= STALL_TIMEOUT => (Cause::NoProgress, left + stalled),
            () if is_slow => (Cause::Slow, progress.remaining_at(progress.pace()?)),
            () => return None,
        };
        let full_run = Span::from_millis(expected.saturating_mul(100) / 1_000);
        let rerun = match run.checkpoint.is_empty() {
            true => full_run,
            false => full_run.min(left + CHECKPOINT_AGE),
        };
        let elsewhere = self.setup.stop_time + RESTART_DELAY + rerun;
        let pays = here.saturating_mul(2) > elsewhere.saturating_mul(3)
            && self.has_alternative(worker, stage, session);
        Some((*task, cause, pays))
    }

    /// Whether a worker other than the current one has room for a task of a
    /// step now.
    fn has_alternative(
        &self,
        worker: &id::Worker,
        stage: &Stage,
        current: &Session,
    ) -> bool {
        let demand = stage.step.demand();
        self.sessions.iter().any(|(name, session)| {
            name != worker
                && is_feasible(stage, name, session)
                && session.is_usable(current.last_answer)
                && demand.fits(&session.free())
        })
    }

    /// Gives a worker no new tasks for a while.
    fn avoid_worker(&mut self, worker: &id::Worker, cause: Cause, now: Time) {
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        let is_new = session.avoid_until <= now;
        session.avoid_until = session.avoid_until.max(now.after(AVOID_PERIOD));
        if is_new {
            self.effects.decisions.push(Decision::WorkerAvoided {
                worker: worker.clone(),
                cause,
                duration: AVOID_PERIOD,
            });
        }
    }
}

/// The pace of a run on a healthy worker, in microseconds per percent: the
/// quickest that the run itself or others of its step have shown.
fn expected_pace(stage: &Stage, run: &Run) -> Option<u64> {
    match (stage.best_pace(), run.progress.best_pace()) {
        (Some(step), Some(own)) => Some(step.min(own)),
        (step, own) => step.or(own),
    }
}
