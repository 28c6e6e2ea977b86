//! The better places for a waiting step, and when they are likely to be free.

use crate::collections::IndexMap;
use crate::fleet::decision::Decision;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::place::{is_feasible, prefers_slow_workers, rack};
use crate::fleet::dispatch::session::Session;
use crate::fleet::dispatch::stage::{Stage, Wait};
use crate::fleet::dispatch::wait::{Choice, FULL_LOAD, Options, choose};
use crate::fleet::job::{self, Resources};
use crate::unit::{Span, Time};

/// The share of the run time at the best free place, in thousandths, that a task runs
/// at most at a better one. Smaller differences are within the error of the estimates.
const BETTER: u64 = 750;

impl Dispatcher {
    /// How much longer than at the best places a task of a step runs on a worker, in
    /// thousandths.
    pub(super) fn slowdown_at(&self, stage: &Stage, session: &Session) -> u64 {
        let preferred_rack = stage.step.preferred_rack.as_ref();
        let is_remote =
            preferred_rack.is_some_and(|rack| !session.profile.labels.contains(rack));
        let remote = match is_remote {
            true => self.setup.remote_slowdown,
            false => 1_000,
        };
        // A step that prefers slow workers gains nothing from the wait for a fast one.
        let slowdown = match prefers_slow_workers(stage) {
            true => 1_000,
            false => session.speed.slowdown(),
        };
        slowdown * remote / 1_000
    }

    /// The run time of a step's tasks near their data on a worker of the usual speed.
    fn usual_run_time(&self, stage: &Stage) -> Span {
        let measured = stage.reference.run_time();
        measured.unwrap_or_else(|| self.expected_run_time(stage))
    }

    /// Prepares a step's examination: a wait goes on only if it is confirmed.
    pub(super) fn begin_wait_check(&mut self, id: &job::Stage) {
        if let Some(stage) = self.stages.get_mut(id)
            && let Some(wait) = &mut stage.wait
        {
            wait.is_current = false;
        }
    }

    /// Whether a task of a step waits for a better place than the best one that is free,
    /// where it runs longer than elsewhere by `slowdown`, in thousandths.
    pub(super) fn waits_for_place(
        &mut self,
        id: &job::Stage,
        slowdown: u64,
        now: Time,
    ) -> bool {
        let Some(stage) = self.stages.get(id) else {
            return false;
        };
        if !self.may_wait(stage) || slowdown * BETTER / 1_000 < 1_000 {
            return false;
        }
        let usual = self.usual_run_time(stage).as_millis();
        let run_time =
            |slowdown: u64| Span::from_millis(usual.saturating_mul(slowdown) / 1_000);
        let demand = stage.step.demand();
        let wanted = u32::try_from(stage.pending.len()).unwrap_or(u32::MAX);
        let sessions = self.permitted_sessions(stage).into_iter();
        let better = sessions.filter_map(|(worker, session)| {
            let there = self.slowdown_at(stage, session);
            let is_better = there <= slowdown * BETTER / 1_000;
            // One that has room now isn't a candidate for another reason.
            if !is_better
                || demand.fits(&session.free())
                || !is_feasible(stage, worker, session)
                || !session.is_usable(now)
            {
                return None;
            }
            let (at, tasks) = self.available_at(session, &demand, wanted, now)?;
            Some((at, run_time(there), tasks))
        });
        let mut better: Vec<(Time, Span, u32)> = better.collect();
        better.sort_unstable_by_key(|(at, there, _)| at.after(*there));
        let ahead = self.waiting_for_places.get(&stage.queue.pool).copied();
        let mut ahead = ahead.unwrap_or_default();
        let next = better.into_iter().find(|(_, _, tasks)| {
            let is_next = ahead < *tasks as usize;
            ahead = ahead.saturating_sub(*tasks as usize);
            is_next
        });
        let Some((at, there, _)) = next else {
            return false;
        };
        let load = self.load_near(stage, now);
        self.decide_wait(id, run_time(slowdown), there, at.since(now), load, now)
    }

    /// Counts the tasks of a new step towards the load on the rack of their data.
    pub(super) fn count_rack_demand(&mut self, id: &job::Stage, now: Time) {
        if !self.setup.wait_for_places {
            return;
        }
        let Some(stage) = self.stages.get(id) else {
            return;
        };
        if let Some(rack) = &stage.step.preferred_rack {
            let tasks = stage.pending.len() as u64;
            let work = tasks.saturating_mul(self.usual_run_time(stage).as_millis());
            let demand = stage.step.demand().times(work);
            self.rack_demands.add(rack, &demand, now);
        }
    }

