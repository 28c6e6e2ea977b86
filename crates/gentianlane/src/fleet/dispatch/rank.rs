//! Ranks waiting steps by who gets capacity first.
//!
//! This matters under overload, when more work waits than fits. Queues of
//! higher priority go first; within one priority, steps go by slack, the time
//! left until the job loses value. For a job that can still be on time, that is
//! until its soft deadline, for a late one until its hard deadline. New jobs
//! therefore don't overtake a late job before it expires. Expired jobs rank
//! last but still run.
//!
//! Earliest deadline first alone has a domino effect under overload: each step
//! makes the next one late. So where steps could each be on time, but not all
//! of them, late steps and then the largest ones are deferred, to have as many
//! as possible on time.
//!
//! Jobs that a team sends beyond its share rank after those of all teams that are
//! within theirs, and never defer or preempt any of them.

use std::collections::BinaryHeap;

use crate::collections::IndexMap;

use crate::fleet::dispatch::stage::Stage;
use crate::fleet::job;
use crate::unit::{Span, Time};

/// How much of its value a job can still have, by when it can finish.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Timeliness {
    /// It can finish by its soft deadline, at full value.
    OnTime,
    /// It can finish by its hard deadline, at reduced value.
    Late,
    /// It can't finish by its hard deadline, and has no value any more.
    Expired,
}

/// A waiting step with what its rank depends on.
#[derive(Debug, Clone)]
pub(crate) struct Entry<'a> {
    pub(crate) id: job::Stage,
    pub(crate) pool: &'a str,
    pub(crate) priority: u32,
    pub(crate) timeliness: Timeliness,
    /// How many milliseconds it can wait before its job loses value.
    pub(crate) slack: i64,
    /// The share of the pool that its pending tasks need, in millionths.
    pub(crate) demand: u64,
    /// The expected run time of each task.
    pub(crate) run_time: Span,
    /// Whether it is never deferred while it can be on time: either a worker
    /// has to be drained of other tasks for it, or it is a long-running task
    /// whose users have no service until it runs.
    pub(crate) exempt: bool,
    /// Whether its team submitted the job beyond its share.
    pub(crate) beyond_share: bool,
}

/// What a pool has free, and how quickly the rest gets free.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Headroom {
    /// The share of the pool that is free now, in millionths.
    pub(crate) free: u64,
    /// The time until all present runs have ended, if they end at an even
    /// rate.
    pub(crate) turnover: Span,
}

/// The total of the steps ranked ahead in a pool.
#[derive(Debug, Default, Clone, Copy)]
struct Backlog {
    /// The share of the pool that they need, in millionths.
    demand: u64,
    /// Demand times run time, in millionths of the pool times milliseconds.
    work: u64,
}

impl Headroom {
    /// How long a step waits behind the backlog: until enough capacity for both
    /// has become free, at the rate of the running tasks or, if that is slower,
    /// of the backlog itself.
    fn queueing_delay(&self, backlog: &Backlog, step: &Entry<'_>) -> Span {
        let demand = backlog.demand.saturating_add(step.demand);
        let excess = demand.saturating_sub(self.free);
        let mean_run_time = backlog.work / backlog.demand.max(1);
        let turnover = self.turnover.as_millis().max(mean_run_time);
        Span::from_millis(excess.saturating_mul(turnover) / FULL_POOL)
    }
}

impl Entry<'_> {
    /// Demand times run time, in millionths of the pool times milliseconds.
    fn work(&self) -> u64 {
        self.demand.saturating_mul(self.run_time.as_millis())
    }
}

/// How long a long-running task waits at its queue's priority before it gets
/// the highest one. Its users tolerate an outage of six seconds in all, of
/// which advice and the stop of another task take up to two.
const LONG_RUNNING_WAIT: Span = Span::from_millis(1_000);

/// The capacity of a whole pool, in millionths.
pub(crate) const FULL_POOL: u64 = 1_000_000;

