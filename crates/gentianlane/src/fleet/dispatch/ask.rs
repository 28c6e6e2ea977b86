//! Requests advice on which workers may run the waiting steps.

use std::collections::VecDeque;

use crate::collections::{IndexMap, IndexSet};

use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::backlog::Room;
use crate::fleet::dispatch::place::is_available;
use crate::fleet::dispatch::rank::{Timeliness, assess_deadline};
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::job;
use crate::fleet::plan::Advice;
use crate::id;
use crate::unit::{Span, Time};

/// The most workers that one advice request names, by the platform's protocol.
const WORKER_LIMIT: usize = 100;

/// How many idle relays the refresh of tickets leaves for first requests. With
/// no more relays than that, it may still use one.
const RELAY_RESERVE: usize = 2;

/// How many workers a part of a split request names, about.
const PART_SIZE: usize = 34;

/// How much sooner a split request has to be answered to be worth further calls.
const MIN_SPLIT_GAIN: Span = Span::from_millis(100);

/// What advice requests in flight may lead to.
#[derive(Debug)]
struct Claims {
    /// The number of requests by queue.
    requests: IndexMap<String, usize>,
    /// What each pool has free beside what these requests' tasks need.
    room: IndexMap<String, Room>,
}

impl Claims {
    /// Whether a step may ask: its queue has no request in flight, or its pool has
    /// room for its tasks.
    fn allow(&self, stage: &Stage) -> bool {
        let room = self.room.get(&stage.queue.pool);
        !self.requests.contains_key(&stage.queue_name)
            || room.is_some_and(|room| room.share_of(stage) <= room.free)
    }

    /// Adds a step's request.
    fn add(&mut self, stage: &Stage) {
        *self.requests.entry(stage.queue_name.clone()).or_default() += 1;
        if let Some(room) = self.room.get_mut(&stage.queue.pool) {
            room.free = room.free.saturating_sub(room.share_of(stage));
        }
    }
}

impl Dispatcher {
    /// Requests advice for the steps that need it, while relays are idle.
    ///
    /// First requests go before refreshes of tickets that expire soon, and steps of
    /// expired jobs come last.
    pub(super) fn ask_for_advice(&mut self, order: &[job::Stage], now: Time) {
        let reserve = RELAY_RESERVE.min(self.relays.count().saturating_sub(1));
        let mut idle = self.relays.idle_count(now);
        // The users of a long-running task have no service until it runs, and workers
        // are kept for a trial, so these steps ask first.
        let is_first = |id: &&job::Stage| {
            let stage = self.stages.get(*id);
            stage.is_some_and(|stage| stage.step.long_running) || self.has_trial(id)
        };
        let first: Vec<job::Stage> = order.iter().filter(is_first).copied().collect();
        for (id, fresh) in first.iter().flat_map(|id| [(id, true), (id, false)]) {
            if idle == 0 {
                return;
            }
            idle -= self.ask_for_step(id, fresh, now);
        }
        if idle == 0 {
            return;
        }
        let (expired, valuable): (Vec<job::Stage>, Vec<job::Stage>) =
            order.iter().partition(|id| self.is_expired(id, now));
        for (fresh, reserve) in [(true, 0), (false, reserve)] {
            for id in &valuable {
                if idle <= reserve {
                    break;
                }
                idle -= self.ask_for_step(id, fresh, now);
            }
        }
        self.ask_for_expired(&expired, idle.saturating_sub(reserve), now);
    }

    /// Whether a step's job has no value any more.
    fn is_expired(&self, id: &job::Stage, now: Time) -> bool {
        let stage = self.stages.get(id);
        stage.is_some_and(|stage| assess_deadline(stage, now).0 == Timeliness::Expired)
    }

