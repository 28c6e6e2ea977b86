//! Places pending tasks on workers by best fit.
//!
//! Workers and tasks differ in size and the load is close to capacity, so
//! fragmentation is costly: a task goes where it leaves the least free, near
//! its data and the other members of its gang. A worker's capacity is never
//! exceeded.

use crate::collections::IndexMap;

use crate::fleet::State;
use crate::fleet::decision::Decision;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::avoidance::Caution;
use crate::fleet::dispatch::candidate::{Candidate, choose_gang};
use crate::fleet::dispatch::dispatcher::Place;
use crate::fleet::dispatch::estimate::NOMINAL;
use crate::fleet::dispatch::progress::Progress;
use crate::fleet::dispatch::rank::assess_deadline;
use crate::fleet::dispatch::reserve::Reservations;
use crate::fleet::dispatch::session::{Run, RunState, Session};
use crate::fleet::dispatch::speed::Class;
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::dispatch::survey::Survey;
use crate::fleet::dispatch::unconfirmed::Choice;
use crate::fleet::job::{self, Task};
use crate::id;
use crate::unit::{Time, Wall};

/// The number of new orders from which a pass ends, and the next one goes on
/// once these are sent. Orders that wait longer than the leader lease lasts are
/// made in vain.
const PASS_ORDER_LIMIT: usize = 128;

impl Dispatcher {
    /// Runs a placement pass over the steps in the given rank order.
    pub(super) fn place(
        &mut self,
        state: &State,
        order: &[job::Stage],
        mut survey: Survey,
        now: Time,
        wall: Wall,
    ) {
        if state.plan().is_none() {
            return;
        }
        let mut reservations = Reservations::default();
        self.waiting_for_places = IndexMap::default();
        let earlier_orders = self.effects.orders.len();
        for id in order {
            if self.effects.orders.len() >= earlier_orders + PASS_ORDER_LIMIT {
                self.schedule.cut_short(survey.scope, now);
                break;
            }
            let Some(stage) = self.stages.get(id) else {
                continue;
            };
            if !stage.is_placeable(now) {
                continue;
            }
            self.begin_wait_check(id);
            let Some(stage) = self.stages.get(id) else {
                continue;
            };
            if self.team_allowance(stage) == 0 {
                self.hold_for_limit(id, &mut survey, now);
                continue;
            }
            let candidates =
                self.candidates(stage, &reservations, &survey, Caution::Usual, now);
            let still_blocked =
                candidates.is_empty() && stage.examined && stage.blocked_since.is_some();
            let is_partial = !survey.scope.plans && !survey.scope.full;
            if still_blocked && is_partial && stage.reserved.is_empty() {
                continue;
            }
            if !candidates.is_empty() {
                let pending = stage.pending.keys().copied().collect();
                self.place_step(id, pending, candidates, Caution::Usual, now, wall);
            }
            if survey.scope.full {
                self.place_overdue(id, &reservations, &mut survey, now, wall);
            }
            if self.is_held_by_limit(id) {
                self.hold_for_limit(id, &mut survey, now);
                continue;
            }
            self.handle_unplaced(id, &mut reservations, &mut survey, now);
        }
        self.reserved_workers = reservations.into_workers();
    }

    /// Places a step's `tasks` on candidates, all or none of them if it is a gang.
    fn place_step(
        &mut self,
        id: &job::Stage,
        tasks: Vec<u32>,
        candidates: Vec<Candidate>,
        caution: Caution,
        now: Time,
        wall: Wall,
    ) {
        let Some(stage) = self.stages.get(id) else {
            return;
        };
        match stage.step.gang {
            true => self.place_gang(id, candidates, caution, now, wall),
            false => self.place_tasks(id, tasks, candidates, caution, now, wall),
        }
    }

