//! Which worker gets which task.
//!
//! Answers unequal workers and tasks at a load near all there is: a task goes
//! where it leaves the least room over, near its data and its gang, and never
//! beyond what a worker has.

use indexmap::IndexMap;

use crate::fleet::State;
use crate::fleet::decision::Decision;
use crate::fleet::dispatch::Dispatcher;
use crate::fleet::dispatch::estimate::NOMINAL;
use crate::fleet::dispatch::progress::Progress;
use crate::fleet::dispatch::rank::{Hope, outlook};
use crate::fleet::dispatch::reserve::Kept;
use crate::fleet::dispatch::session::{Run, RunState, Session};
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::job::{self, Size, Task};
use crate::id;
use crate::unit::{Span, Time};

/// The most workers that one question names, by the platform's protocol.
const QUESTION_LIMIT: usize = 100;

/// How many free helpers are kept for steps that nothing is known of yet, as
/// long as one is left for the others.
const RELAY_RESERVE: usize = 2;

/// A worker that could take tasks of a step.
#[derive(Debug, Clone)]
struct Candidate {
    worker: id::Worker,
    rack: Option<String>,
    free: Size,
    /// How many tasks of the step may still go there.
    slots: u32,
    /// Whether the data is elsewhere.
    far: bool,
    /// How unsuited the worker's speed is; zero is best.
    speed: u64,
    /// Whether runs have failed there and none has ended well since.
    suspect: bool,
    ticket: Option<String>,
}

impl Candidate {
    /// How many tasks of a size fit.
    fn room_for(&self, size: &Size) -> u32 {
        let by = |have: u64, need: u64| match need {
            0 => u64::from(u32::MAX),
            _ => have / need,
        };
        let fits = by(self.free.millicores, size.millicores)
            .min(by(self.free.memory, size.memory))
            .min(by(self.free.accelerators, size.accelerators));
        u32::try_from(fits).unwrap_or(u32::MAX).min(self.slots)
    }

    /// What is left over after a task; less is better.
    fn cost(&self, size: &Size) -> (bool, bool, u64, u64, u64) {
        let left = self.free.less(size);
        (
            self.suspect,
            self.far,
            self.speed,
            left.accelerators,
            left.millicores,
        )
    }
}

impl Dispatcher {
    /// Places what can be placed, the most urgent steps first.
    pub(super) fn place(&mut self, state: &State, order: &[job::Stage], now: Time) {
        if state.plan().is_none() {
            return;
        }
        let mut kept = Kept::default();
        for id in order {
            let Some(stage) = self.stages.get(id) else {
                continue;
            };
            if !stage.is_placeable(now) {
                continue;
            }
            let candidates = self.candidates(stage, &kept, now);
            match stage.step.gang {
                _ if candidates.is_empty() => {}
                true => self.place_gang(id, candidates, now),
                false => self.place_each(id, candidates, now),
            }
            self.left_over(id, &mut kept, now);
        }
    }

    /// Sees to what found no room: room is kept or made for it.
    fn left_over(&mut self, id: &job::Stage, kept: &mut Kept, now: Time) {
        let Some(stage) = self.stages.get_mut(id) else {
            return;
        };
        if stage.pending.is_empty() {
            stage.blocked_since = None;
            return;
        }
        let answered = !stage.needs_advice() || stage.eligible.is_some();
        if !answered {
            return;
        }
        let first = stage.blocked_since.is_none();
        stage.blocked_since.get_or_insert(now);
        let mut chosen = Vec::new();
        if let Some(stage) = self.stages.get(id) {
            let (hope, slack) = outlook(stage, now);
            if first {
                let blocked = Decision::Blocked {
                    stage: *id,
                    pending: stage.pending.len(),
                    able: self.able(stage),
                    eligible: stage.eligible.as_ref().map_or(0, IndexMap::len),
                    waited: stage.waited(now),
                    slack,
                };
                self.effects.decisions.push(blocked);
            }
            if hope != Hope::Lost {
                chosen = self.keep_room(kept, stage, now);
            }
        }
        self.clear_workers(id, &chosen, now);
        if let Some(stage) = self.stages.get_mut(id) {
            stage.reserved = chosen.into_iter().map(|(name, _)| name).collect();
        }
        self.make_room(id, now);
    }

