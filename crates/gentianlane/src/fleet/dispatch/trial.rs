//! Trials of tasks that may crash their workers.
//!
//! A task that has been charged with crashes runs on a worker of its own for a while,
//! beside none but settled runs: if that worker crashes as well, the task is to blame,
//! and no other one was at risk. A worker that is chosen for a trial takes no other
//! tasks until then. The choice respects what limits a start ([`task_limit`],
//! [`Dispatcher::may_send`]); a worker on which a trial hasn't begun in time comes last
//! in the next choice.

use crate::fleet::crash::SETTLING_TIME;
use crate::fleet::decision::Decision;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::avoidance::Caution;
use crate::fleet::dispatch::place::{is_available, task_limit};
use crate::fleet::dispatch::session::{Run, RunState, Session};
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::dispatch::survey::Seen;
use crate::fleet::job::{self, Resources, Task};
use crate::id;
use crate::unit::{Span, Time};

/// How many workers a fleet has for each one that may be kept for a trial before it
/// begins.
const WORKERS_PER_TRIAL: usize = 8;

/// How many workers without runs it has for each of these, if that allows more.
const IDLE_WORKERS_PER_TRIAL: usize = 2;

/// How long a worker is kept for a trial that doesn't begin.
const TRIAL_WAIT: Span = Span::from_secs(6);

/// The workers on which a task is tried; several for a gang, which is named by its
/// first member.
#[derive(Debug, Clone)]
pub(crate) struct Trial {
    workers: Vec<id::Worker>,
    chosen_at: Time,
}

/// A worker that may be chosen for a trial.
struct Offer {
    /// Whether the task has failed there.
    has_failed: bool,
    /// When a trial of the step was last given up there before it began.
    lapsed_at: Option<Time>,
    /// Whether a start there needs a new ticket.
    lacks_ticket: bool,
    /// When its runs will have ended or settled.
    clear_at: Time,
    worker: id::Worker,
    /// How many of the step's tasks it can take then.
    tasks: u32,
}

impl Dispatcher {
    /// Ends the trials that are over, and chooses workers for tasks that wait for one,
    /// as long as few workers are kept for trials that haven't begun.
    pub(super) fn update_trials(&mut self, now: Time) {
        let stages = &self.stages;
        self.suspect_stages.retain(|id| stages.contains_key(id));
        if self.suspect_stages.is_empty() && self.trials.is_empty() {
            return;
        }
        self.end_trials(now);
        self.join_running_suspects(now);
        let waiting = self.trials.iter();
        let waiting = waiting.filter(|(task, _)| !self.placements.contains_key(*task));
        let mut kept: usize = waiting.map(|(_, trial)| trial.workers.len()).sum();
        // While many workers have nothing to run, more of them may be kept.
        let idle = self
            .sessions
            .values()
            .filter(|session| session.runs.is_empty());
        let idle = idle.count() / IDLE_WORKERS_PER_TRIAL;
        let limit = (self.sessions.len() / WORKERS_PER_TRIAL).max(idle).max(1);
        for task in self.untried_suspects(now) {
            if kept >= limit {
                return;
            }
            let offers = self.trial_offers(&task, now);
            if offers.is_empty() || (kept > 0 && kept + offers.len() > limit) {
                continue;
            }
            kept += offers.len();
            let clear_at = offers.iter().map(|offer| offer.clear_at).max();
            let workers = offers.into_iter().map(|offer| offer.worker);
            let workers: Vec<id::Worker> = workers.collect();
            if let Some(worker) = workers.first() {
                self.effects.decisions.push(Decision::TrialChosen {
                    task,
                    worker: worker.clone(),
                    workers: workers.len(),
                    clear_in: clear_at.unwrap_or(now).since(now),
                });
            }
            self.begin_trial(task, workers, now);
        }
    }

    fn begin_trial(&mut self, task: Task, workers: Vec<id::Worker>, now: Time) {
        self.end_trial(&task);
        for worker in &workers {
            if let Some(session) = self.sessions.get_mut(worker) {
                session.trial = Some(task);
            }
        }
        if let Some(stage) = self.stages.get_mut(&task.stage) {
            stage.examined = false;
        }
        let chosen_at = now;
        self.trials.insert(task, Trial { workers, chosen_at });
    }