    /// Places the tasks of a step that have waited too long to avoid any worker.
    fn place_overdue(
        &mut self,
        id: &job::Stage,
        reservations: &Reservations,
        survey: &mut Survey,
        now: Time,
        wall: Wall,
    ) {
        let Some(stage) = self.stages.get(id) else {
            return;
        };
        let waits = stage.wait.is_some_and(|wait| wait.is_current);
        let is_cautious = waits || !stage.failed_on.is_empty();
        if !is_cautious && survey.avoided.is_empty() {
            return;
        }
        // The other workers have been examined for the step just now, and had no room.
        let only_avoided = !is_cautious && !stage.step.gang;
        let overdue = self.overdue_tasks(stage, survey, now);
        if overdue.is_empty() {
            return;
        }
        let caution = Caution::Overruled;
        let candidates = match only_avoided {
            true => self.avoided_candidates(stage, reservations, survey, now),
            false => self.candidates(stage, reservations, survey, caution, now),
        };
        if !candidates.is_empty() {
            self.place_step(id, overdue, candidates, caution, now, wall);
        }
    }

    /// Reserves workers or preempts tasks for a step that still has pending
    /// tasks after placement.
    fn handle_unplaced(
        &mut self,
        id: &job::Stage,
        reservations: &mut Reservations,
        survey: &mut Survey,
        now: Time,
    ) {
        let Some(stage) = self.stages.get_mut(id) else {
            return;
        };
        stage.examined = true;
        // Room elsewhere is of no use to a step that waits for a better place.
        if stage.wait.is_some_and(|wait| wait.is_current) {
            stage.examined = false;
            stage.blocked_since = None;
            return;
        }
        if stage.pending.is_empty() {
            stage.blocked_since = None;
            stage.reserved.clear();
            return;
        }
        let advice_settled = !stage.needs_advice() || stage.eligible.is_some();
        if !advice_settled {
            return;
        }
        // Room elsewhere is of no use to a step that only waits for late starts, or for
        // workers that are kept for trials.
        if self
            .stages
            .get(id)
            .is_some_and(|stage| self.is_bound(stage, now) || self.waits_for_trial(stage))
        {
            return;
        }
        let Some(stage) = self.stages.get_mut(id) else {
            return;
        };
        let newly_blocked = stage.blocked_since.is_none();
        stage.blocked_since.get_or_insert(now);
        if newly_blocked {
            self.log_blocked(id, now);
        }
        match survey.scope.plans {
            true => {
                self.plan_reservation(id, reservations, survey, now);
                self.preempt_for_urgent(id, survey, now);
            }
            false => self.keep_reservation(id, reservations),
        }
    }

    /// Logs that a step's tasks have found no room.
    fn log_blocked(&mut self, id: &job::Stage, now: Time) {
        let Some(stage) = self.stages.get(id) else {
            return;
        };
        let blocked = Decision::Blocked {
            stage: *id,
            pending: stage.pending.len(),
            feasible: self.feasible_count(stage),
            eligible: stage.eligible.as_ref().map_or(0, IndexMap::len),
            waited: stage.waited(now),
            slack: assess_deadline(stage, now).1,
        };
        self.effects.decisions.push(blocked);
    }

    /// The avoided workers that can take a task of a step now.
    fn avoided_candidates(
        &self,
        stage: &Stage,
        reservations: &Reservations,
        survey: &Survey,
        now: Time,
    ) -> Vec<Candidate> {
        let run_time = self.expected_run_time(stage);
        self.effort.count_examined(survey.avoided.len());
        let avoided = survey.avoided.iter();
        let sessions = avoided.filter_map(|&index| self.sessions.get_index(index));
        let candidates = sessions.filter_map(|(worker, session)| {
            self.candidate(stage, worker, session, Caution::Overruled, now)
        });
        candidates
            .filter(|candidate| reservations.allows(&candidate.worker, run_time, now))
            .collect()
    }

