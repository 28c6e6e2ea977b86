//! In which order waiting steps get room.
//!
//! Answers the load at which more waits than fits. Urgent queues go before
//! others, and within a queue's urgency whatever runs out of time first: a job
//! that can be in time has until its goal, one that will be late until it is
//! worth nothing. So a late job isn't passed by new ones until it is lost. What
//! is worth nothing any more gives way to all others, but still ends.
//!
//! Where not all can begin in time that could one by one, late ones and then
//! the largest are put off, so that as many as possible are in time: in the
//! order of deadlines alone each would make the next one late.

use indexmap::IndexMap;

use crate::fleet::dispatch::stage::Stage;
use crate::fleet::job;
use crate::unit::{Span, Time};

/// What a job can still be worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Hope {
    /// It can be in time.
    Whole,
    /// It will be late, and still worth something.
    Late,
    /// It's worth nothing any more.
    Lost,
}

/// A step that waits, as the order sees it.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) id: job::Stage,
    pub(crate) pool: String,
    pub(crate) priority: u32,
    pub(crate) hope: Hope,
    /// How many milliseconds it can wait before its job is worth less.
    pub(crate) slack: i64,
    /// The share of the pool that its waiting tasks take, in millionths.
    pub(crate) share: u64,
    /// How long each of them is likely to run.
    pub(crate) takes: Span,
    /// Whether it isn't put off while it can be in time: a worker has to run
    /// empty for it, or its users are without it.
    pub(crate) firm: bool,
}

/// How a pool's room gets free.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Room {
    /// The share that is free now, in millionths.
    pub(crate) free: u64,
    /// How long it takes until all that runs has ended, if it ends evenly.
    pub(crate) turnover: Span,
}

/// What has its turn before a step.
#[derive(Debug, Default, Clone, Copy)]
struct Ahead {
    /// Its share of the pool, in millionths.
    share: u64,
    /// What it takes of the pool, in millionths of it for a millisecond.
    work: u64,
}

impl Room {
    /// How long a step waits behind others: until as much has got free as they
    /// and it take, at the pace of what runs or, if that is slower, of what
    /// waits.
    fn wait(&self, ahead: &Ahead, step: &Waiting) -> Span {
        let over = (ahead.share + step.share).saturating_sub(self.free);
        let waiting = ahead.work / ahead.share.max(1);
        let turnover = self.turnover.as_millis().max(waiting);
        Span::from_millis(over * turnover / WHOLE)
    }
}

impl Waiting {
    /// What the step takes of the pool, in millionths of it for a millisecond.
    fn work(&self) -> u64 {
        self.share * self.takes.as_millis()
    }
}

/// How long a task that lasts may wait like others of its urgency; after that
/// it goes before all. The users allow six seconds without it in all, and
/// advice and the stop of another task take up to two.
const LASTING_WAIT: Span = Span::from_millis(1_000);

/// A whole pool, in millionths.
pub(crate) const WHOLE: u64 = 1_000_000;

/// The steps in the order in which they get room.
pub(crate) fn order(
    mut waiting: Vec<Waiting>,
    rooms: &IndexMap<String, Room>,
) -> Vec<job::Stage> {
    waiting.sort_unstable_by_key(|step| place(step, false));
    let put_off = put_off(&waiting, rooms);
    let mut placed: Vec<_> = waiting
        .iter()
        .zip(put_off)
        .map(|(step, put_off)| (place(step, put_off), step.id))
        .collect();
    placed.sort_unstable();
    placed.into_iter().map(|(_, id)| id).collect()
}

/// A step's place; lower goes first.
fn place(step: &Waiting, put_off: bool) -> (bool, bool, u32, i64, job::Stage) {
    let lost = step.hope == Hope::Lost;
    (lost, put_off, step.priority, step.slack, step.id)
}

/// Which of some steps, in order, are better put off: whenever one that could
/// be in time would begin too late, the largest of those that are late anyway,
/// else the largest of the same urgency.
fn put_off(waiting: &[Waiting], rooms: &IndexMap<String, Room>) -> Vec<bool> {
    let mut put_off = vec![false; waiting.len()];
    let mut aheads: IndexMap<&str, Ahead> = IndexMap::new();
    let mut late: IndexMap<&str, Vec<usize>> = IndexMap::new();
    let mut chosen: IndexMap<(&str, u32), Vec<usize>> = IndexMap::new();
    for (at, step) in waiting.iter().enumerate() {
        let Some(room) = rooms.get(&step.pool) else {
            continue;
        };
        if step.hope == Hope::Lost {
            continue;
        }
        let ahead = aheads.entry(&step.pool).or_default();
        let late = late.entry(&step.pool).or_default();
        let chosen = chosen.entry((&step.pool, step.priority)).or_default();
        let wait = room.wait(ahead, step).as_millis();
        ahead.share += step.share;
        ahead.work += step.work();
        match step.hope {
            Hope::Whole if step.firm => {}
            Hope::Whole => chosen.push(at),
            Hope::Late | Hope::Lost => late.push(at),
        }
        let in_time = i64::try_from(wait).is_ok_and(|wait| wait <= step.slack);
        if in_time || step.hope != Hope::Whole {
            continue;
        }
        if let Some(off) =
            take_largest(late, waiting).or_else(|| take_largest(chosen, waiting))
        {
            ahead.share -= waiting[off].share;
            ahead.work -= waiting[off].work();
            put_off[off] = true;
        }
    }
    put_off
}

/// Takes the step with the largest share out of some.
fn take_largest(steps: &mut Vec<usize>, waiting: &[Waiting]) -> Option<usize> {
    let all = steps.iter().enumerate();
    let (index, _) = all.max_by_key(|(_, at)| waiting[**at].share)?;
    Some(steps.swap_remove(index))
}

/// What a step's job can still be worth, and how many milliseconds the step can
/// wait before that is less.
pub(crate) fn outlook(stage: &Stage, now: Time) -> (Hope, i64) {
    if stage.step.lasts {
        let waited = stage
            .blocked_since
            .map_or(Span::ZERO, |since| now.since(since));
        return (Hope::Whole, slack(LASTING_WAIT, waited));
    }
    let ready = stage.waited(now) + stage.remaining_path;
    let (goal, last_call) = (stage.soft_deadline(), stage.hard_deadline());
    match () {
        () if ready <= goal => (Hope::Whole, slack(goal, ready)),
        () if ready <= last_call => (Hope::Late, slack(last_call, ready)),
        () => (Hope::Lost, slack(last_call, ready)),
    }
}

fn slack(limit: Span, ready: Span) -> i64 {
    let millis = |span: Span| i64::try_from(span.as_millis()).unwrap_or(i64::MAX);
    millis(limit) - millis(ready)
}
