//! Preempts tasks of lower priority for steps that can't be placed.
//!
//! There are two cases: a burst of urgent short jobs while long tasks hold all
//! capacity, and large tasks that need most of a worker. Only tasks that write
//! checkpoints are preempted, as they lose little work.

use crate::fleet::decision::Cause;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::backlog::{TOP_PRIORITY, effective_priority};
use crate::fleet::dispatch::place::matches_constraints;
use crate::fleet::dispatch::rank::{Timeliness, assess_deadline};
use crate::fleet::dispatch::session::{Run, RunState, Session};
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::dispatch::survey::Survey;
use crate::fleet::job::{self, Task};
use crate::id;
use crate::unit::{Span, Time};

/// How long a step waits for capacity to get free by itself before tasks are
/// preempted for it.
pub(super) const PREEMPTION_DELAY: Span = Span::from_millis(120);

/// How long a task runs before it can be preempted, so that two queues don't
/// keep preempting each other's tasks; also about the time from one checkpoint
/// to the next.
const MIN_RUN_TIME: Span = Span::from_millis(1_000);

/// The most runs that preemption may have stopping at the same time in a small
/// fleet; runs that stop for other reasons count too.
const MIN_STOP_LIMIT: usize = 12;

/// How many workers a larger fleet has for each such run.
const WORKERS_PER_STOP: usize = 4;

/// How much sooner preemption has to free a reserved worker to be worth it:
/// each victim loses up to a second of work.
const MIN_GAIN: Span = Span::from_millis(800);

impl Dispatcher {
    /// Preempts tasks of lower priority for a step of the highest priority that
    /// couldn't be placed.
    pub(super) fn preempt_for_urgent(
        &mut self,
        id: &job::Stage,
        survey: &mut Survey,
        now: Time,
    ) {
        let Some(stage) = self.stages.get(id) else {
            return;
        };
        let (timeliness, slack) = assess_deadline(stage, now);
        if effective_priority(stage, slack) != TOP_PRIORITY
            || stage.step.gang
            || stage.beyond_share
        {
            return;
        }
        let attainable = timeliness != Timeliness::Expired;
        let waited = stage
            .blocked_since
            .is_some_and(|since| now.since(since) >= PREEMPTION_DELAY);
        if !attainable || !waited {
            return;
        }
        // Each run that is stopping already frees capacity for a pending task.
        let needed = stage.pending.len().min(self.stop_limit());
        let mut wanted = needed.saturating_sub(survey.stopping);
        if wanted == 0 {
            return self.restart_blocked_time(id, now);
        }
        let mut victims = Vec::new();
        let preemptible = survey
            .preemptible
            .get_or_insert_with(|| self.preemptible_workers(now));
        self.effort.count_examined(preemptible.len());
        let workers = preemptible.iter();
        for (worker, session) in
            workers.filter_map(|&index| self.sessions.get_index(index))
        {
            if wanted == 0 {
                break;
            }
            let has_ticket = stage
                .permit(worker)
                .is_some_and(|permit| permit.is_valid(now));
            if (has_ticket || !stage.needs_advice())
                && let Some(victim) = self.cheapest_victim(stage, session, now)
            {
                victims.push(victim);
                wanted -= 1;
            }
        }
        survey.stopping += victims.len();
        for victim in victims {
            self.stop_run(&victim, Cause::Preempted, now);
        }
        self.restart_blocked_time(id, now);
    }

    /// The most runs that preemption may have stopping at the same time.
    pub(super) fn stop_limit(&self) -> usize {
        MIN_STOP_LIMIT.max(self.sessions.len() / WORKERS_PER_STOP)
    }

    /// Lets a step wait anew before it preempts more; a long-running one's wait also
    /// sets its rank.
    fn restart_blocked_time(&mut self, id: &job::Stage, now: Time) {
        if let Some(stage) = self.stages.get_mut(id)
            && !stage.step.long_running
        {
            stage.blocked_since = Some(now);
        }
    }

    /// The indexes of the workers with a run that a step of the highest priority may
    /// preempt.
    fn preemptible_workers(&self, now: Time) -> Vec<usize> {
        let has_preemptible = |session: &Session| {
            let mut runs = session.runs.iter();
            runs.any(|((task, _), run)| self.is_preemptible(TOP_PRIORITY, task, run, now))
        };
        let sessions = self.sessions.values().enumerate();
        sessions
            .filter(|(_, session)| session.trial.is_none() && has_preemptible(session))
            .map(|(index, _)| index)
            .collect()
    }

