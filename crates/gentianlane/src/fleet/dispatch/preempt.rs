//! Which tasks give way to more urgent ones.
//!
//! Answers a burst of urgent short jobs while long ones hold all the room, and
//! large tasks that need most of a worker: a task that saves its progress loses
//! next to nothing when it is stopped.

use crate::fleet::decision::Why;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::backlog::{TOP_PRIORITY, effective_priority};
use crate::fleet::dispatch::place::matches_constraints;
use crate::fleet::dispatch::rank::{Timeliness, assess_deadline};
use crate::fleet::dispatch::session::{Run, RunState};
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::job::{self, Task};
use crate::id;
use crate::unit::{Span, Time};

/// How long an urgent step waits for room by itself first.
const PATIENCE: Span = Span::from_millis(120);

/// A task isn't stopped before it has run this long, so that two queues don't
/// take turns in stopping each other's tasks; a checkpoint takes about as long.
const SETTLED: Span = Span::from_millis(1_000);

/// The most tasks that are being stopped for others at the same time.
const LIMIT: usize = 12;

/// How much sooner a large step has to find room for tasks to be stopped: they
/// lose up to a second of work each.
const GAIN: Span = Span::from_millis(800);

impl Dispatcher {
    /// Stops tasks of less urgent jobs for a step that found no room.
    pub(super) fn make_room(&mut self, id: &job::Stage, now: Time) {
        let Some(stage) = self.stages.get(id) else {
            return;
        };
        let (timeliness, slack) = assess_deadline(stage, now);
        if effective_priority(stage, slack) != TOP_PRIORITY || stage.step.gang {
            return;
        }
        let attainable = timeliness != Timeliness::Expired;
        let waited = stage
            .blocked_since
            .is_some_and(|since| now.since(since) >= PATIENCE);
        if !attainable || !waited {
            return;
        }
        // Room that is about to be free needs no further victim.
        let most = stage.pending.len().min(LIMIT);
        let mut wanted = most.saturating_sub(self.stopping());
        let mut victims = Vec::new();
        for name in self.sessions.keys() {
            if wanted == 0 {
                break;
            }
            let pass = stage
                .permit(name)
                .is_some_and(|permit| permit.is_valid(now));
            if (pass || !stage.needs_advice())
                && let Some(victim) = self.victim(stage, name, now)
            {
                victims.push(victim);
                wanted -= 1;
            }
        }
        for victim in victims {
            self.stop_run(&victim, Why::Preempted, now);
        }
        if let Some(stage) = self.stages.get_mut(id)
            && !stage.step.lasts
        {
            stage.blocked_since = Some(now);
        }
    }

    /// Stops tasks of less urgent jobs on workers that are kept for a large
    /// step, if that has the worker free much sooner.
    pub(super) fn clear_workers(
        &mut self,
        id: &job::Stage,
        kept: &[(id::Worker, Time)],
        now: Time,
    ) {
        let Some(stage) = self.stages.get(id) else {
            return;
        };
        let waited = stage
            .blocked_since
            .is_some_and(|since| now.since(since) >= PATIENCE);
        if !waited {
            return;
        }
        let mut room = LIMIT.saturating_sub(self.stopping());
        let mut victims = Vec::new();
        for (name, at) in kept {
            let found = self.in_the_way(stage, name, *at, now);
            if found.len() <= room {
                room -= found.len();
                victims.extend(found);
            }
        }
        for victim in victims {
            self.stop_run(&victim, Why::Preempted, now);
        }
    }

    /// The tasks on a worker that can give way to one of a large step's, and
    /// without which it is free much sooner than at a time; none if there is
    /// no such choice.
    fn in_the_way(
        &self,
        stage: &Stage,
        name: &id::Worker,
        at: Time,
        now: Time,
    ) -> Vec<Task> {
        let Some(session) = self.sessions.get(name) else {
            return Vec::new();
        };
        let soon = now.after(self.setup.stop).after(GAIN);
        if at < soon {
            return Vec::new();
        }
        let size = stage.step.room();
        let mut free = session.free();
        let mut open = Vec::new();
        for (task, run) in &session.runs {
            let ends = self.expected_end(task, run, now);
            let ends_soon = ends.is_some_and(|ends| ends < soon);
            match ends_soon || run.state == RunState::Stopping {
                true => free = free.plus(&run.demand),
                false if self.yields(stage, task, run, now) => open.push((task, run)),
                false => {}
            }
        }
        open.sort_by_key(|(_, run)| run.demand.weight());
        let mut victims = Vec::new();
        for (task, run) in open {
            if size.fits(&free) {
                break;
            }
            free = free.plus(&run.demand);
            victims.push(*task);
        }
        match size.fits(&free) {
            true => victims,
            false => Vec::new(),
        }
    }

    /// Whether a run can give way to a step at little cost.
    fn yields(&self, stage: &Stage, task: &Task, run: &Run, now: Time) -> bool {
        let owner = self.stages.get(&task.stage);
        let gives_way = owner.is_some_and(|owner| {
            owner.queue.priority > stage.queue.priority
                && owner.step.saves
                && !owner.step.gang
                && !owner.step.lasts
                && !owner.step.fills
        });
        gives_way
            && run.state == RunState::Running
            && now.since(run.started_at) >= SETTLED
    }

    /// How many runs are being stopped.
    fn stopping(&self) -> usize {
        let runs = self
            .sessions
            .values()
            .flat_map(|session| session.runs.values());
        runs.filter(|run| run.state == RunState::Stopping).count()
    }

    /// The cheapest task on a worker that can give way to one of a step's.
    fn victim(&self, stage: &Stage, name: &id::Worker, now: Time) -> Option<Task> {
        let session = self.sessions.get(name)?;
        if !matches_constraints(stage, session) || !session.is_usable(now) {
            return None;
        }
        let size = stage.step.room();
        let free = session.free();
        let able = session.runs.iter().filter(|(task, run)| {
            self.yields(stage, task, run, now) && size.fits(&free.plus(&run.demand))
        });
        let cheapest = able.min_by_key(|(_, run)| run.demand.weight());
        cheapest.map(|(task, _)| *task)
    }
}