    /// Requests advice for steps of expired jobs, with at most `idle` relays.
    ///
    /// Queues take turns, as their ranks say nothing about such jobs any more. A
    /// queue has more than one request at a time only for tasks that its pool has
    /// capacity for, so that steps of a full pool, whose tickets expire unused,
    /// don't keep the relays from those of another pool.
    fn ask_for_expired(&mut self, order: &[job::Stage], mut idle: usize, now: Time) {
        if idle == 0 || order.is_empty() {
            return;
        }
        let mut queues: IndexMap<String, VecDeque<job::Stage>> = IndexMap::default();
        for id in order {
            if let Some(stage) = self.stages.get(id) {
                let steps = queues.entry(stage.queue_name.clone()).or_default();
                steps.push_back(*id);
            }
        }
        let mut claims = self.advice_claims();
        while idle > 0 {
            let turn = |queue: &String| {
                let requests = claims.requests.get(queue).copied();
                (requests, self.expired_requests.get(queue).copied())
            };
            let waiting = queues.iter().filter(|(_, steps)| !steps.is_empty());
            let next = waiting.min_by_key(|(queue, _)| turn(queue));
            let Some(queue) = next.map(|(queue, _)| queue.clone()) else {
                return;
            };
            let id = queues.get_mut(&queue).and_then(VecDeque::pop_front);
            let Some(id) = id else {
                continue;
            };
            let allowed = self
                .stages
                .get(&id)
                .is_some_and(|stage| claims.allow(stage));
            if allowed
                && (self.ask_for_step(&id, true, now) > 0
                    || self.ask_for_step(&id, false, now) > 0)
                && let Some(stage) = self.stages.get(&id)
            {
                claims.add(stage);
                self.expired_requests.insert(queue, self.last_call_id);
                idle = idle.saturating_sub(1);
            }
        }
    }

    /// What the advice requests in flight may lead to.
    fn advice_claims(&self) -> Claims {
        let mut claims = Claims {
            requests: IndexMap::default(),
            room: self.pool_room(),
        };
        let asking: IndexSet<&job::Stage> = self.relays.asking_stages().collect();
        for stage in asking.into_iter().filter_map(|id| self.stages.get(id)) {
            claims.add(stage);
        }
        claims
    }

    /// Requests advice for one step: about the workers that it hasn't asked
    /// about if `fresh`, or else about those whose tickets expire soon. Returns
    /// how many relays were given a request.
    fn ask_for_step(&mut self, id: &job::Stage, fresh: bool, now: Time) -> usize {
        let Some(stage) = self.stages.get(id) else {
            return 0;
        };
        let Some(advice) = stage.queue.advice else {
            return 0;
        };
        let is_waiting = !stage.pending.is_empty() && !stage.recovering;
        if !stage.open_requests.is_empty() || stage.not_before > now || !is_waiting {
            return 0;
        }
        if fresh && !stage.may_ask && !self.has_trial(id) {
            return 0;
        }
        let workers = match self.trial_question(stage, now) {
            Some(workers) if fresh => workers,
            Some(_) => Vec::new(),
            None if fresh => {
                let mut workers = self.unasked_workers(stage, now);
                // Where workers keep appearing, questions about them alone would leave
                // no time to renew the tickets that a gang or a large task needs.
                if !workers.is_empty() && stage.needs_reservation {
                    workers.extend(self.expiring_workers(stage, advice.base, now));
                    workers.truncate(WORKER_LIMIT);
                }
                workers
            }
            None => self.expiring_workers(stage, advice.base, now),
        };
        if workers.is_empty() {
            let has_trial = self.has_trial(id);
            if let Some(stage) = self.stages.get_mut(id) {
                stage.may_ask &= !fresh || has_trial;
            }
            return 0;
        }
        let parts = self.part_count(&advice, workers.len(), now);
        let mut asked = Vec::new();
        for part in split(&workers, parts) {
            let Some(relay) = self.relays.idle(now) else {
                break;
            };
            self.last_call_id += 1;
            let call_id = self.last_call_id;
            let duration = advice.duration(part.len());
            let request = self.relays.assign(relay, call_id, *id, part, duration, now);
            self.effects.advice_requests.push((relay, request));
            asked.push(call_id);
        }
        let count = asked.len();
        if let Some(stage) = self.stages.get_mut(id) {
            stage.open_requests = asked;
        }
        count
    }