    /// The workers that could take a task of a step now.
    fn candidates(&self, stage: &Stage, kept: &Kept, now: Time) -> Vec<Candidate> {
        let size = stage.step.room();
        let span = self.expected(stage);
        let mut candidates = Vec::new();
        for (name, session) in &self.sessions {
            if !may_run(stage, session) || !session.is_usable(now) {
                continue;
            }
            let free = session.free();
            if !size.fits(&free) || !kept.allows(name, span, now) {
                continue;
            }
            let ticket = match stage.needs_advice() {
                false => None,
                true => match stage.permit(name) {
                    Some(permit) if permit.is_valid(now) => Some(permit.ticket.clone()),
                    _ => continue,
                },
            };
            let slots = match stage.step.spread {
                Some(limit) => limit.saturating_sub(session.count_of(&stage.id)),
                None => u32::MAX,
            };
            // One task at a time tries a suspect worker.
            let slots = match session.failures {
                0 => slots,
                _ => slots.min(u32::from(!session.has_trial_run())),
            };
            if slots == 0 {
                continue;
            }
            let near = stage.step.near.as_ref();
            candidates.push(Candidate {
                worker: name.clone(),
                rack: rack(session).cloned(),
                free,
                slots,
                far: near.is_some_and(|near| !session.profile.labels.contains(near)),
                suspect: session.failures > 0,
                speed: self.unsuited(stage, session),
                ticket,
            });
        }
        candidates
    }

    /// How unsuited a worker's speed is for a step, in steps of a tenth.
    ///
    /// Tight steps get the fast kinds, and leave the slow ones to those that
    /// have time; a worker that is slow for its kind is everyone's last choice.
    fn unsuited(&self, stage: &Stage, session: &Session) -> u64 {
        if session.slowdown >= SLOW_PACE {
            return session.slowdown;
        }
        let pace = self.estimator.kind_slowdown(session.kind());
        match stage.queue.stretch <= TIGHT_STRETCH {
            true => pace / PACE_STEP,
            false => (2 * NOMINAL).saturating_sub(pace) / PACE_STEP,
        }
    }

    fn place_each(&mut self, id: &job::Stage, mut at: Vec<Candidate>, now: Time) {
        let Some(stage) = self.stages.get(id) else {
            return;
        };
        let size = stage.step.room();
        let pending: Vec<u32> = stage.pending.iter().copied().collect();
        let able = self.able(stage);
        for index in pending {
            let Some(stage) = self.stages.get(id) else {
                return;
            };
            let best = at
                .iter_mut()
                .filter(|candidate| {
                    candidate.room_for(&size) > 0
                        && !stage.avoids(index, &candidate.worker, able)
                        && !self.holds(&candidate.worker, Task { stage: *id, index })
                })
                .min_by_key(|candidate| candidate.cost(&size));
            let Some(best) = best else {
                continue;
            };
            best.free = best.free.less(&size);
            best.slots = best.slots.saturating_sub(1);
            let (worker, ticket) = (best.worker.clone(), best.ticket.clone());
            let Some(stage) = self.stages.get_mut(id) else {
                return;
            };
            let number = stage.next_run_number(self.fencing_token);
            self.start(id, index, &worker, number, ticket, now);
        }
    }

    /// Whether an earlier run of a task isn't known to be gone from a worker.
    fn holds(&self, worker: &id::Worker, task: Task) -> bool {
        let session = self.sessions.get(worker);
        session.is_some_and(|session| session.runs.contains_key(&task))
    }

    /// How many workers could run a step at all.
    pub(super) fn able(&self, stage: &Stage) -> usize {
        let able = self.sessions.iter();
        able.filter(|(name, session)| is_able(stage, name, session))
            .count()
    }