    /// The workers that can take a task of a step now: of those that have
    /// changed, if the others were examined before. A gang has to find room for
    /// all its members at once, so a single change calls for all workers.
    fn candidates(
        &self,
        stage: &Stage,
        reservations: &Reservations,
        survey: &Survey,
        caution: Caution,
        now: Time,
    ) -> Vec<Candidate> {
        let only_changed = stage.examined && !survey.scope.full;
        if only_changed && !stage.step.demand().fits(&survey.room) {
            return Vec::new();
        }
        let run_time = self.expected_run_time(stage);
        let candidate = |worker: &id::Worker, session: &Session| {
            let allowed = || reservations.allows(worker, run_time, now);
            self.candidate(stage, worker, session, caution, now)
                .filter(|_| allowed())
        };
        if only_changed {
            self.effort.count_examined(survey.changed.len());
            let changed = survey.changed.iter();
            let changed = changed.filter_map(|&index| self.sessions.get_index(index));
            let candidates: Vec<_> = changed
                .filter_map(|(worker, session)| candidate(worker, session))
                .collect();
            if candidates.is_empty() || !stage.step.gang {
                return candidates;
            }
        }
        let permitted = self.permitted_sessions(stage).into_iter();
        permitted
            .filter_map(|(worker, session)| candidate(worker, session))
            .collect()
    }

    /// A worker as a candidate for a step, if it can take a task of it now.
    pub(super) fn candidate(
        &self,
        stage: &Stage,
        worker: &id::Worker,
        session: &Session,
        caution: Caution,
        now: Time,
    ) -> Option<Candidate> {
        let free = session.free();
        if !stage.step.demand().fits(&free)
            || !matches_constraints(stage, session)
            || !session.is_ready(now)
            || (caution == Caution::Usual && Self::avoidance_of(session, now).is_some())
        {
            return None;
        }
        let ticket = match stage.needs_advice() {
            false => None,
            true => {
                let permit = stage.permit(worker)?;
                Some(permit.is_valid(now).then(|| permit.ticket.clone())?)
            }
        };
        // A worker that is kept for a trial takes the task once it is clear.
        if let Some(task) = &session.trial
            && (task.stage != stage.id || !self.is_clear_for(session, task))
        {
            return None;
        }
        let has_charged_tasks = || {
            let mut tasks = session.runs.keys().map(|(task, _)| task);
            tasks.any(|task| self.is_suspected(task))
        };
        let task_limit = task_limit(stage, session, caution);
        let preferred_rack = stage.step.preferred_rack.as_ref();
        let is_remote = |rack| !session.profile.labels.contains(rack);
        (task_limit > 0).then(|| Candidate {
            worker: worker.clone(),
            rack: rack(session).cloned(),
            free,
            task_limit,
            remote_data: preferred_rack.is_some_and(is_remote),
            suspect: session.probation.is_on(),
            speed_penalty: self.speed_penalty(stage, session),
            slowdown: self.slowdown_at(stage, session),
            ticket,
            has_runs: session.count_of(&stage.id) > 0,
            trial: session.trial.map(|task| task.index),
            has_charged_tasks: !stage.suspects.is_empty() && has_charged_tasks(),
        })
    }

    /// The workers that advice allows for a step, in the order of the sessions;
    /// all if the step needs no advice.
    pub(super) fn permitted_sessions(
        &self,
        stage: &Stage,
    ) -> Vec<(&id::Worker, &Session)> {
        let sessions: Vec<_> = match (stage.needs_advice(), &stage.eligible) {
            (false, _) => self.sessions.iter().collect(),
            (true, None) => Vec::new(),
            (true, Some(permits)) => {
                let indexes = permits.keys();
                let indexes =
                    indexes.filter_map(|worker| self.sessions.get_index_of(worker));
                let mut indexes: Vec<usize> = indexes.collect();
                indexes.sort_unstable();
                let sessions = indexes.into_iter();
                sessions
                    .filter_map(|index| self.sessions.get_index(index))
                    .collect()
            }
        };
        self.effort.count_examined(sessions.len());
        sessions
    }

    /// How badly a worker's speed suits a step; zero is best.
    ///
    /// Steps of queues with a tight deadline prefer fast kinds of workers, all
    /// others prefer slow ones. A worker that is slow for its kind is the last
    /// choice of every step.
    pub(super) fn speed_penalty(&self, stage: &Stage, session: &Session) -> u64 {
        if session.slowdown >= SLOW_WORKER {
            return session.slowdown;
        }
        if self.setup.learn_speeds {
            return class_penalty(stage, session.speed.class());
        }
        let slowdown = self.estimator.kind_slowdown(session.kind());
        match stage.queue.stretch_permille <= TIGHT_STRETCH {
            true => slowdown / SPEED_STEP,
            false => (2 * NOMINAL).saturating_sub(slowdown) / SPEED_STEP,
        }
    }