    /// Into how many requests, through as many relays, those about a step's workers
    /// are split: the adviser takes time for each worker that a request names. Half
    /// of the relays remain for other steps.
    fn part_count(&self, advice: &Advice, workers: usize, now: Time) -> usize {
        let whole = advice.duration(workers);
        let parts = workers.div_ceil(PART_SIZE).max(1);
        let gain = whole.saturating_sub(advice.duration(workers / parts));
        if gain < MIN_SPLIT_GAIN {
            return 1;
        }
        let spare = self.relays.idle_count(now);
        let spare = spare.saturating_sub(self.relays.count() / 2);
        parts.min(spare).max(1)
    }

    /// The available workers of sufficient capacity that a step hasn't asked
    /// about, best first: those with room now, and among them the ones that
    /// suit the step.
    ///
    /// Once advice allows enough workers for the pending tasks, a step asks only
    /// about others that have room now; a reservation chooses among all workers.
    fn unasked_workers(&self, stage: &Stage, now: Time) -> Vec<id::Worker> {
        let demand = stage.step.demand();
        let preferred_rack = stage.step.preferred_rack.as_ref();
        let allows_enough = stage
            .eligible
            .as_ref()
            .is_some_and(|permits| permits.len() >= stage.pending.len());
        let room_only = allows_enough && !stage.needs_reservation;
        self.effort.count_examined(self.sessions.len());
        let unasked = self.sessions.iter().filter(|(worker, session)| {
            is_available(stage, session)
                && demand.fits(&session.profile.capacity)
                && !stage.asked.contains(*worker)
        });
        let mut ranked: Vec<_> = unasked
            .map(|(worker, session)| {
                let has_room = session.is_usable(now) && demand.fits(&session.free());
                let remote_data = preferred_rack
                    .is_some_and(|rack| !session.profile.labels.contains(rack));
                let suspect = session.probation.is_on();
                let speed_penalty = self.speed_penalty(stage, session);
                ((!has_room, suspect, remote_data, speed_penalty), worker)
            })
            .filter(|((full, ..), _)| !(room_only && *full))
            .collect();
        ranked.sort_by_key(|(key, _)| *key);
        ranked
            .into_iter()
            .map(|(_, worker)| worker.clone())
            .take(WORKER_LIMIT)
            .collect()
    }

    /// The workers that advice allows for a step and that may get tasks, if every ticket
    /// expires before a refresh could be answered; otherwise none.
    fn expiring_workers(
        &self,
        stage: &Stage,
        duration: Span,
        now: Time,
    ) -> Vec<id::Worker> {
        let Some(permits) = &stage.eligible else {
            return Vec::new();
        };
        let soon = now.after(duration).after(REFRESH_MARGIN);
        if permits.values().any(|permit| permit.is_valid(soon)) {
            return Vec::new();
        }
        // A task that has waited for long goes to a worker that pauses, too.
        let is_ready = |worker: &id::Worker| {
            let session = self.sessions.get(worker);
            session.is_some_and(|session| session.is_ready(now))
        };
        let workers = permits.keys().filter(|worker| is_ready(worker));
        workers.take(WORKER_LIMIT).cloned().collect()
    }

    /// Lets steps whose requests timed out ask again.
    pub(super) fn expire_requests(&mut self, now: Time) {
        for query in self.relays.take_expired(now) {
            if let Some(stage) = self.stages.get_mut(&query.stage) {
                stage.open_requests.retain(|&open| open != query.id);
            }
        }
    }
}

/// Splits workers, given best first, into parts that each have some of the best.
fn split(workers: &[id::Worker], parts: usize) -> Vec<Vec<id::Worker>> {
    let part = |first| workers.iter().skip(first).step_by(parts).cloned().collect();
    (0..parts).map(part).collect()
}

/// How long before its tickets expire a step requests new ones, beyond the
/// time that the request takes.
const REFRESH_MARGIN: Span = Span::from_millis(100);