    /// Opens the workers of trials that are over to other tasks.
    fn end_trials(&mut self, now: Time) {
        let trials = self.trials.iter();
        let over = trials.filter(|(task, trial)| self.is_trial_over(task, trial, now));
        let over: Vec<Task> = over.map(|(task, _)| *task).collect();
        for task in over {
            self.note_lapse(&task, now);
            self.end_trial(&task);
        }
    }

    /// Notes a trial that is given up before it began: its workers and its step come
    /// last in the next choices.
    fn note_lapse(&mut self, task: &Task, now: Time) {
        let (Some(trial), Some(stage)) =
            (self.trials.get(task), self.stages.get_mut(&task.stage))
        else {
            return;
        };
        let is_waiting = !self.placements.contains_key(task);
        if !is_waiting || now.since(trial.chosen_at) < TRIAL_WAIT {
            return;
        }
        for worker in &trial.workers {
            stage.lapsed_trials.insert(worker.clone(), now);
        }
        self.suspect_stages.shift_remove(&task.stage);
        self.suspect_stages.insert(task.stage);
        if let Some(worker) = trial.workers.first() {
            self.effects.decisions.push(Decision::TrialLapsed {
                task: *task,
                worker: worker.clone(),
            });
        }
    }

    /// Opens the workers of a task's trial, if it has one, to other tasks.
    fn end_trial(&mut self, task: &Task) {
        let trial = self.trials.swap_remove(task);
        for worker in trial.into_iter().flat_map(|trial| trial.workers) {
            if let Some(session) = self.sessions.get_mut(&worker)
                && session.trial == Some(*task)
            {
                session.trial = None;
                session.seen = Seen::default();
                self.clear_trial_record(&worker);
            }
        }
    }

    /// The workers to request advice on for a step with tasks that wait for a trial:
    /// those that are kept for one and clear, if any of their tickets has expired. None
    /// if the step isn't such a one, or knows too few workers for a trial.
    pub(super) fn trial_question(
        &self,
        stage: &Stage,
        now: Time,
    ) -> Option<Vec<id::Worker>> {
        let trials = self.trials.iter();
        let waiting: Vec<_> = trials
            .filter(|(task, _)| {
                task.stage == stage.id && !self.placements.contains_key(*task)
            })
            .collect();
        let lacks_tickets = |trial: &Trial| {
            let mut permits = trial.workers.iter().map(|worker| stage.permit(worker));
            permits.any(|permit| permit.is_none_or(|permit| !permit.is_valid(now)))
        };
        let due = waiting.iter().filter(|(task, trial)| {
            let sessions = trial.workers.iter();
            let mut sessions = sessions.filter_map(|worker| self.sessions.get(worker));
            sessions.all(|session| self.is_clear_for(session, task))
                && lacks_tickets(trial)
        });
        let due: Vec<id::Worker> = due
            .flat_map(|(_, trial)| trial.workers.iter().cloned())
            .collect();
        if !due.is_empty() {
            return Some(due);
        }
        if !self.waits_for_trial(stage) {
            return None;
        }
        let has_offers = |task| !self.trial_offers(&task, now).is_empty();
        let may_wait = !waiting.is_empty() || first_suspect(stage).is_none_or(has_offers);
        may_wait.then(Vec::new)
    }

    /// Whether workers are kept for the trial of a task of a step.
    pub(super) fn has_trial(&self, id: &job::Stage) -> bool {
        !self.trials.is_empty() && self.trials.keys().any(|task| task.stage == *id)
    }

    /// Makes trials of suspects that run already, as an earlier leader started them or
    /// they have become suspects since.
    fn join_running_suspects(&mut self, now: Time) {
        let stages = self.suspect_stages.iter();
        let stages = stages.filter_map(|id| self.stages.get(id));
        let running = stages.filter(|stage| !stage.step.gang).flat_map(|stage| {
            let suspects = stage.suspects.iter();
            let in_question = suspects.filter(|(_, suspect)| suspect.needs_trial());
            in_question.filter_map(|(&index, _)| {
                let task = Task {
                    stage: stage.id,
                    index,
                };
                let place = self.placements.get(&task)?;
                let session = self.sessions.get(&place.worker)?;
                let run = session.runs.get(&(task, place.run))?;
                let joins = session.trial.is_none()
                    && run.state != RunState::Stopping
                    && !has_lasted(session, run);
                joins.then(|| (task, place.worker.clone()))
            })
        });
        for (task, worker) in running.collect::<Vec<_>>() {
            self.begin_trial(task, vec![worker], now);
        }
    }

