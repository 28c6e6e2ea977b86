//! Claims: resources promised to a waiting job as running tasks end or stop.
//!
//! A claim covers all tasks of a job or isn't made, and the claims on a worker
//! never add up to more than the worker can come to have free. So two jobs
//! can't deadlock by each claiming part of what the other needs.

use indexmap::IndexMap;

use crate::id;
use crate::place::capacity::{Slot, saturating_sub};
use crate::place::inventory::{Allocation, Entry, Inventory};
use crate::place::share::dominant_share;
use crate::place::{Job, Kind};
use crate::unit::{Size, Span, Time};

/// The resources promised to one job.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    pub(crate) job: Job,
    /// One worker for each task; a worker may occur more than once.
    pub(crate) slots: Vec<Slot>,
    /// When the resources should be free. `None` for urgent work, whose claims
    /// may not be backfilled.
    pub(crate) expected_start: Option<Time>,
}

/// The number of tasks that go to each worker.
pub(crate) fn tasks_per_slot(slots: &[Slot]) -> IndexMap<Slot, u32> {
    let mut counts = IndexMap::new();
    for &slot in slots {
        *counts.entry(slot).or_default() += 1;
    }
    counts
}

/// The workers on which a job could start the earliest as running tasks end,
/// and when. A gang stays within one domain if it fits one. Services don't end,
/// and tasks that are past their expected end are assumed to run for as long
/// again as they have.
pub(crate) fn earliest_start(
    inventory: &Inventory,
    job: &Job,
    now: Time,
) -> Option<(Vec<Slot>, Time)> {
    let mut candidates: Vec<(usize, Time, Slot)> = Vec::new();
    for (slot, entry) in inventory.iter() {
        let useful = job.size.accelerators.0 > 0 || entry.size.accelerators.0 == 0;
        if !useful || !job.size.fits(&entry.size) {
            continue;
        }
        for at in start_times(inventory, slot, entry, job, now) {
            candidates.push((entry.domain, at, slot));
        }
    }
    candidates.sort_unstable_by_key(|&(_, at, slot)| (at, slot));
    let count = job.count as usize;
    if job.kind == Kind::Gang {
        let domains = 0..inventory.domains.len();
        let options = domains.filter_map(|domain| {
            let inside = candidates.iter().filter(|it| it.0 == domain);
            earliest(inside, count)
        });
        if let Some(earliest) = options.min_by_key(|(_, at)| *at) {
            return Some(earliest);
        }
    }
    earliest(candidates.iter(), count)
}

/// The workers of the first `count` candidates, and when the last of them is
/// free. The candidates are sorted by time.
fn earliest<'a>(
    candidates: impl Iterator<Item = &'a (usize, Time, Slot)>,
    count: usize,
) -> Option<(Vec<Slot>, Time)> {
    let taken: Vec<_> = candidates.take(count).collect();
    let (_, at, _) = taken.last()?;
    let slots = taken.iter().map(|(.., slot)| *slot).collect();
    (taken.len() == count).then_some((slots, *at))
}

/// When a worker can hold the first, second and further tasks of a job, besides
/// what is claimed on it already.
fn start_times(
    inventory: &Inventory,
    slot: Slot,
    entry: &Entry,
    job: &Job,
    now: Time,
) -> Vec<Time> {
    let Some(mut free) = inventory.free(slot) else {
        return Vec::new();
    };
    let mut ends: Vec<(Time, Size)> = entry
        .allocations
        .values()
        .filter_map(|allocation| Some((expected_end(allocation, now)?, allocation.size)))
        .collect();
    ends.sort_unstable_by_key(|(end, _)| *end);
    let mut start_times = Vec::new();
    let mut need = entry.claimed;
    let mut at = now;
    let mut ends = ends.into_iter();
    while start_times.len() < job.count as usize {
        let Some(more) = need.checked_add(&job.size) else {
            break;
        };
        if more.fits(&free) {
            need = more;
            start_times.push(at);
            continue;
        }
        let Some((end, size)) = ends.next() else {
            break;
        };
        at = end;
        free = free.checked_add(&size).unwrap_or(free);
    }
    start_times
}

/// When a task is expected to end, which is always after `now`; `None` for a
/// service.
fn expected_end(allocation: &Allocation, now: Time) -> Option<Time> {
    let end = allocation.expected_end?;
    let again = now.since(allocation.started_at).max(Span::from_secs(1));
    Some(if end > now { end } else { now.after(again) })
}

/// The work lost by stopping a task: the runtime so far of all tasks of its
/// job, in milliseconds, times the dominant share of the worker that the task
/// takes.
fn lost_work(allocation: &Allocation, entry: &Entry, now: Time) -> u64 {
    let runtime = now.since(allocation.started_at) + Span::from_secs(1);
    let share = dominant_share(&allocation.size, &entry.size);
    let millis = runtime
        .saturating_mul(allocation.job_tasks.into())
        .as_millis();
    (millis as f64 * share) as u64
}

/// The jobs to preempt on a worker and the work lost with them.
#[derive(Debug, Default, Clone)]
pub(crate) struct Victims {
    pub(crate) jobs: Vec<id::Job>,
    pub(crate) lost_work: u64,
}

/// Chooses the jobs to preempt on a worker so that `need` becomes free besides
/// what is claimed there. `None` if preempting all preemptible jobs isn't
/// enough.
///
/// Tasks that are stopping already count as free. The others are chosen by the
/// least lost work and only if they free a dimension that is missing; those
/// that turn out to be unnecessary are dropped, the most costly first.
pub(crate) fn choose_victims(
    inventory: &Inventory,
    slot: Slot,
    need: &Size,
    now: Time,
    is_stopping: impl Fn(id::Job) -> bool,
) -> Option<Victims> {
    let entry = inventory.entry(slot);
    let need = need.checked_add(&entry.claimed)?;
    let mut free = inventory.free(slot)?;
    let mut preemptible = Vec::new();
    for (task, allocation) in &entry.allocations {
        if is_stopping(task.job) {
            free = free.checked_add(&allocation.size)?;
        } else if allocation.preemptible {
            preemptible.push((lost_work(allocation, entry, now), *task, allocation.size));
        }
    }
    preemptible.sort_unstable_by_key(|(lost_work, task, _)| (*lost_work, *task));
    let mut chosen = Vec::new();
    for (lost_work, task, size) in preemptible {
        if need.fits(&free) {
            break;
        }
        let missing = saturating_sub(&need, &free);
        if saturating_sub(&missing, &size) != missing {
            free = free.checked_add(&size)?;
            chosen.push((lost_work, task, size));
        }
    }
    if !need.fits(&free) {
        return None;
    }
    let mut victims = Victims::default();
    for (lost_work, task, size) in chosen.into_iter().rev() {
        match free.checked_sub(&size) {
            Some(less) if need.fits(&less) => free = less,
            _ => {
                victims.jobs.push(task.job);
                victims.lost_work += lost_work;
            }
        }
    }
    Some(victims)
}