    fn place_gang(&mut self, id: &job::Stage, at: Vec<Candidate>, now: Time) {
        let Some(stage) = self.stages.get_mut(id) else {
            return;
        };
        let size = stage.step.room();
        let count = stage.step.count;
        let sound =
            |candidate: &Candidate| !stage.avoids(0, &candidate.worker, usize::MAX);
        // A gang that failed goes elsewhere if it can.
        let (elsewhere, rest): (Vec<_>, Vec<_>) = at.into_iter().partition(sound);
        let one_rack = stage.step.one_rack;
        let chosen = choose_gang(elsewhere.clone(), &size, count, one_rack)
            .or_else(|| choose_gang([elsewhere, rest].concat(), &size, count, one_rack));
        let Some(chosen) = chosen else {
            return;
        };
        let number = stage.next_run_number(self.fencing_token);
        let mut index = 0;
        for (candidate, members) in chosen {
            for _ in 0..members {
                let ticket = candidate.ticket.clone();
                self.start(id, index, &candidate.worker, number, ticket, now);
                index += 1;
            }
        }
    }

    /// Reserves the room of one task and sends its start.
    fn start(
        &mut self,
        id: &job::Stage,
        index: u32,
        worker: &id::Worker,
        number: u64,
        ticket: Option<String>,
        now: Time,
    ) {
        let task = Task { stage: *id, index };
        let Some(stage) = self.stages.get_mut(id) else {
            return;
        };
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        stage.pending.remove(&index);
        let checkpoint = stage.checkpoints.get(&stage.unit_key(index));
        let checkpoint = checkpoint.cloned().unwrap_or_default();
        let run = Run {
            progress: Progress::new(checkpoint.is_empty().then_some(now)),
            checkpoint,
            best_effort: stage.step.fills,
            tail_limit: stage.step.tail,
            share: Some(100),
            ticket,
            ..Run::new(number, stage.step.room(), RunState::Starting, now)
        };
        session.insert(task, run);
        self.placements.insert(task, worker.clone());
        self.send_start(worker, &task, now);
    }

    /// Puts the questions that steps wait for, while helpers are free.
    pub(super) fn ask(&mut self, order: &[job::Stage], now: Time) {
        let reserve = RELAY_RESERVE.min(self.relays.count().saturating_sub(1));
        // The users of a task that lasts are without it, so it asks first.
        let lasts = |id: &&job::Stage| {
            let stage = self.stages.get(*id);
            stage.is_some_and(|stage| stage.step.lasts)
        };
        let lasting: Vec<job::Stage> = order.iter().filter(lasts).copied().collect();
        for id in &lasting {
            self.ask_for(id, true, now);
            self.ask_for(id, false, now);
        }
        for (fresh, reserve) in [(true, 0), (false, reserve)] {
            for id in order {
                if self.relays.idle_count(now) <= reserve {
                    break;
                }
                self.ask_for(id, fresh, now);
            }
        }
    }

    /// Puts one step's question: about workers that it never asked about, or
    /// about those whose tickets grow old.
    fn ask_for(&mut self, id: &job::Stage, fresh: bool, now: Time) {
        let Some(stage) = self.stages.get(id) else {
            return;
        };
        let Some(advice) = stage.queue.advice else {
            return;
        };
        let waits = !stage.pending.is_empty() && !stage.recovering;
        if stage.open_request.is_some() || stage.not_before > now || !waits {
            return;
        }
        let workers = match fresh {
            true => self.unasked(stage),
            false => self.aging(stage, advice.base, now),
        };
        if workers.is_empty() {
            return;
        }
        let Some(relay) = self.relays.idle(now) else {
            return;
        };
        self.last_number += 1;
        let number = self.last_number;
        let takes = advice.duration(workers.len());
        let question = self.relays.assign(relay, number, *id, workers, takes, now);
        self.effects.advice_requests.push((relay, question));
        if let Some(stage) = self.stages.get_mut(id) {
            stage.open_request = Some(number);
        }
    }

