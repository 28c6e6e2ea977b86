//! The backlog of each pool and the headroom for it, as input for [`rank`].

use crate::collections::IndexMap;

use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::rank::{self, Entry, FULL_POOL, Headroom, assess_deadline};
use crate::fleet::dispatch::session::RunState;
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::job::{self, Resources};
use crate::unit::{Span, Time};

/// A pool's capacity and its present use.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Usage {
    pub(crate) capacity: Resources,
    pub(crate) used: Resources,
}

/// What a pool has free.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Room {
    capacity: Resources,
    /// The free share, in millionths.
    pub(crate) free: u64,
}

impl Room {
    /// The share of the pool that a step's pending tasks need, in millionths.
    pub(crate) fn share_of(&self, stage: &Stage) -> u64 {
        let tasks = stage.pending.len() as u64;
        tasks.saturating_mul(dominant_share(&stage.step.demand(), &self.capacity))
    }
}

/// A pool's runs that end.
#[derive(Debug, Default, Clone, Copy)]
struct Running {
    /// The sum of remaining milliseconds times share of the pool.
    remaining: u64,
    /// The sum of the shares, in millionths.
    share: u64,
}

impl Dispatcher {
    /// The steps with pending tasks in rank order, the first to place first.
    pub(super) fn ranked_steps(&self, now: Time) -> Vec<job::Stage> {
        let usages = self.pool_usage();
        let headrooms = self.headrooms(&usages);
        rank::order(self.waiting_steps(&usages, &headrooms, now), &headrooms)
    }

    /// The steps with pending tasks, each with what its rank depends on.
    ///
    /// A step that needs a reservation has to wait for a worker to be drained
    /// of other tasks, so the pool's turnover comes off its slack.
    fn waiting_steps(
        &self,
        usages: &IndexMap<String, Usage>,
        headrooms: &IndexMap<String, Headroom>,
        now: Time,
    ) -> Vec<Entry<'_>> {
        let pending = self
            .stages
            .values()
            .filter(|stage| !stage.pending.is_empty());
        let entries = pending.map(|stage| {
            let (timeliness, slack) = assess_deadline(stage, now);
            let needs_reservation = stage.needs_reservation;
            let headroom = headrooms
                .get(&stage.queue.pool)
                .filter(|_| needs_reservation);
            let drain_ms = headroom.map_or(0, |headroom| headroom.turnover.as_millis());
            let slack = slack.saturating_sub_unsigned(drain_ms);
            let usage = usages.get(&stage.queue.pool).copied().unwrap_or_default();
            let allowance = self.team_allowance(stage) as usize;
            let tasks = stage.pending.len().min(allowance) as u64;
            Entry {
                id: stage.id,
                pool: &stage.queue.pool,
                priority: effective_priority(stage, slack),
                timeliness,
                slack,
                demand: tasks.saturating_mul(dominant_share(
                    &stage.step.demand(),
                    &usage.capacity,
                )),
                run_time: self.expected_run_time(stage),
                exempt: needs_reservation || stage.step.long_running,
                beyond_share: stage.beyond_share,
            }
        });
        entries.collect()
    }

    /// Each pool's capacity and use, without silent and draining workers.
    pub(super) fn pool_usage(&self) -> IndexMap<String, Usage> {
        let mut usages: IndexMap<String, Usage> = IndexMap::default();
        let sessions = self.sessions.values();
        for session in sessions.filter(|session| session.is_available()) {
            let usage = match usages.get_mut(&session.profile.pool) {
                Some(usage) => usage,
                None => usages.entry(session.profile.pool.clone()).or_default(),
            };
            usage.capacity = usage.capacity.plus(&session.profile.capacity);
            usage.used = usage.used.plus(&session.used);
        }
        usages
    }

    /// Each pool's capacity and its free share.
    pub(super) fn pool_room(&self) -> IndexMap<String, Room> {
        let usages = self.pool_usage().into_iter();
        let room = |usage: Usage| {
            let used = dominant_share(&usage.used, &usage.capacity);
            Room {
                capacity: usage.capacity,
                free: FULL_POOL.saturating_sub(used),
            }
        };
        usages.map(|(pool, usage)| (pool, room(usage))).collect()
    }

    /// How long each pool takes until all present runs have ended, if they end
    /// at an even rate.
    pub(super) fn pool_turnovers(&self, now: Time) -> IndexMap<String, Span> {
        let usages = self.pool_usage();
        let mut running: IndexMap<&str, Running> = IndexMap::default();
        let sessions = self.sessions.values();
        for session in sessions.filter(|session| session.is_available()) {
            let pool = &session.profile.pool;
            let capacity = usages.get(pool).map(|usage| usage.capacity);
            let running = running.entry(pool).or_default();
            for ((task, _), run) in &session.runs {
                // A long-running task frees no capacity by itself.
                let left = match run.state {
                    RunState::Stopping => Some(self.setup.stop_time),
                    RunState::Starting | RunState::Running => {
                        self.expected_end(task, run, now).map(|at| at.since(now))
                    }
                };
                if let Some(left) = left {
                    let share =
                        dominant_share(&run.demand, &capacity.unwrap_or_default());
                    let remaining = share.saturating_mul(left.as_millis());
                    running.remaining = running.remaining.saturating_add(remaining);
                    running.share = running.share.saturating_add(share);
                }
            }
        }
        // If runs end at an even rate, the last one ends after twice the mean
        // remaining time.
        let turnover = |running: Running| {
            Span::from_millis(running.remaining / running.share.max(1)).saturating_mul(2)
        };
        running
            .into_iter()
            .map(|(pool, running)| (pool.to_owned(), turnover(running)))
            .collect()
    }

    /// Each pool's headroom.
    fn headrooms(&self, usages: &IndexMap<String, Usage>) -> IndexMap<String, Headroom> {
        let headroom = |(pool, usage): (&String, &Usage)| {
            let used = dominant_share(&usage.used, &usage.capacity);
            let headroom = Headroom {
                free: FULL_POOL.saturating_sub(used),
                turnover: self.turnovers.get(pool).copied().unwrap_or_default(),
            };
            (pool.clone(), headroom)
        };
        usages.iter().map(headroom).collect()
    }
}

/// The priority of a step that has this slack; zero is the highest.
///
/// That of its queue, but a long-running task that has waited for too long
/// gets the highest, as its users have no service until it runs.
pub(super) fn effective_priority(stage: &Stage, slack: i64) -> u32 {
    match stage.step.long_running && slack < 0 {
        true => TOP_PRIORITY,
        false => stage.queue.priority,
    }
}

/// The highest priority. Without a reservation, only its steps preempt others'
/// tasks.
pub(super) const TOP_PRIORITY: u32 = 0;

/// The dominant share of an amount in a capacity, in millionths: the largest of
/// its shares of processors, memory and accelerators.
fn dominant_share(amount: &Resources, capacity: &Resources) -> u64 {
    let share = |need: u64, have: u64| match need {
        0 => 0,
        _ => need.saturating_mul(FULL_POOL) / have.max(1),
    };
    share(amount.millicores, capacity.millicores)
        .max(share(amount.memory_mib, capacity.memory_mib))
        .max(share(amount.accelerators, capacity.accelerators))
}
