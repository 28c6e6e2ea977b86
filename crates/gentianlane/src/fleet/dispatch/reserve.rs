//! Room that is kept for large steps.
//!
//! Answers accelerators that are nearly all in use: small tasks take every gap,
//! and a gang or a task that needs most of a worker would wait for ever. The
//! workers that can be free for it soonest take no more lower ranked work,
//! except what ends before then.

use indexmap::IndexMap;

use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::place::{is_able, may_run};
use crate::fleet::dispatch::session::{Run, Session};
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::job::{Size, Task};
use crate::id;
use crate::unit::{Span, Time};

/// The most steps for which room is kept at the same time.
const LIMIT: usize = 4;

/// What a run that has outlived its expected time is taken to need still.
const OVERDUE: Span = Span::from_millis(300);

/// How much sooner another worker has to be free than one that is kept already:
/// a choice that changes with each estimate never lets a worker run empty.
const SWITCH: Span = Span::from_millis(500);

/// Workers that are kept, each with the time at which it is needed.
#[derive(Debug, Default)]
pub(crate) struct Kept {
    workers: IndexMap<id::Worker, Time>,
    steps: usize,
}

/// When a worker has room for a step.
#[derive(Debug)]
struct Offer<'a> {
    /// By what it is compared with others.
    order: Time,
    /// When it has room.
    at: Time,
    name: &'a id::Worker,
    /// How many of the step's tasks it has room for then.
    members: u32,
}

impl Kept {
    /// Whether a task that runs for `span` may go to a worker in spite of what
    /// it is kept for.
    pub(crate) fn allows(&self, worker: &id::Worker, span: Span, now: Time) -> bool {
        self.workers
            .get(worker)
            .is_none_or(|&needed| now.after(span) <= needed)
    }
}

impl Dispatcher {
    /// Keeps room for a step that found none; gives the workers that it keeps,
    /// each with the time from which it has room by itself.
    pub(super) fn keep_room(
        &self,
        kept: &mut Kept,
        stage: &Stage,
        now: Time,
    ) -> Vec<(id::Worker, Time)> {
        if kept.steps >= LIMIT || !self.is_large(stage) {
            return Vec::new();
        }
        let size = stage.step.room();
        let mut wanted = match stage.step.gang {
            true => stage.step.count,
            false => u32::try_from(stage.pending.len()).unwrap_or(u32::MAX),
        };
        let mut soonest: Vec<Offer> = self
            .sessions
            .iter()
            .filter(|(name, session)| {
                is_able(stage, name, session) && !kept.workers.contains_key(*name)
            })
            .filter_map(|(name, session)| {
                let (at, members) = self.free_at(session, &size, wanted, now)?;
                let held = stage.reserved.contains(name);
                let order = if held { at } else { at.after(SWITCH) };
                Some(Offer {
                    order,
                    at,
                    name,
                    members,
                })
            })
            .collect();
        soonest.sort_unstable_by(|one, other| {
            (one.order, one.name).cmp(&(other.order, other.name))
        });
        let mut chosen = Vec::new();
        for offer in soonest {
            if wanted == 0 {
                break;
            }
            wanted = wanted.saturating_sub(offer.members);
            chosen.push((offer.name.clone(), offer.at));
        }
        // A gang that can't be whole keeps nothing.
        if wanted > 0 && stage.step.gang {
            return Vec::new();
        }
        kept.steps += 1;
        kept.workers.extend(chosen.iter().cloned());
        chosen
    }

    /// Whether a step's tasks take much of a worker, or have to start together.
    pub(super) fn is_large(&self, stage: &Stage) -> bool {
        let size = stage.step.room();
        let mut able = self
            .sessions
            .values()
            .filter(|session| may_run(stage, session));
        let large = able.any(|session| {
            let capacity = session.profile.capacity;
            2 * size.accelerators >= capacity.accelerators.max(1)
                || 2 * size.millicores > capacity.millicores
                || 2 * size.memory > capacity.memory
        });
        large || (stage.step.gang && stage.step.count > 1)
    }

    /// When a worker has room for a task of this size, and for how many of
    /// those wanted by then; none if never.
    pub(super) fn free_at(
        &self,
        session: &Session,
        size: &Size,
        wanted: u32,
        now: Time,
    ) -> Option<(Time, u32)> {
        if !size.fits(&session.profile.capacity) {
            return None;
        }
        let mut ends: Vec<(Time, Size)> = session
            .runs
            .iter()
            .filter_map(|(task, run)| Some((self.ends_at(task, run, now)?, run.demand)))
            .collect();
        ends.sort_unstable_by_key(|(at, _)| *at);
        let mut free = session.free();
        let mut at = now;
        let mut ends = ends.into_iter();
        while !size.fits(&free) {
            let (end, freed) = ends.next()?;
            free = free.plus(&freed);
            at = end;
        }
        let mut members = 0;
        while members < wanted && size.fits(&free) {
            free = free.less(size);
            members += 1;
        }
        Some((at, members))
    }

    /// When a run is likely to end; none if it lasts.
    pub(super) fn ends_at(&self, task: &Task, run: &Run, now: Time) -> Option<Time> {
        let Some(stage) = self.stages.get(&task.stage) else {
            return Some(now.after(OVERDUE));
        };
        if stage.step.lasts {
            return None;
        }
        let expected = match run.progress.remaining(now) {
            Some(left) => now.after(left),
            None => run
                .started_at
                .after(self.expected(stage))
                .max(now.after(OVERDUE)),
        };
        Some(expected)
    }

    /// How long a task of a step is likely to run.
    pub(super) fn expected(&self, stage: &Stage) -> Span {
        self.estimator
            .expected_duration(&stage.queue_name, &stage.step)
    }
}