    fn is_trial_over(&self, task: &Task, trial: &Trial, now: Time) -> bool {
        let Some(stage) = self.stages.get(&task.stage) else {
            return true;
        };
        let place = self.placements.get(task);
        // A worker that has fallen silent under the task may have crashed.
        let is_kept = |worker: &id::Worker| {
            let session = self.sessions.get(worker);
            session.is_some_and(|session| {
                session.trial == Some(*task)
                    && (place.is_some() || session.is_available())
            })
        };
        let needed = stage.suspect(task.index).needs_trial();
        if !needed
            || stage.done.contains(&task.index)
            || !trial.workers.iter().all(is_kept)
        {
            return true;
        }
        let Some(place) = place else {
            return now.since(trial.chosen_at) >= TRIAL_WAIT;
        };
        let has_lasted = |session: &Session| {
            let run = session.runs.get(&(*task, place.run));
            run.is_none_or(|run| has_lasted(session, run))
        };
        !trial.workers.contains(&place.worker)
            || self.sessions.get(&place.worker).is_none_or(has_lasted)
    }

    /// The tasks that wait for a trial for which no worker is chosen. Equal tasks are
    /// likely to behave alike, so that those of a step are tried one after another until
    /// one of its tasks has lasted.
    fn untried_suspects(&self, now: Time) -> Vec<Task> {
        let stages = self.suspect_stages.iter();
        let stages = stages.filter_map(|id| self.stages.get(id));
        let placeable = stages
            .filter(|stage| stage.is_placeable(now) && self.team_allowance(stage) > 0);
        let untried = placeable.flat_map(|stage| {
            let suspects = suspects(stage);
            let untried = suspects.filter(|task| !self.trials.contains_key(task));
            let mut untried: Vec<Task> = untried.collect();
            let at_once = usize::from(!self.has_trial(&stage.id));
            if untried.len() > at_once && !self.has_lasting_task(stage) {
                untried.truncate(at_once);
            }
            untried
        });
        untried.collect()
    }

    /// Whether a run of any task of a step has lasted.
    fn has_lasting_task(&self, stage: &Stage) -> bool {
        let lasts = |index| {
            let task = Task {
                stage: stage.id,
                index,
            };
            let place = self.placements.get(&task)?;
            let session = self.sessions.get(&place.worker)?;
            let run = session.runs.get(&(task, place.run))?;
            Some(has_lasted(session, run))
        };
        !stage.step.gang && (0..stage.step.count).any(|index| lasts(index) == Some(true))
    }

    /// The workers that can be clear for a task's trial soonest: one, or as many as a
    /// gang needs; none if there aren't enough.
    fn trial_offers(&self, task: &Task, now: Time) -> Vec<Offer> {
        let Some(stage) = self.stages.get(&task.stage) else {
            return Vec::new();
        };
        let permitted = self.permitted_sessions(stage).into_iter();
        let suitable = permitted.filter(|(worker, session)| {
            is_available(stage, session)
                && session.is_usable(now)
                && session.trial.is_none()
                && !self.reserved_workers.contains(worker)
                && (stage.step.gang || self.may_send(task, worker, now))
        });
        let is_valid = |worker| {
            let mut permit = stage.permit(worker).into_iter();
            permit.any(|permit| permit.is_valid(now))
        };
        let offers = suitable.map(|(worker, session)| Offer {
            has_failed: stage.avoids(task.index, worker, usize::MAX),
            lapsed_at: stage.lapsed_trials.get(worker).copied(),
            lacks_ticket: stage.needs_advice() && !is_valid(worker),
            clear_at: self.clear_at(session, now),
            worker: worker.clone(),
            tasks: Self::tasks_beside_settled(stage, session),
        });
        let mut offers: Vec<Offer> = offers.filter(|offer| offer.tasks > 0).collect();
        offers.sort_by_key(|offer| {
            let preference = (offer.lapsed_at, offer.has_failed);
            (preference, offer.clear_at, offer.lacks_ticket)
        });
        let mut wanted = if stage.step.gang { stage.step.count } else { 1 };
        let mut chosen = Vec::new();
        for offer in offers {
            if wanted == 0 {
                break;
            }
            wanted = wanted.saturating_sub(offer.tasks);
            chosen.push(offer);
        }
        if wanted == 0 { chosen } else { Vec::new() }
    }

