//! Runs that stand still or crawl, and are better started elsewhere.
//!
//! Answers workers that look healthy while their tasks make no progress, or
//! several times less than before. What pays is weighed as if a
//! standstill went on for as long as it has lasted.

use crate::fleet::decision::{Decision, Why};
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::place::is_feasible;
use crate::fleet::dispatch::session::{Run, RunState, Session};
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::job::Task;
use crate::id;
use crate::unit::{Span, Time};

/// How long a run has to make no progress to count as standing still; a worker
/// tells of its runs once a second at the least.
const STILL: Span = Span::from_millis(1_200);

/// How many times slower than at its best a run has to be to count as crawling;
/// readings are off by a sixth. Other tasks of its step say too little: they
/// differ by size and by their workers' kinds.
const CRAWL: u64 = 3;

/// How long a worker gets no new work once a run stands still or crawls there.
const REST: Span = Span::from_millis(2_000);

/// The time from a stop's end to the task's work elsewhere.
const RESTART: Span = Span::from_millis(200);

/// How far back the newest checkpoint may be, by the platform's rules.
const SAVED_AGO: Span = Span::from_millis(1_000);

impl Dispatcher {
    /// Looks at what a worker has just told of its runs.
    pub(super) fn rescue(&mut self, worker: &id::Worker, now: Time) {
        let Some(session) = self.sessions.get(worker) else {
            return;
        };
        let ill: Vec<(Task, Why, bool)> = session
            .runs
            .iter()
            .filter(|(_, run)| run.state == RunState::Running)
            .filter_map(|(task, run)| self.examine(worker, session, task, run))
            .collect();
        let Some(&(_, why, _)) = ill.first() else {
            return;
        };
        self.avoid(worker, why, now);
        for (task, why, _) in ill.into_iter().filter(|&(_, _, pays)| pays) {
            self.stop_run(&task, why, now);
        }
    }

    /// What is wrong with a run, if anything, and whether to start it elsewhere
    /// pays.
    fn examine(
        &self,
        worker: &id::Worker,
        session: &Session,
        task: &Task,
        run: &Run,
    ) -> Option<(Task, Why, bool)> {
        let stage = self.stages.get(&task.stage)?;
        // The pace of a task that lasts or fills says nothing, and which member
        // holds up a gang can't be told.
        let alone = !stage.step.gang || stage.step.count == 1;
        if stage.step.lasts || stage.step.fills || !alone {
            return None;
        }
        let progress = &run.progress;
        let usual = usual_pace(stage, run)?;
        let still = progress.stalled();
        let best = progress.best_pace().unwrap_or(usual);
        let crawls = progress.pace().is_some_and(|pace| pace >= CRAWL * best);
        let left = progress.remaining_at(usual);
        let (why, here) = match () {
            () if still >= STILL => (Why::Still, left + still),
            () if crawls => (Why::Slow, progress.remaining_at(progress.pace()?)),
            () => return None,
        };
        let whole = Span::from_millis(usual * 100 / 1_000);
        let again = match run.checkpoint.is_empty() {
            true => whole,
            false => whole.min(left + SAVED_AGO),
        };
        let there = self.setup.stop + RESTART + again;
        let pays =
            here.times(2) > there.times(3) && self.is_elsewhere(worker, stage, session);
        Some((*task, why, pays))
    }

    /// Whether another worker has room for a task of a step now.
    fn is_elsewhere(&self, worker: &id::Worker, stage: &Stage, ill: &Session) -> bool {
        let size = stage.step.room();
        self.sessions.iter().any(|(name, session)| {
            name != worker
                && is_feasible(stage, name, session)
                && session.is_usable(ill.last_answer)
                && size.fits(&session.free())
        })
    }

    /// Gives a worker no new work for a while.
    fn avoid(&mut self, worker: &id::Worker, why: Why, now: Time) {
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        let fresh = session.avoid_until <= now;
        session.avoid_until = session.avoid_until.max(now.after(REST));
        if fresh {
            self.effects.decisions.push(Decision::Avoided {
                worker: worker.clone(),
                why,
                span: REST,
            });
        }
    }
}

/// Microseconds for one percent of a run on a sound worker, as far as the run
/// itself or others of its step have shown.
fn usual_pace(stage: &Stage, run: &Run) -> Option<u64> {
    match (stage.best_pace(), run.progress.best_pace()) {
        (Some(step), Some(own)) => Some(step.min(own)),
        (step, own) => step.or(own),
    }
}
