//! Room that is set aside for a job that waits for it.
//!
//! A claim is made for a whole job at once or not at all, and claims on one
//! worker never add up to more than the worker can come to have free. So no two
//! jobs ever hold parts of what the other one needs.

use indexmap::IndexMap;

use crate::id;
use crate::place::capacity::{Slot, saturating_sub};
use crate::place::inventory::{Entry, Hold, Inventory};
use crate::place::share::dominant;
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
    pub(crate) at: Option<Time>,
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
pub(crate) fn soonest(
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
        for at in starts(inventory, slot, entry, job, now) {
            candidates.push((entry.domain, at, slot));
        }
    }
    candidates.sort_unstable_by_key(|&(_, at, slot)| (at, slot));
    let count = job.count as usize;
    if job.kind == Kind::Gang {
        let domains = 0..inventory.domains.len();
        let ways = domains.filter_map(|domain| {
            let inside = candidates.iter().filter(|candidate| candidate.0 == domain);
            first(inside, count)
        });
        if let Some(way) = ways.min_by_key(|(_, at)| *at) {
            return Some(way);
        }
    }
    first(candidates.iter(), count)
}

fn first<'a>(
    candidates: impl Iterator<Item = &'a (usize, Time, Slot)>,
    count: usize,
) -> Option<(Vec<Slot>, Time)> {
    let taken: Vec<_> = candidates.take(count).collect();
    let (_, at, _) = taken.last()?;
    let slots = taken.iter().map(|(.., slot)| *slot).collect();
    (taken.len() == count).then_some((slots, *at))
}

/// When a worker can hold the first, second and further tasks of a job.
fn starts(
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
        .holds
        .values()
        .filter_map(|hold| Some((expected(hold, now)?, hold.size)))
        .collect();
    ends.sort_unstable_by_key(|(end, _)| *end);
    let mut starts = Vec::new();
    let mut need = entry.claimed;
    let mut at = now;
    let mut ends = ends.into_iter();
    while starts.len() < job.count as usize {
        let Some(more) = need.plus(&job.size) else {
            break;
        };
        if more.fits(&free) {
            need = more;
            starts.push(at);
            continue;
        }
        let Some((end, size)) = ends.next() else {
            break;
        };
        at = end;
        free = free.plus(&size).unwrap_or(free);
    }
    starts
}

fn expected(hold: &Hold, now: Time) -> Option<Time> {
    let end = hold.end?;
    let again = now.since(hold.begun).max(Span::from_secs(1));
    Some(if end > now { end } else { now.after(again) })
}

/// What is lost by stopping a task: the time that all tasks of its job have run,
/// weighed by their size.
fn loss(hold: &Hold, entry: &Entry, now: Time) -> u64 {
    let ran = now.since(hold.begun) + Span::from_secs(1);
    let part = dominant(&hold.size, &entry.size);
    let millis = ran.times(hold.tasks.into()).as_millis();
    (millis as f64 * part) as u64
}

/// Jobs to stop on a worker and what is lost by it.
#[derive(Debug, Default, Clone)]
pub(crate) struct Victims {
    pub(crate) jobs: Vec<id::Job>,
    pub(crate) loss: u64,
}

/// The jobs to stop on a worker so that `need` comes free beside what others
/// have claimed: none that may not yield, and those first that lose the least.
/// `None` if that isn't enough.
pub(crate) fn victims(
    inventory: &Inventory,
    slot: Slot,
    need: &Size,
    now: Time,
    stops: impl Fn(id::Job) -> bool,
) -> Option<Victims> {
    let entry = inventory.entry(slot);
    let need = need.plus(&entry.claimed)?;
    let mut free = inventory.free(slot)?;
    let mut yields = Vec::new();
    for (task, hold) in &entry.holds {
        if stops(task.job) {
            free = free.plus(&hold.size)?;
        } else if hold.yields {
            yields.push((loss(hold, entry, now), *task, hold.size));
        }
    }
    yields.sort_unstable_by_key(|(loss, task, _)| (*loss, *task));
    let mut chosen = Vec::new();
    for (loss, task, size) in yields {
        if need.fits(&free) {
            break;
        }
        let missing = saturating_sub(&need, &free);
        if saturating_sub(&missing, &size) != missing {
            free = free.plus(&size)?;
            chosen.push((loss, task, size));
        }
    }
    if !need.fits(&free) {
        return None;
    }
    let mut victims = Victims::default();
    for (loss, task, size) in chosen.into_iter().rev() {
        match free.less(&size) {
            Some(less) if need.fits(&less) => free = less,
            _ => {
                victims.jobs.push(task.job);
                victims.loss += loss;
            }
        }
    }
    Some(victims)
}