    /// How many of a step's tasks fit on a worker once all but its settled runs have
    /// ended.
    fn tasks_beside_settled(stage: &Stage, session: &Session) -> u32 {
        let demand = stage.step.demand();
        let mut room = Self::room_beside_settled(session);
        let limit = task_limit(stage, session, Caution::Usual).min(stage.step.count);
        let mut tasks = 0;
        while tasks < limit && demand.fits(&room) {
            room = room.less(&demand);
            tasks += 1;
        }
        tasks
    }

    /// What a worker has free once all but its settled runs have ended.
    fn room_beside_settled(session: &Session) -> Resources {
        let runs = session.runs.iter();
        let settled = runs.filter(|(_, run)| has_lasted(session, run));
        let used = settled.fold(Resources::default(), |used, (_, run)| {
            used.plus(&run.demand)
        });
        session.profile.capacity.less(&used)
    }

    /// When a worker's runs will have ended or settled.
    fn clear_at(&self, session: &Session, now: Time) -> Time {
        let unsettled = session.runs.iter();
        let unsettled = unsettled.filter(|(_, run)| !has_lasted(session, run));
        let clear_at = unsettled.map(|((task, _), run)| {
            let ends = self.expected_end(task, run, now);
            let settles = run.started_at.after(SETTLING_TIME);
            let may_settle = run.state != RunState::Stopping;
            match (ends, may_settle) {
                (Some(ends), true) => ends.min(settles),
                (Some(ends), false) => ends,
                (None, true) => settles,
                (None, false) => now.after(TRIAL_WAIT),
            }
        });
        clear_at.max().unwrap_or(now).max(now)
    }

    /// Whether a worker has no runs that could be blamed beside a task or its gang.
    pub(super) fn is_clear_for(&self, session: &Session, task: &Task) -> bool {
        let stage = self.stages.get(&task.stage);
        let is_same = |other: &Task| {
            let unit = stage.map_or(other.index, |stage| stage.unit_key(other.index));
            other.stage == task.stage && unit == task.index
        };
        let mut others = session
            .runs
            .iter()
            .filter(|((other, _), _)| !is_same(other));
        others.all(|(_, run)| has_lasted(session, run))
    }

    /// Whether anything is held against a task; also if its job is over, as that isn't
    /// known any more.
    pub(super) fn is_suspected(&self, task: &Task) -> bool {
        let stage = self.stages.get(&task.stage);
        stage.is_none_or(|stage| stage.suspect(task.index).is_suspected())
    }

    /// Whether all pending tasks of a step wait for a trial, or for the fate of silent
    /// workers.
    pub(super) fn waits_for_trial(&self, stage: &Stage) -> bool {
        let mut pending = stage.pending.keys();
        !stage.suspects.is_empty()
            && pending.all(|&index| {
                let suspect = stage.suspect(index);
                suspect.is_held() || suspect.needs_trial()
            })
    }
}

/// The pending tasks of a step that wait for a trial, or the step's gang.
fn suspects(stage: &Stage) -> impl Iterator<Item = Task> {
    let waits = |index: &&u32| {
        let suspect = stage.suspect(**index);
        suspect.needs_trial() && !suspect.is_held()
    };
    let most = if stage.step.gang { 1 } else { usize::MAX };
    let waiting = stage.pending.keys().filter(waits).take(most);
    waiting.map(|&index| Task {
        stage: stage.id,
        index: stage.unit_key(index),
    })
}

/// The first pending task of a step that waits for a trial, or the step's gang.
fn first_suspect(stage: &Stage) -> Option<Task> {
    suspects(stage).next()
}

/// Whether a run has lasted so long that it is no cause of a crash by itself; what a
/// silent worker still runs isn't known.
fn has_lasted(session: &Session, run: &Run) -> bool {
    session.has_lasted(run, SETTLING_TIME)
}
