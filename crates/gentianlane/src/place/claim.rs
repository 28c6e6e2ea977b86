//! Room that is set aside for a job that waits for it.
//!
//! A claim is made for a whole job at once or not at all, and claims on one
//! worker never add up to more than the worker can come to have free. So no two
//! jobs ever hold parts of what the other one needs.

use indexmap::IndexMap;

use crate::id;
use crate::place::capacity::{Slot, saturating_sub};
use crate::place::inventory::{Allocation, Entry, Inventory};
use crate::place::share::dominant_share;
use crate::place::{Job, Kind};
use crate::unit::{Size, Span, Time};

/// Room that is set aside.
#[derive(Debug, Clone)]
pub(crate) struct Claim {
    pub(crate) job: Job,
    /// A worker for each task.
    pub(crate) slots: Vec<Slot>,
    /// When the room is expected to be free; for urgent work, none may fill it
    /// meanwhile.
    pub(crate) expected_start: Option<Time>,
}

/// How many tasks of a claim go to each worker.
pub(crate) fn tasks_per_slot(slots: &[Slot]) -> IndexMap<Slot, u32> {
    let mut counts = IndexMap::new();
    for &slot in slots {
        *counts.entry(slot).or_default() += 1;
    }
    counts
}

/// Workers on which a job could start the soonest as running tasks end, and
/// when. Services don't end, and tasks that run longer than expected are taken
/// to run as long again.
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
        let ways = domains.filter_map(|domain| {
            let inside = candidates.iter().filter(|candidate| candidate.0 == domain);
            earliest(inside, count)
        });
        if let Some(way) = ways.min_by_key(|(_, at)| *at) {
            return Some(way);
        }
    }
    earliest(candidates.iter(), count)
}

fn earliest<'a>(
    candidates: impl Iterator<Item = &'a (usize, Time, Slot)>,
    count: usize,
) -> Option<(Vec<Slot>, Time)> {
    let taken: Vec<_> = candidates.take(count).collect();
    let (_, at, _) = taken.last()?;
    let slots = taken.iter().map(|(.., slot)| *slot).collect();
    (taken.len() == count).then_some((slots, *at))
}

/// When a worker can hold the first, second and further tasks of a job.
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
        let Some(more) = need.plus(&job.size) else {
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
        free = free.plus(&size).unwrap_or(free);
    }
    start_times
}

fn expected_end(allocation: &Allocation, now: Time) -> Option<Time> {
    let end = allocation.expected_end?;
    let again = now.since(allocation.started_at).max(Span::from_secs(1));
    Some(if end > now { end } else { now.after(again) })
}

/// What is lost by stopping a task: the time that all tasks of its job have run,
/// weighed by their size.
fn lost_work(allocation: &Allocation, entry: &Entry, now: Time) -> u64 {
    let ran = now.since(allocation.started_at) + Span::from_secs(1);
    let part = dominant_share(&allocation.size, &entry.size);
    let millis = ran.times(allocation.job_tasks.into()).as_millis();
    (millis as f64 * part) as u64
}

/// Jobs to stop on a worker and what is lost by it.
#[derive(Debug, Default, Clone)]
pub(crate) struct Victims {
    pub(crate) jobs: Vec<id::Job>,
    pub(crate) lost_work: u64,
}

/// The jobs to stop on a worker so that `need` comes free beside what others
/// have claimed: none that may not yield, and those first that lose the least.
/// `None` if that isn't enough.
pub(crate) fn choose_victims(
    inventory: &Inventory,
    slot: Slot,
    need: &Size,
    now: Time,
    is_stopping: impl Fn(id::Job) -> bool,
) -> Option<Victims> {
    let entry = inventory.entry(slot);
    let need = need.plus(&entry.claimed)?;
    let mut free = inventory.free(slot)?;
    let mut preemptible = Vec::new();
    for (task, allocation) in &entry.allocations {
        if is_stopping(task.job) {
            free = free.plus(&allocation.size)?;
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
            free = free.plus(&size)?;
            chosen.push((lost_work, task, size));
        }
    }
    if !need.fits(&free) {
        return None;
    }
    let mut victims = Victims::default();
    for (lost_work, task, size) in chosen.into_iter().rev() {
        match free.less(&size) {
            Some(less) if need.fits(&less) => free = less,
            _ => {
                victims.jobs.push(task.job);
                victims.lost_work += lost_work;
            }
        }
    }
    Some(victims)
}