    /// The workers that could run a step and weren't asked about.
    fn unasked(&self, stage: &Stage) -> Vec<id::Worker> {
        let size = stage.step.room();
        let open = self.sessions.iter().filter(|(name, session)| {
            is_sound(stage, session)
                && size.fits(&session.profile.capacity)
                && !stage.asked.contains(*name)
        });
        open.map(|(name, _)| name.clone())
            .take(QUESTION_LIMIT)
            .collect()
    }

    /// The workers that may run a step, if none of their tickets will be good
    /// for much longer than the question takes.
    fn aging(&self, stage: &Stage, takes: Span, now: Time) -> Vec<id::Worker> {
        let Some(permits) = &stage.eligible else {
            return Vec::new();
        };
        let soon = now.after(takes).after(REFRESH_LEAD);
        if permits.values().any(|permit| permit.is_valid(soon)) {
            return Vec::new();
        }
        let alive = |name: &id::Worker| {
            let session = self.sessions.get(name);
            session.is_some_and(|session| session.is_usable(now))
        };
        let names = permits.keys().filter(|name| alive(name));
        names.take(QUESTION_LIMIT).cloned().collect()
    }

    /// Lets steps ask again whose questions found no answer.
    pub(super) fn expire_questions(&mut self, now: Time) {
        for asked in self.relays.take_expired(now) {
            if let Some(stage) = self.stages.get_mut(&asked.stage) {
                stage.open_request = None;
            }
        }
    }
}

/// From this stretch on a job has time for a slow worker, in thousandths.
const TIGHT_STRETCH: u64 = 2_000;

/// A worker that takes this much longer than others of its kind is avoided, in
/// thousandths; single runs differ by half of themselves.
const SLOW_PACE: u64 = 2_500;

/// Paces are told apart in steps of a tenth, in thousandths.
const PACE_STEP: u64 = 100;

/// How long before its tickets end a step asks again, beyond the time that the
/// question takes.
const REFRESH_LEAD: Span = Span::from_millis(100);

/// Whether a worker is of the step's pool and has its label.
pub(super) fn may_run(stage: &Stage, session: &Session) -> bool {
    let labels = &session.profile.labels;
    let label = stage.step.label.as_ref();
    session.profile.pool == stage.queue.pool
        && label.is_none_or(|label| labels.contains(label))
}

/// Whether a worker is one for the step that answers and stays.
fn is_sound(stage: &Stage, session: &Session) -> bool {
    may_run(stage, session) && !session.draining && session.unanswered == 0
}

/// Whether a worker could run a step, if it has or gets room.
pub(super) fn is_able(stage: &Stage, name: &id::Worker, session: &Session) -> bool {
    is_sound(stage, session) && (!stage.needs_advice() || stage.permit(name).is_some())
}

/// The rack that a worker's labels name: the last one.
fn rack(session: &Session) -> Option<&String> {
    session.profile.labels.last()
}

/// The workers for a gang with how many members each, if all fit at once.
///
/// A gang that is slow across racks goes to one rack if any has room for all.
fn choose_gang(
    at: Vec<Candidate>,
    size: &Size,
    count: u32,
    one_rack: bool,
) -> Option<Vec<(Candidate, u32)>> {
    if one_rack {
        let mut racks: IndexMap<Option<String>, Vec<Candidate>> = IndexMap::new();
        for candidate in &at {
            racks
                .entry(candidate.rack.clone())
                .or_default()
                .push(candidate.clone());
        }
        let whole = racks
            .into_values()
            .filter_map(|rack| fill(rack, size, count))
            .min_by_key(Vec::len);
        if whole.is_some() {
            return whole;
        }
    }
    fill(at, size, count)
}

/// Fills workers with a gang's members, the tightest fit first.
fn fill(
    mut at: Vec<Candidate>,
    size: &Size,
    count: u32,
) -> Option<Vec<(Candidate, u32)>> {
    at.sort_by_key(|candidate| candidate.cost(size));
    let mut left = count;
    let mut chosen = Vec::new();
    for candidate in at {
        let members = candidate.room_for(size).min(left);
        if members > 0 {
            left -= members;
            chosen.push((candidate, members));
        }
        if left == 0 {
            return Some(chosen);
        }
    }
    None
}
