//! Reservations of workers for gangs and large tasks.
//!
//! When nearly all capacity is in use, as accelerators often are, small tasks
//! fill every gap, and a gang or a task that needs most of a worker would
//! starve. This reserves the workers that can be free soonest. Until then they
//! take lower ranked tasks only by backfilling: those that are expected to end
//! in time.

use crate::collections::IndexMap;

use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::place::{is_available, matches_constraints};
use crate::fleet::dispatch::rank::{Timeliness, assess_deadline};
use crate::fleet::dispatch::session::{Run, Session};
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::dispatch::survey::Survey;
use crate::fleet::job::{self, Resources, Task};
use crate::id;
use crate::unit::{Span, Time};

/// How many steps may hold reservations at the same time in any fleet.
const STEP_LIMIT: usize = 4;

/// In a larger fleet further steps may, while less than one worker of so many is
/// reserved.
const WORKERS_PER_RESERVED: usize = 6;

/// The most steps for which workers are sought in one pass; the others follow in
/// the next ones.
const TRY_LIMIT: usize = 16;

/// How long a step for which no workers could be reserved waits until this is
/// tried again; many gangs may wait that can't be complete.
const RESERVE_RETRY_DELAY: Span = Span::from_millis(200);

/// The assumed remaining time of a run that exceeds its expected run time.
const OVERDUE_REMAINING: Span = Span::from_millis(300);

/// How much sooner a worker has to be free than one that is reserved already
/// to replace it. If the choice changed with each estimate, no worker would
/// ever be drained.
const SWITCH_HYSTERESIS: Span = Span::from_millis(500);

/// The reservations of one placement pass.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    /// The reserved workers, each with the time at which it is needed.
    workers: IndexMap<id::Worker, Time>,
    /// How many steps hold reservations.
    steps: usize,
    /// For how many steps workers were sought in vain.
    failed_tries: usize,
}

/// When a worker has free capacity for a step.
#[derive(Debug)]
struct Offer<'a> {
    /// The time by which offers are compared: later by the hysteresis for a
    /// worker that isn't reserved for the step yet.
    sort_key: Time,
    /// When at least one of the step's tasks fits.
    available_at: Time,
    worker: &'a id::Worker,
    /// How many of the step's tasks fit then.
    tasks: u32,
}

impl Reservations {
    /// Whether a task that runs for `run_time` may go to a worker without delaying
    /// the step for which the worker is reserved.
    pub(crate) fn allows(&self, worker: &id::Worker, run_time: Span, now: Time) -> bool {
        self.workers
            .get(worker)
            .is_none_or(|&needed| now.after(run_time) <= needed)
    }

    /// The names of the reserved workers.
    pub(crate) fn into_workers(self) -> Vec<id::Worker> {
        self.workers.into_keys().collect()
    }
}

impl Dispatcher {
    /// Reserves workers for a step that couldn't be placed, and preempts tasks
    /// on them.
    pub(super) fn plan_reservation(
        &mut self,
        id: &job::Stage,
        reservations: &mut Reservations,
        survey: &mut Survey,
        now: Time,
    ) {
        let Some(stage) = self.stages.get(id) else {
            return;
        };
        let expired = assess_deadline(stage, now).0 == Timeliness::Expired;
        let wanted = stage.needs_reservation && !expired && now >= stage.reserve_after;
        let tries = wanted
            && self.may_reserve(reservations)
            && reservations.failed_tries < TRY_LIMIT;
        let reserved = match tries {
            true => self.reserve(reservations, stage, now),
            false => Vec::new(),
        };
        self.preempt_reserved(id, &reserved, survey, now);
        if let Some(stage) = self.stages.get_mut(id) {
            if tries && reserved.is_empty() {
                reservations.failed_tries += 1;
                stage.reserve_after = now.after(RESERVE_RETRY_DELAY);
            }
            stage.reserved = reserved;
        }
    }

    /// Whether another step may reserve workers.
    fn may_reserve(&self, reservations: &Reservations) -> bool {
        let reserved = reservations.workers.len();
        reservations.steps < STEP_LIMIT
            || reserved * WORKERS_PER_RESERVED < self.sessions.len()
    }

    /// Enters the workers that were reserved for a step when reservations were
    /// last planned, unless another step has one of them by now.
    pub(super) fn keep_reservation(
        &self,
        id: &job::Stage,
        reservations: &mut Reservations,
    ) {
        let Some(stage) = self.stages.get(id) else {
            return;
        };
        let is_taken = |worker| reservations.workers.contains_key(worker);
        let any_taken = stage.reserved.iter().any(|(worker, _)| is_taken(worker));
        if stage.reserved.is_empty() || any_taken || !self.may_reserve(reservations) {
            return;
        }
        reservations.steps += 1;
        reservations.workers.extend(stage.reserved.iter().cloned());
    }