    /// Places pending tasks one by one, each on the candidate of least cost.
    fn place_tasks(
        &mut self,
        id: &job::Stage,
        tasks: Vec<u32>,
        mut candidates: Vec<Candidate>,
        caution: Caution,
        now: Time,
        wall: Wall,
    ) {
        let Some(stage) = self.stages.get(id) else {
            return;
        };
        let demand = stage.step.demand();
        // Only a task that has failed somewhere avoids workers.
        let feasible = match caution {
            Caution::Usual if stage.failed_on.is_empty() => usize::MAX,
            Caution::Usual => self.feasible_count(stage),
            Caution::Overruled => 0,
        };
        for index in tasks {
            if self.is_held_by_limit(id)
                || !candidates.iter().any(|candidate| candidate.fits(&demand))
            {
                return;
            }
            let Some(stage) = self.stages.get(id) else {
                return;
            };
            let suspect = stage.suspect(index);
            if suspect.is_held() {
                continue;
            }
            let trial = suspect.needs_trial().then_some(index);
            let task = Task { stage: *id, index };
            let choice = self.unconfirmed.choice(&task, now);
            let best = candidates
                .iter_mut()
                .filter(|candidate| {
                    // The choice of a trial's worker has weighed earlier failures.
                    let is_avoided = || {
                        trial.is_none()
                            && stage.avoids(index, &candidate.worker, feasible)
                    };
                    candidate.fits(&demand)
                        && candidate.trial == trial
                        && !is_avoided()
                        && choice.allows(&candidate.worker)
                        && !(candidate.has_runs && self.has_run(&candidate.worker, &task))
                })
                .min_by_key(|candidate| {
                    // Apart from each other, suspects are told apart by a crash.
                    let is_beside = suspect.is_suspected() && candidate.has_charged_tasks;
                    (is_beside, candidate.cost(&demand))
                });
            let Some(best) = best else {
                continue;
            };
            let may_wait = trial.is_none() && caution == Caution::Usual;
            if may_wait && self.waits_for_place(id, best.slowdown, now) {
                continue;
            }
            best.free = best.free.less(&demand);
            best.task_limit = best.task_limit.saturating_sub(1);
            best.has_charged_tasks |= suspect.is_suspected();
            let (worker, ticket) = (best.worker.clone(), best.ticket.clone());
            let Some(stage) = self.stages.get_mut(id) else {
                return;
            };
            let number = stage.next_run_number(self.term);
            self.assign_run(&task, &worker, number, ticket, now);
            match trial {
                None => self.send_start(&worker, &task, number, now),
                Some(_) => self.expose_start(&worker, &task, number, now, wall),
            }
        }
    }

    /// Whether each of a step's pending tasks is bound to a worker, where an earlier
    /// start of it may still be carried out.
    pub(super) fn is_bound(&self, stage: &Stage, now: Time) -> bool {
        let choice = |&index: &u32| {
            let task = Task {
                stage: stage.id,
                index,
            };
            self.unconfirmed.choice(&task, now)
        };
        !stage
            .pending
            .keys()
            .map(choice)
            .any(|choice| choice == Choice::Any)
    }

    /// Whether a start of a task may be sent to a worker: no start that may still be
    /// carried out binds the task elsewhere, and the worker has no run of it.
    pub(super) fn may_send(&self, task: &Task, worker: &id::Worker, now: Time) -> bool {
        self.unconfirmed.choice(task, now).allows(worker) && !self.has_run(worker, task)
    }

    /// Whether a worker may still have an earlier run of a task.
    fn has_run(&self, worker: &id::Worker, task: &Task) -> bool {
        let session = self.sessions.get(worker);
        session.is_some_and(|session| session.has_run(task))
    }

