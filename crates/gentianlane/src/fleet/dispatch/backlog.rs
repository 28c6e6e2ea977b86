//! How much waits for each pool, and how soon there is room for it.

use indexmap::IndexMap;

use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::rank::{self, Room, WHOLE, Waiting, outlook};
use crate::fleet::dispatch::session::RunState;
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::job::{self, Size};
use crate::unit::{Span, Time};

/// What a pool has and what of it is in use.
#[derive(Debug, Default, Clone, Copy)]
struct Total {
    capacity: Size,
    used: Size,
    /// The time that all runs still take, each weighed by its share.
    remaining: u64,
    /// The share of the runs, in millionths.
    running: u64,
}

impl Dispatcher {
    /// The steps with tasks to place, the most urgent first.
    pub(super) fn in_order(&self, now: Time) -> Vec<job::Stage> {
        let totals = self.totals(now);
        let rooms = rooms(&totals);
        rank::order(self.waiting_steps(&totals, &rooms, now), &rooms)
    }

    /// The steps with tasks to place.
    fn waiting_steps(
        &self,
        totals: &IndexMap<String, Total>,
        rooms: &IndexMap<String, Room>,
        now: Time,
    ) -> Vec<Waiting> {
        let open = self
            .stages
            .values()
            .filter(|stage| !stage.pending.is_empty());
        let waiting = open.map(|stage| {
            let (hope, slack) = outlook(stage, now);
            let large = self.is_large(stage);
            let room = rooms.get(&stage.queue.pool).filter(|_| large);
            let empties = room.map_or(0, |room| room.turnover.as_millis());
            let slack = slack.saturating_sub_unsigned(empties);
            let total = totals.get(&stage.queue.pool).copied().unwrap_or_default();
            let tasks = stage.pending.len() as u64;
            Waiting {
                id: stage.id,
                pool: stage.queue.pool.clone(),
                priority: urgency(stage, slack),
                hope,
                slack,
                share: tasks * share(&stage.step.room(), &total.capacity),
                takes: self.expected(stage),
                firm: large || stage.step.lasts,
            }
        });
        waiting.collect()
    }

    /// What each pool has, of workers that answer.
    fn totals(&self, now: Time) -> IndexMap<String, Total> {
        let mut totals: IndexMap<String, Total> = IndexMap::new();
        let sound = |session: &&super::session::Session| {
            session.unanswered == 0 && !session.draining
        };
        for session in self.sessions.values().filter(sound) {
            let total = match totals.get_mut(&session.profile.pool) {
                Some(total) => total,
                None => totals.entry(session.profile.pool.clone()).or_default(),
            };
            total.capacity = total.capacity.plus(&session.profile.capacity);
            total.used = total.used.plus(&session.used);
        }
        for session in self.sessions.values().filter(sound) {
            let Some(total) = totals.get_mut(&session.profile.pool) else {
                continue;
            };
            for (task, run) in &session.runs {
                // What lasts frees no room.
                let left = match run.state {
                    RunState::Stopping => Some(self.setup.stop),
                    RunState::Starting | RunState::Running => {
                        self.ends_at(task, run, now).map(|at| at.since(now))
                    }
                };
                if let Some(left) = left {
                    let share = share(&run.demand, &total.capacity);
                    total.remaining += share * left.as_millis();
                    total.running += share;
                }
            }
        }
        totals
    }
}

/// How urgent a step is: a task that lasts and has waited for long goes before
/// all, as its users are without it.
pub(super) fn urgency(stage: &Stage, slack: i64) -> u32 {
    match stage.step.lasts && slack < 0 {
        true => URGENT,
        false => stage.queue.priority,
    }
}

/// The urgency that goes before all others, and may stop others' tasks.
pub(super) const URGENT: u32 = 0;

/// How the pools' room gets free.
fn rooms(totals: &IndexMap<String, Total>) -> IndexMap<String, Room> {
    let room = |total: &Total| Room {
        free: WHOLE.saturating_sub(share(&total.used, &total.capacity)),
        // Runs that end evenly take twice as long as they have left in the mean.
        turnover: Span::from_millis(2 * total.remaining / total.running.max(1)),
    };
    let rooms = totals.iter();
    rooms
        .map(|(name, total)| (name.clone(), room(total)))
        .collect()
}

/// The share of a capacity that a size takes, in millionths: that of what is
/// scarcest.
fn share(size: &Size, capacity: &Size) -> u64 {
    let of = |need: u64, have: u64| match need {
        0 => 0,
        _ => need.saturating_mul(WHOLE) / have.max(1),
    };
    of(size.millicores, capacity.millicores)
        .max(of(size.memory, capacity.memory))
        .max(of(size.accelerators, capacity.accelerators))
}