    /// Chooses workers to reserve for a step.
    ///
    /// Returns them, each with the time from which it has room without
    /// preemption; none if not all members of a gang fit.
    fn reserve(
        &self,
        reservations: &mut Reservations,
        stage: &Stage,
        now: Time,
    ) -> Vec<(id::Worker, Time)> {
        let demand = stage.step.demand();
        let mut wanted = match stage.step.gang {
            true => stage.step.count,
            false => u32::try_from(stage.pending.len()).unwrap_or(u32::MAX),
        };
        let mut offers: Vec<Offer> = self
            .permitted_sessions(stage)
            .into_iter()
            .filter(|(worker, session)| {
                is_available(stage, session)
                    && session.trial.is_none()
                    && !reservations.workers.contains_key(*worker)
            })
            .filter_map(|(worker, session)| {
                let wanted = wanted.min(reservable_tasks(stage, session));
                let (available_at, tasks) =
                    self.available_at(session, &demand, wanted, now)?;
                if tasks == 0 {
                    return None;
                }
                let mut present = stage.reserved.iter();
                let reserved = present.any(|(present, _)| present == worker);
                let sort_key = if reserved {
                    available_at
                } else {
                    available_at.after(SWITCH_HYSTERESIS)
                };
                Some(Offer {
                    sort_key,
                    available_at,
                    worker,
                    tasks,
                })
            })
            .collect();
        offers.sort_unstable_by(|one, other| {
            (one.sort_key, one.worker).cmp(&(other.sort_key, other.worker))
        });
        let mut chosen = Vec::new();
        for offer in offers {
            if wanted == 0 {
                break;
            }
            wanted = wanted.saturating_sub(offer.tasks);
            chosen.push((offer.worker.clone(), offer.available_at));
        }
        // A gang that can't be complete reserves nothing.
        if wanted > 0 && stage.step.gang {
            return Vec::new();
        }
        reservations.steps += 1;
        reservations.workers.extend(chosen.iter().cloned());
        chosen
    }

    /// Finds out anew which steps need reservations, where the fleet has changed
    /// since.
    pub(super) fn update_reservation_needs(&mut self) {
        let revision = self.fleet_revision;
        let is_outdated = |stage: &&mut Stage| stage.revision != revision;
        let mut outdated = self.stages.values_mut().filter(is_outdated).peekable();
        if outdated.peek().is_none() {
            return;
        }
        let smallest = smallest_capacities(self.sessions.values());
        for stage in outdated {
            stage.revision = revision;
            let smallest = match &stage.step.required_label {
                None => smallest.get(stage.queue.pool.as_str()).copied(),
                Some(_) => {
                    let matching = self.sessions.values();
                    let matching =
                        matching.filter(|session| matches_constraints(stage, session));
                    smallest_capacities(matching).into_values().next()
                }
            };
            stage.needs_reservation = could_starve(stage, smallest);
        }
    }

    /// When a task with this demand fits on a worker without preemption, and how
    /// many of the `wanted` ones fit by then; none if long-running tasks or the
    /// worker's capacity rule it out.
    pub(super) fn available_at(
        &self,
        session: &Session,
        demand: &Resources,
        wanted: u32,
        now: Time,
    ) -> Option<(Time, u32)> {
        if !demand.fits(&session.profile.capacity) {
            return None;
        }
        let mut ends: Vec<(Time, Resources)> = session
            .runs
            .iter()
            .filter_map(|((task, _), run)| {
                Some((self.expected_end(task, run, now)?, run.demand))
            })
            .collect();
        ends.sort_unstable_by_key(|(at, _)| *at);
        let mut free = session.free();
        let mut at = now;
        let mut ends = ends.into_iter();
        while !demand.fits(&free) {
            let (end, freed) = ends.next()?;
            free = free.plus(&freed);
            at = end;
        }
        let mut tasks = 0;
        while tasks < wanted && demand.fits(&free) {
            free = free.less(demand);
            tasks += 1;
        }
        Some((at, tasks))
    }

    /// When a run is expected to end; none for a long-running task.
    pub(super) fn expected_end(&self, task: &Task, run: &Run, now: Time) -> Option<Time> {
        let Some(stage) = self.stages.get(&task.stage) else {
            return Some(now.after(OVERDUE_REMAINING));
        };
        if stage.step.long_running {
            return None;
        }
        let expected = match run.progress.remaining(now) {
            Some(left) => now.after(left),
            None => run
                .started_at
                .after(self.expected_run_time(stage))
                .max(now.after(OVERDUE_REMAINING)),
        };
        Some(expected)
    }

    /// The expected run time of a task of a step.
    pub(super) fn expected_run_time(&self, stage: &Stage) -> Span {
        self.estimator
            .expected_duration(&stage.queue_name, &stage.step)
    }
}

/// How many of a step's tasks a worker may have by its limit for each worker, beside those
/// that stay there.
fn reservable_tasks(stage: &Stage, session: &Session) -> u32 {
    let stay = match stage.step.long_running {
        true => session.count_of(&stage.id),
        false => 0,
    };
    let most = stage.step.max_per_worker.unwrap_or(u32::MAX);
    most.saturating_sub(stay)
}

/// The least capacity of any worker in each pool, for each resource apart.
fn smallest_capacities<'a>(
    sessions: impl Iterator<Item = &'a Session>,
) -> IndexMap<&'a str, Resources> {
    let mut smallest: IndexMap<&str, Resources> = IndexMap::default();
    for session in sessions {
        let capacity = session.profile.capacity;
        let least = smallest
            .entry(session.profile.pool.as_str())
            .or_insert(capacity);
        *least = least.least(&capacity);
    }
    smallest
}

/// Whether a step could starve without a reservation: its tasks take half of some
/// worker or more, or have to start together.
///
/// `smallest` is the least capacity of the workers that match its constraints.
fn could_starve(stage: &Stage, smallest: Option<Resources>) -> bool {
    let demand = stage.step.demand();
    let large = smallest.is_some_and(|capacity| {
        let double = demand.times(2);
        double.accelerators >= capacity.accelerators.max(1)
            || double.millicores > capacity.millicores
            || double.memory_mib > capacity.memory_mib
    });
    large || (stage.step.gang && stage.step.count > 1)
}