    /// How many workers are feasible for a step, see [`is_feasible`].
    pub(super) fn feasible_count(&self, stage: &Stage) -> usize {
        let permitted = self.permitted_sessions(stage).into_iter();
        permitted
            .filter(|(_, session)| is_available(stage, session))
            .count()
    }

    /// Places all members of a gang, or none.
    fn place_gang(
        &mut self,
        id: &job::Stage,
        mut candidates: Vec<Candidate>,
        caution: Caution,
        now: Time,
        wall: Wall,
    ) {
        let Some(stage) = self.stages.get(id) else {
            return;
        };
        let trial = stage.suspect(0).needs_trial().then_some(0);
        candidates.retain(|candidate| candidate.trial == trial);
        let demand = stage.step.demand();
        let count = stage.step.count;
        let has_not_failed =
            |candidate: &Candidate| !stage.avoids(0, &candidate.worker, usize::MAX);
        let (untried, failed): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(has_not_failed);
        let one_rack = stage.step.one_rack;
        // The choice of a trial's workers has weighed earlier failures.
        let may_return = trial.is_some()
            || caution == Caution::Overruled
            || !self.has_untried_room(stage);
        let chosen =
            choose_gang(untried.clone(), &demand, count, one_rack).or_else(|| {
                let all = may_return.then(|| [untried, failed].concat())?;
                choose_gang(all, &demand, count, one_rack)
            });
        let Some(chosen) = chosen else {
            return;
        };
        let Some(members) = self.assign_members(id, &chosen, now) else {
            return;
        };
        let mut racks = members.iter().map(|(_, candidate)| &candidate.rack);
        let first_rack = racks.next();
        let is_spread = one_rack && racks.any(|rack| Some(rack) != first_rack);
        let may_wait = trial.is_none() && caution == Caution::Usual;
        if may_wait && is_spread && self.waits_for_rack(id, now) {
            return;
        }
        let Some(stage) = self.stages.get_mut(id) else {
            return;
        };
        let number = stage.next_run_number(self.term);
        for (index, candidate) in members {
            let ticket = candidate.ticket.clone();
            let task = Task { stage: *id, index };
            self.assign_run(&task, &candidate.worker, number, ticket, now);
            match trial {
                None => self.send_start(&candidate.worker, &task, number, now),
                Some(_) => {
                    self.expose_start(&candidate.worker, &task, number, now, wall);
                }
            }
        }
    }

    /// Whether the workers on which a gang hasn't failed could hold it if they were free.
    fn has_untried_room(&self, stage: &Stage) -> bool {
        if !stage.failed_on.contains_key(&0) {
            return true;
        }
        let demand = stage.step.demand();
        let most = stage.step.max_per_worker.unwrap_or(u32::MAX);
        let permitted = self.permitted_sessions(stage).into_iter();
        let untried = permitted.filter(|(worker, session)| {
            is_available(stage, session) && !stage.avoids(0, worker, usize::MAX)
        });
        let members =
            untried.map(|(_, session)| demand.times_in(&session.profile.capacity, most));
        let room = members.fold(0_u32, u32::saturating_add);
        room >= stage.step.count
    }

