//! Workers that are avoided because runs have failed there, and for how long.
//!
//! Such a worker may be unsound, or sound and the tasks at fault. It is the last choice,
//! and tasks are kept from it only as long as they are likely to start elsewhere: after
//! [`AVOIDANCE_LIMIT`] without a run a task goes to an avoided worker if no other has
//! room, unless its pool is busy and it waits for its turn at others. A task that
//! lasts waits for no turn. The same bound ends the wait for a better place.
//!
//! Not overruled: constraints, room, tickets, a worker that drains,
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

/// For how long avoidance keeps a task waiting beside room, if its pool isn't busy. By the
/// users' rules no job may have nothing running for 3 s beside room for it twice over;
/// waiting tasks are examined against all workers twice a second.
pub(super) const AVOIDANCE_LIMIT: Span = Span::from_millis(2_000);

/// Whether tasks avoid workers on which runs have failed, and wait for better places.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Caution {
    Usual,
    /// They don't any longer, as they have waited for [`AVOIDANCE_LIMIT`].
    Overruled,
}

/// Why a worker that could run a task is avoided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Avoidance {
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
    /// Why all tasks avoid a worker at present, if they do.
    pub(super) fn avoidance_of(session: &Session, now: Time) -> Option<Avoidance> {
        match () {
            () if session.probation.is_paused(now) => Some(Avoidance::Pause),
            () if session.has_probe() => Some(Avoidance::Probe),
            () => None,
        }
    }

    /// The pending tasks of a step that have waited too long to avoid any worker.
    pub(super) fn overdue_tasks(
        &self,
        stage: &Stage,
        survey: &mut Survey,
        now: Time,
    ) -> Vec<u32> {
        let is_overdue = |since: Time| now.since(since) >= AVOIDANCE_LIMIT;
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

    /// The first workers with room that a step avoids, at most `limit`, each with the
    /// reason.
    pub(super) fn avoided_workers(
        &self,
        stage: &Stage,
        limit: usize,
        now: Time,
    ) -> Vec<(id::Worker, Avoidance)> {
        let first = stage.pending.keys().next().copied().unwrap_or_default();
        let reason = |worker: &id::Worker, session: &Session| {
            let failed_there = stage.avoids(first, worker, usize::MAX);
            let failed_there = failed_there.then_some(Avoidance::FailedThere);
            Self::avoidance_of(session, now).or(failed_there)
        };
        let sessions = self.permitted_sessions(stage).into_iter();
        let avoided = sessions.filter_map(|(worker, session)| {
            self.candidate(stage, worker, session, Caution::Overruled, now)?;
            Some((worker.clone(), reason(worker, session)?))
        });
        avoided.take(limit).collect()
    }

    /// For how long a step avoids workers at most; none if it waits for its turn.
    pub(super) fn avoidance_left(&self, stage: &Stage, now: Time) -> Option<Span> {
        if self.waits_for_turn(stage, &mut Survey::default()) {
            return None;
        }
        let waited = stage.pending.values().map(|since| now.since(*since)).max();
        Some(AVOIDANCE_LIMIT.saturating_sub(waited.unwrap_or_default()))
    }

    /// Whether a step's tasks wait for their turn: much of their pool is in use, and
    /// others than the avoided workers will have room.
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