/// Orders waiting steps by who gets capacity first.
pub(crate) fn order(
    mut waiting: Vec<Entry<'_>>,
    headrooms: &IndexMap<String, Headroom>,
) -> Vec<job::Stage> {
    waiting.sort_unstable_by_key(|step| rank_key(step, false));
    let deferred = defer_steps(&waiting, headrooms);
    let mut ranked: Vec<_> = waiting
        .iter()
        .zip(deferred)
        .map(|(step, deferred)| (rank_key(step, deferred), step.id))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, id)| id).collect()
}

/// A step's sort key; the lowest goes first.
fn rank_key(
    step: &Entry<'_>,
    deferred: bool,
) -> (bool, bool, bool, u32, i64, job::Stage) {
    let expired = step.timeliness == Timeliness::Expired;
    let beyond_share = step.beyond_share;
    (
        expired,
        beyond_share,
        deferred,
        step.priority,
        step.slack,
        step.id,
    )
}

/// Steps as their demand with their index, the largest demand first.
type LargestFirst = BinaryHeap<(u64, usize)>;

/// Which of the steps, given in rank order, to defer.
///
/// Whenever a step that could be on time would start too late, this defers the
/// largest late step so far, or else the largest one of the same priority.
fn defer_steps(
    waiting: &[Entry<'_>],
    headrooms: &IndexMap<String, Headroom>,
) -> Vec<bool> {
    let mut deferred = vec![false; waiting.len()];
    let mut backlogs: IndexMap<&str, Backlog> = IndexMap::default();
    let mut late: IndexMap<&str, LargestFirst> = IndexMap::default();
    let mut on_time: IndexMap<(&str, u32), LargestFirst> = IndexMap::default();
    for (index, step) in waiting.iter().enumerate() {
        let Some(headroom) = headrooms.get(step.pool) else {
            continue;
        };
        // What lies beyond a team's share makes nobody else wait.
        if step.timeliness == Timeliness::Expired || step.beyond_share {
            continue;
        }
        let backlog = backlogs.entry(step.pool).or_default();
        let late = late.entry(step.pool).or_default();
        let on_time = on_time.entry((step.pool, step.priority)).or_default();
        let wait = headroom.queueing_delay(backlog, step).as_millis();
        backlog.demand = backlog.demand.saturating_add(step.demand);
        backlog.work = backlog.work.saturating_add(step.work());
        match step.timeliness {
            Timeliness::OnTime if step.exempt => {}
            Timeliness::OnTime => on_time.push((step.demand, index)),
            Timeliness::Late | Timeliness::Expired => late.push((step.demand, index)),
        }
        let within_slack = i64::try_from(wait).is_ok_and(|wait| wait <= step.slack);
        if within_slack || step.timeliness != Timeliness::OnTime {
            continue;
        }
        if let Some((_, victim)) = late.pop().or_else(|| on_time.pop()) {
            backlog.demand -= waiting[victim].demand;
            backlog.work -= waiting[victim].work();
            deferred[victim] = true;
        }
    }
    deferred
}

/// How timely a step's job can be, and for how many milliseconds the step can
/// wait before that gets worse.
///
/// The slack is negative if that moment has passed.
pub(crate) fn assess_deadline(stage: &Stage, now: Time) -> (Timeliness, i64) {
    if stage.step.long_running {
        let waited = stage
            .blocked_since
            .map_or(Span::ZERO, |since| now.since(since));
        return (Timeliness::OnTime, slack(LONG_RUNNING_WAIT, waited));
    }
    let finish = stage.waited(now) + stage.remaining_path;
    let (soft, hard) = (stage.soft_deadline(), stage.hard_deadline());
    match () {
        () if finish <= soft => (Timeliness::OnTime, slack(soft, finish)),
        () if finish <= hard => (Timeliness::Late, slack(hard, finish)),
        () => (Timeliness::Expired, slack(hard, finish)),
    }
}

/// The milliseconds from `finish` to `limit`; negative if `finish` is later.
fn slack(limit: Span, finish: Span) -> i64 {
    let millis = |span: Span| i64::try_from(span.as_millis()).unwrap_or(i64::MAX);
    millis(limit) - millis(finish)
}