    /// The candidate for each member of a gang; none if a member is bound to a
    /// worker that wasn't chosen.
    fn assign_members<'a>(
        &self,
        id: &job::Stage,
        chosen: &'a [(Candidate, u32)],
        now: Time,
    ) -> Option<Vec<(u32, &'a Candidate)>> {
        let slots = chosen.iter().flat_map(|(candidate, members)| {
            std::iter::repeat_n(candidate, *members as usize)
        });
        let mut slots: Vec<&Candidate> = slots.collect();
        let count = u32::try_from(slots.len()).ok()?;
        let choice = |index| self.unconfirmed.choice(&Task { stage: *id, index }, now);
        let (free, bound): (Vec<u32>, Vec<u32>) =
            (0..count).partition(|&index| choice(index) == Choice::Any);
        let mut members = Vec::with_capacity(slots.len());
        // Those with fewer choices go first.
        for index in bound.into_iter().chain(free) {
            let choice = choice(index);
            let allowed = |slot: &&Candidate| choice.allows(&slot.worker);
            let at = slots.iter().position(allowed)?;
            members.push((index, slots.remove(at)));
        }
        Some(members)
    }

    /// Allocates a task's resources on a worker, for a run that isn't started yet.
    fn assign_run(
        &mut self,
        task: &Task,
        worker: &id::Worker,
        number: u64,
        ticket: Option<String>,
        now: Time,
    ) {
        let Some(stage) = self.stages.get_mut(&task.stage) else {
            return;
        };
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        stage.pending.remove(&task.index);
        let checkpoint = stage.checkpoints.get(&stage.unit_key(task.index));
        let checkpoint = checkpoint.cloned().unwrap_or_default();
        let started_at = session.clock_at(now).filter(|_| checkpoint.is_empty());
        let run = Run {
            progress: Progress::new(started_at),
            checkpoint,
            best_effort: stage.step.best_effort,
            tail_limit: stage.step.tail_limit,
            share: Some(100),
            ticket,
            charge: stage.charge(),
            ..Run::new(number, stage.step.demand(), RunState::Starting, now)
        };
        if let Some(charge) = &run.charge {
            self.ledger.charge(charge);
        }
        stage.held_since = None;
        session.insert(*task, run);
        let place = Place {
            worker: worker.clone(),
            run: number,
        };
        self.placements.insert(*task, place);
    }
}

/// The highest stretch that counts as a tight deadline, in thousandths; jobs
/// of other queues have time for a slow worker.
const TIGHT_STRETCH: u64 = 2_000;

/// The slowdown against others of its kind from which a worker is the last
/// choice, in thousandths; so high because single run times vary by half.
const SLOW_WORKER: u64 = 2_500;

/// The granularity in which workers' speeds are compared, in thousandths.
const SPEED_STEP: u64 = 100;

/// How badly a class of speed suits a step; zero is best.
///
/// Steps with time to spare leave the fast workers to those without, and so do tasks
/// that last, to which speed matters least.
fn class_penalty(stage: &Stage, class: Class) -> u64 {
    match (prefers_slow_workers(stage), class) {
        (false, Class::Usual) | (true, Class::VerySlow) => 0,
        (_, Class::Slow) => 1,
        (false, Class::VerySlow) | (true, Class::Usual) => 2,
    }
}

/// Whether a step leaves the fast workers to others.
pub(super) fn prefers_slow_workers(stage: &Stage) -> bool {
    stage.step.long_running || stage.queue.stretch_permille >= LOOSE_STRETCH
}

/// The stretch from which a job is on time on a very slow worker too, in thousandths.
const LOOSE_STRETCH: u64 = 3_000;

/// Whether a worker is in the step's pool and has the required label.
pub(super) fn matches_constraints(stage: &Stage, session: &Session) -> bool {
    let labels = &session.profile.labels;
    let required_label = stage.step.required_label.as_ref();
    session.profile.pool == stage.queue.pool
        && required_label.is_none_or(|label| labels.contains(label))
}

/// How many more tasks of a step a worker may take, whatever its room.
pub(super) fn task_limit(stage: &Stage, session: &Session, caution: Caution) -> u32 {
    let limit = match stage.step.max_per_worker {
        Some(limit) => limit.saturating_sub(session.count_of(&stage.id)),
        None => u32::MAX,
    };
    if caution == Caution::Overruled || !session.probation.is_on() {
        return limit;
    }
    match stage.step.gang {
        _ if session.has_probe() => 0,
        true => limit,
        false => limit.min(1),
    }
}

/// Whether a worker matches the step's constraints, answers orders and isn't
/// draining.
pub(super) fn is_available(stage: &Stage, session: &Session) -> bool {
    matches_constraints(stage, session) && session.is_available()
}

/// Whether a worker could run a step once it has free capacity: it is
/// available, and advice allows it if the step needs advice.
pub(super) fn is_feasible(stage: &Stage, worker: &id::Worker, session: &Session) -> bool {
    is_available(stage, session)
        && (!stage.needs_advice() || stage.permit(worker).is_some())
}

/// The worker's rack, which is its last label.
pub(super) fn rack(session: &Session) -> Option<&String> {
    session.profile.labels.last()
}
