//! Which tasks give way to more urgent ones.
//!
//! Answers a burst of urgent short jobs while long ones hold all the room:
//! a task that saves its progress loses next to nothing when it is stopped.

use crate::fleet::decision::Why;
use crate::fleet::dispatch::Lead;
use crate::fleet::dispatch::place::may_run;
use crate::fleet::dispatch::rank::{Hope, rank};
use crate::fleet::dispatch::session::Doing;
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

/// The urgency that may stop others' tasks.
const URGENT: u32 = 0;

impl Lead {
    /// Stops tasks of less urgent jobs for a step that found no room.
    pub(super) fn make_room(&mut self, id: &job::Stage, now: Time) {
        let Some(stage) = self.stages.get(id) else {
            return;
        };
        if stage.queue.priority != URGENT || stage.step.gang {
            return;
        }
        let whole = rank(stage, now).0 == Hope::Whole;
        let waited = stage
            .blocked
            .is_some_and(|since| now.since(since) >= PATIENCE);
        if !whole || !waited {
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
            let pass = stage.pass(name).is_some_and(|pass| pass.is_good(now));
            if (pass || !stage.needs_advice())
                && let Some(victim) = self.victim(stage, name, now)
            {
                victims.push(victim);
                wanted -= 1;
            }
        }
        for victim in victims {
            self.stop(&victim, Why::Preempted, now);
        }
        if let Some(stage) = self.stages.get_mut(id) {
            stage.blocked = Some(now);
        }
    }

    /// How many runs are being stopped.
    fn stopping(&self) -> usize {
        let runs = self
            .sessions
            .values()
            .flat_map(|session| session.runs.values());
        runs.filter(|run| run.state == Doing::Stopping).count()
    }

    /// The cheapest task on a worker that can give way to one of a step's.
    fn victim(&self, stage: &Stage, name: &id::Worker, now: Time) -> Option<Task> {
        let session = self.sessions.get(name)?;
        if !may_run(stage, session) || !session.is_usable(now) {
            return None;
        }
        let size = stage.step.room();
        let free = session.free();
        let able = session.runs.iter().filter(|(task, run)| {
            let owner = self.stages.get(&task.stage);
            let yields = owner.is_some_and(|owner| {
                owner.queue.priority > stage.queue.priority
                    && owner.step.saves
                    && !owner.step.gang
                    && !owner.step.lasts
                    && !owner.step.fills
            });
            yields
                && run.state == Doing::Up
                && now.since(run.began) >= SETTLED
                && size.fits(&free.plus(&run.size))
        });
        let cheapest = able.min_by_key(|(_, run)| run.size.weight());
        cheapest.map(|(task, _)| *task)
    }
}