    /// The work that has lately come for the places near a step's data, in thousandths
    /// of what they can do. Fast workers are taken to be always wanted.
    fn load_near(&self, stage: &Stage, now: Time) -> u64 {
        let Some(near) = &stage.step.preferred_rack else {
            return FULL_LOAD;
        };
        let workers = self.sessions.values().filter(|session| {
            session.profile.pool == stage.queue.pool
                && session.is_available()
                && session.profile.labels.contains(near)
        });
        let capacity = workers.fold(Resources::default(), |sum, session| {
            sum.plus(&session.profile.capacity)
        });
        self.rack_demands.load(near, &capacity, now)
    }

    /// Whether a gang that only has room on several racks waits for a single one.
    pub(super) fn waits_for_rack(&mut self, id: &job::Stage, now: Time) -> bool {
        let Some(stage) = self.stages.get(id) else {
            return false;
        };
        if !self.may_wait(stage) {
            return false;
        }
        let demand = stage.step.demand();
        let count = stage.step.count;
        let mut racks: IndexMap<Option<&String>, Vec<(Time, u32)>> = IndexMap::default();
        for (worker, session) in self.permitted_sessions(stage) {
            if is_feasible(stage, worker, session)
                && session.is_usable(now)
                && let Some(offer) = self.available_at(session, &demand, count, now)
            {
                racks.entry(rack(session)).or_default().push(offer);
            }
        }
        let complete_at = |mut offers: Vec<(Time, u32)>| {
            offers.sort_unstable();
            let mut members = 0;
            offers.into_iter().find_map(|(at, tasks)| {
                members += tasks;
                (members >= count).then_some(at)
            })
        };
        let Some(at) = racks.into_values().filter_map(complete_at).min() else {
            return false;
        };
        let there = self.usual_run_time(stage);
        let here = there.saturating_mul(self.setup.remote_slowdown).as_millis();
        let here = Span::from_millis(here / 1_000);
        // Which gangs want which rack isn't known before they are placed.
        self.decide_wait(id, here, there, at.since(now), 0, now)
    }

    /// Whether waiting for a place can be of use to a step.
    fn may_wait(&self, stage: &Stage) -> bool {
        let step = &stage.step;
        self.setup.wait_for_places
            && !step.long_running
            && !step.best_effort
            && !stage.recovering
    }

    /// Weighs a wait, and records it if it pays.
    fn decide_wait(
        &mut self,
        id: &job::Stage,
        run_time_here: Span,
        run_time_there: Span,
        free_in: Span,
        load_there: u64,
        now: Time,
    ) -> bool {
        let Some(stage) = self.stages.get(id) else {
            return false;
        };
        // What an earlier leader let the job wait counts, as the next one can't tell it
        // from other waits.
        let since = stage.wait.map_or(now, |wait| wait.since);
        let waited = stage.prior_wait + now.since(since);
        let millis = |span: Span| i64::try_from(span.as_millis()).unwrap_or(i64::MAX);
        let rest = stage
            .remaining_path
            .saturating_sub(self.expected_run_time(stage));
        let time_left =
            millis(stage.soft_deadline()) - millis(stage.waited(now)) - millis(rest);
        let others_wait = self.stages.values().any(|other| {
            other.id != *id
                && other.queue.pool == stage.queue.pool
                && other.blocked_since.is_some()
        });
        let options = Options {
            run_time_here,
            run_time_there,
            free_in,
            waited,
            time_left,
            others_wait,
            load_there,
        };
        let Choice::Wait(limit) = choose(&options) else {
            return false;
        };
        let is_new = stage.wait.is_none();
        let pool = stage.queue.pool.clone();
        if is_new {
            self.effects.decisions.push(Decision::WaitsForPlace {
                stage: *id,
                here: run_time_here,
                there: run_time_there,
                free_in,
                limit,
            });
        }
        if let Some(stage) = self.stages.get_mut(id) {
            stage.wait = Some(Wait {
                since,
                until: now.after(limit),
                is_current: true,
            });
        }
        *self.waiting_for_places.entry(pool).or_default() += 1;
        true
    }
}
