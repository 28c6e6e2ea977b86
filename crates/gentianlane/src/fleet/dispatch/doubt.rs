//! Doubts that keep work from a worker, and for how long.
//!
//! A worker on which runs have failed may be unsound, or sound and the tasks at fault. A
//! doubt makes it the last choice, and keeps tasks from it only as long as they are likely
//! to start elsewhere: after [`HOLD_LIMIT`] without a run a task goes to a worker in
//! doubt if no other has room, unless its pool is so busy that it waits for its turn.
//! A task that lasts waits for no turn.
//!
//! Not doubts, and never overruled here: constraints, room, tickets, a worker that drains,
//! doesn't answer, refuses orders or whose runs stand still at present, a start that may
//! still be carried out elsewhere, a team's limit; and a reservation or a trial, which
//! keeps a worker for another task that waits.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::place::is_feasible;
use crate::fleet::dispatch::session::Session;
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::dispatch::survey::Survey;
use crate::fleet::job::{Resources, Task};
use crate::id;
use crate::unit::{Span, Time};

/// For how long doubts keep a task waiting beside room, if its pool isn't busy. By the
/// users' rules no job may have nothing running for 3 s beside room for it twice over;
/// waiting tasks are examined against all workers twice a second.
pub(super) const HOLD_LIMIT: Span = Span::from_millis(2_000);

/// Whether doubts about workers count in a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Doubts {
    Count,
    /// The tasks have waited for [`HOLD_LIMIT`].
    Overruled,
}

/// Why a worker that could run a task is passed over for the time being.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Doubt {
    /// Runs have failed there, and a probe is under way.
    #[display("a probe is under way")]
    Probe,
    /// Runs have failed there, and it takes none for a while.
    #[display("it is paused")]
    Pause,
    /// The task has failed there.
    #[display("the task has failed there")]
    FailedThere,
}

impl Dispatcher {
    /// What keeps tasks from a worker that could run them otherwise.
    pub(super) fn doubt_about(session: &Session, now: Time) -> Option<Doubt> {
        match () {
            () if session.probation.is_paused(now) => Some(Doubt::Pause),
            () if session.has_probe() => Some(Doubt::Probe),
            () => None,
        }
    }

    /// The pending tasks of a step that no doubt keeps waiting any longer.
    pub(super) fn overdue_tasks(
        &self,
        stage: &Stage,
        survey: &mut Survey,
        now: Time,
    ) -> Vec<u32> {
        let is_overdue = |since: Time| now.since(since) >= HOLD_LIMIT;
        let since = |since: &Time| (*since).max(stage.not_before);
        let pending = stage.pending.iter();
        let overdue: Vec<u32> = pending
            .filter(|(_, pending_since)| is_overdue(since(pending_since)))
            .map(|(index, _)| *index)
            .collect();
        let is_whole = !stage.step.gang || overdue.len() == stage.pending.len();
        if overdue.is_empty() || !is_whole {
            return Vec::new();
        }
        match self.waits_for_turn(stage, survey) {
            true => Vec::new(),
            false => overdue,
        }
    }

    /// The first workers with room that doubts keep from a step, at most `limit`, each
    /// with the doubt.
    pub(super) fn held_workers(
        &self,
        stage: &Stage,
        limit: usize,
        now: Time,
    ) -> Vec<(id::Worker, Doubt)> {
        let first = stage.pending.keys().next().copied().unwrap_or_default();
        let doubt = |worker: &id::Worker, session: &Session| {
            let failed_there = stage.avoids(first, worker, usize::MAX);
            let failed_there = failed_there.then_some(Doubt::FailedThere);
            Self::doubt_about(session, now).or(failed_there)
        };
        let sessions = self.permitted_sessions(stage).into_iter();
        let held = sessions.filter_map(|(worker, session)| {
            self.candidate(stage, worker, session, Doubts::Overruled, now)?;
            Some((worker.clone(), doubt(worker, session)?))
        });
        held.take(limit).collect()
    }

    /// For how long doubts keep a step waiting at most; none if it waits for its turn.
    pub(super) fn hold_left(&self, stage: &Stage, now: Time) -> Option<Span> {
        if self.waits_for_turn(stage, &mut Survey::default()) {
            return None;
        }
        let waited = stage.pending.values().map(|since| now.since(*since)).max();
        Some(HOLD_LIMIT.saturating_sub(waited.unwrap_or_default()))
    }

    /// Whether a step's tasks wait for their turn: much of their pool is in use, and
    /// workers that aren't in doubt will have room.
    fn waits_for_turn(&self, stage: &Stage, survey: &mut Survey) -> bool {
        !stage.step.long_running
            && !self.is_quiet(&stage.queue.pool, survey)
            && self.has_turn(stage)
    }

    /// Whether workers on which no run has failed lately, nor any of the step's, could
    /// hold one of its tasks, or the whole gang, beside what lasts there.
    fn has_turn(&self, stage: &Stage) -> bool {
        let demand = stage.step.demand();
        let most = stage.step.max_per_worker.unwrap_or(u32::MAX);
        let mut wanted = match stage.step.gang {
            true => stage.step.count,
            false => 1,
        };
        let failed: Vec<&id::Worker> = stage.failed_on.values().flatten().collect();
        let sound = self.sessions.iter().filter(|(worker, session)| {
            !session.probation.is_on()
                && !failed.contains(worker)
                && is_feasible(stage, worker, session)
        });
        for (_, session) in sound {
            let room = session.profile.capacity.less(&self.lasting_use(session));
            wanted = wanted.saturating_sub(demand.times_in(&room, most));
            if wanted == 0 {
                return true;
            }
        }
        false
    }

    /// What runs that last use on a worker.
    fn lasting_use(&self, session: &Session) -> Resources {
        let lasts = |task: &Task| {
            let stage = self.stages.get(&task.stage);
            stage.is_some_and(|stage| stage.step.long_running)
        };
        let lasting = session.runs.iter().filter(|((task, _), _)| lasts(task));
        lasting.fold(Resources::default(), |sum, (_, run)| sum.plus(&run.demand))
    }

    /// Whether less than half of a pool is in use.
    fn is_quiet(&self, pool: &str, survey: &mut Survey) -> bool {
        let usages = survey.usages.get_or_insert_with(|| self.pool_usage());
        let usage = usages.get(pool).copied().unwrap_or_default();
        usage.used.weight() * 2 < usage.capacity.weight()
    }
}