    /// Preempts tasks of lower priority on workers that are reserved for a
    /// step, where this frees the worker much sooner.
    ///
    /// `reserved` has each worker with the time when it is free by itself.
    pub(super) fn preempt_reserved(
        &mut self,
        id: &job::Stage,
        reserved: &[(id::Worker, Time)],
        survey: &mut Survey,
        now: Time,
    ) {
        let Some(stage) = self.stages.get(id) else {
            return;
        };
        let waited = stage
            .blocked_since
            .is_some_and(|since| now.since(since) >= PREEMPTION_DELAY);
        if !waited {
            return;
        }
        let mut budget = self.stop_limit().saturating_sub(survey.stopping);
        let mut victims = Vec::new();
        for (worker, available_at) in reserved {
            let blocking = self.blocking_tasks(stage, worker, *available_at, now);
            if blocking.len() <= budget {
                budget -= blocking.len();
                victims.extend(blocking);
            }
        }
        survey.stopping += victims.len();
        for victim in victims {
            self.stop_run(&victim, Cause::Preempted, now);
        }
    }

    /// The tasks to preempt on a worker so that a task of the step fits; none
    /// if the worker is free soon anyway or preemption doesn't make enough
    /// room.
    ///
    /// `available_at` is when the step's task fits without preemption.
    fn blocking_tasks(
        &self,
        stage: &Stage,
        worker: &id::Worker,
        available_at: Time,
        now: Time,
    ) -> Vec<Task> {
        let Some(session) = self.sessions.get(worker) else {
            return Vec::new();
        };
        let preemption_horizon = now.after(self.setup.stop_time).after(MIN_GAIN);
        if available_at < preemption_horizon {
            return Vec::new();
        }
        let demand = stage.step.demand();
        let mut free = session.free();
        let priority = stage.queue.priority;
        let mut preemptible = Vec::new();
        for ((task, _), run) in &session.runs {
            let ends = self.expected_end(task, run, now);
            let ends_soon = ends.is_some_and(|ends| ends < preemption_horizon);
            match ends_soon || run.state == RunState::Stopping {
                true => free = free.plus(&run.demand),
                false if self.is_preemptible(priority, task, run, now) => {
                    preemptible.push((task, run));
                }
                false => {}
            }
        }
        preemptible.sort_by_key(|(_, run)| run.demand.weight());
        let mut victims = Vec::new();
        for (task, run) in preemptible {
            if demand.fits(&free) {
                break;
            }
            free = free.plus(&run.demand);
            victims.push(*task);
        }
        match demand.fits(&free) {
            true => victims,
            false => Vec::new(),
        }
    }

    /// Whether a run may be preempted for a step whose queue has this priority: its
    /// own queue has a lower one, its task writes checkpoints and is no member of a
    /// gang, nor long-running or best-effort.
    pub(super) fn is_preemptible(
        &self,
        priority: u32,
        task: &Task,
        run: &Run,
        now: Time,
    ) -> bool {
        let owner = self.stages.get(&task.stage);
        let owner_allows = owner.is_some_and(|owner| {
            owner.queue.priority > priority
                && owner.step.checkpoints
                && !owner.step.gang
                && !owner.step.long_running
                && !owner.step.best_effort
        });
        owner_allows
            && run.state == RunState::Running
            && now.since(run.started_at) >= MIN_RUN_TIME
    }

    /// The cheapest task on a worker whose preemption makes room for a task of
    /// the step.
    fn cheapest_victim(
        &self,
        stage: &Stage,
        session: &Session,
        now: Time,
    ) -> Option<Task> {
        if !matches_constraints(stage, session) || !session.is_usable(now) {
            return None;
        }
        let demand = stage.step.demand();
        let free = session.free();
        let preemptible = session.runs.iter().filter(|((task, _), run)| {
            self.is_preemptible(stage.queue.priority, task, run, now)
                && demand.fits(&free.plus(&run.demand))
        });
        let cheapest = preemptible.min_by_key(|(_, run)| run.demand.weight());
        cheapest.map(|((task, _), _)| *task)
    }
}
