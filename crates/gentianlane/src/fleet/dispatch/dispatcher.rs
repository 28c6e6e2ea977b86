//! What the leader keeps in mind.

use indexmap::{IndexMap, IndexSet};

use crate::fleet::decision::{Decision, Why};
use crate::fleet::dispatch::Setup;
use crate::fleet::dispatch::advice::{Desk, Helper};
use crate::fleet::dispatch::estimate::Estimator;
use crate::fleet::dispatch::session::{RunState, Session};
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::dispatch::unconfirmed::UnconfirmedStarts;
use crate::fleet::job::{self, Task};
use crate::fleet::order::{Action, Number, Order, Question};
use crate::fleet::{Command, State};
use crate::id;
use crate::unit::{Span, Time, Wall};

/// What the leader wants done.
#[derive(Debug, Default, Clone)]
pub struct Effects {
    /// Orders to workers.
    pub orders: Vec<Order>,
    /// Questions, each with the helper that is to put it.
    pub questions: Vec<(Helper, Question)>,
    /// Commands for the log.
    pub commands: Vec<Command>,
    /// What was decided.
    pub decisions: Vec<Decision>,
}

/// An order that is under way.
#[derive(Debug, Clone)]
pub(super) struct PendingOrder {
    pub(super) worker: id::Worker,
    pub(super) started_at: Wall,
    pub(super) at: Time,
    pub(super) kind: OrderKind,
}

/// What an order under way is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderKind {
    Renew,
    Start(Task, u64),
    Stop(Task, u64),
    Throttle,
}

/// The leader's view of jobs, workers and runs.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    pub(super) setup: Setup,
    /// The leadership's number, which every order carries.
    pub(super) fencing_token: u64,
    pub(super) sessions: IndexMap<id::Worker, Session>,
    pub(super) stages: IndexMap<job::Stage, Stage>,
    /// Where each task runs, may run or is being stopped.
    pub(super) placements: IndexMap<Task, id::Worker>,
    /// The jobs of which a task has started.
    pub(super) started_jobs: IndexSet<job::Id>,
    /// The open jobs, since when this leader knows each, and how long its
    /// caller had waited before.
    pub(super) open_jobs: IndexMap<job::Id, (Time, Span)>,
    /// The jobs with occurrences to come.
    pub(super) recurring_jobs: IndexSet<job::Id>,
    pub(super) pending_orders: IndexMap<Number, PendingOrder>,
    pub(super) last_number: Number,
    pub(super) unconfirmed: UnconfirmedStarts,
    pub(super) desk: Desk,
    pub(super) estimator: Estimator,
    /// Until when a life that hasn't answered may run an earlier leader's
    /// tasks.
    pub(super) recovery_deadline: Time,
    /// Whether some steps wait for what runs from before.
    pub(super) recovering: bool,
    /// Whether anything changed that placement depends on.
    pub(super) needs_placement: bool,
    /// When tickets and refusals are looked at again.
    pub(super) next_tick: Time,
    pub(super) effects: Effects,
}

impl Dispatcher {
    /// The leader's view at the beginning of its term.
    ///
    /// A life that this leader can't reach may run an earlier leader's tasks
    /// until the longest lease has ended.
    #[must_use]
    pub fn new(
        state: &State,
        fencing_token: u64,
        setup: Setup,
        now: Time,
        wall: Wall,
    ) -> Self {
        let longest = setup.lease.as_millis() * 21 / 20;
        let mut dispatcher = Self {
            setup,
            fencing_token,
            sessions: IndexMap::new(),
            stages: IndexMap::new(),
            placements: IndexMap::new(),
            started_jobs: IndexSet::new(),
            open_jobs: IndexMap::new(),
            recurring_jobs: IndexSet::new(),
            pending_orders: IndexMap::new(),
            last_number: fencing_token << TERM_SHIFT,
            unconfirmed: UnconfirmedStarts::default(),
            desk: Desk::default(),
            estimator: Estimator::default(),
            recovery_deadline: now.after(Span::from_millis(longest)),
            recovering: true,
            needs_placement: true,
            next_tick: now,
            effects: Effects::default(),
        };
        for member in state.lives() {
            let session = Session::new(member, Span::from_millis(longest), now);
            dispatcher
                .sessions
                .insert(member.life.worker.clone(), session);
        }
        for (&id, job) in state.jobs().filter(|(_, job)| job.is_open()) {
            dispatcher.open_jobs.insert(id, (now, wall.since(job.at)));
            if job.has_ends() {
                dispatcher.started_jobs.insert(id);
            }
            dispatcher.activate(state, id, now, wall);
        }
        for stage in dispatcher.stages.values_mut() {
            stage.recovering = true;
        }
        dispatcher
    }

    /// Takes what has to be done since the last call.
    pub fn take_effects(&mut self) -> Effects {
        std::mem::take(&mut self.effects)
    }

    /// When [`Dispatcher::tick`] has something to do at the latest.
    #[must_use]
    pub fn due(&self) -> Time {
        self.next_tick
    }

    /// How many jobs of a queue have no task that has started.
    #[must_use]
    pub fn waiting_jobs(&self, state: &State, queue: &str) -> u64 {
        let waits = |(id, _): &(&job::Id, &(Time, Span))| {
            let of_queue = state.job(id).is_some_and(|job| job.queue == queue);
            of_queue && !self.started_jobs.contains(*id)
        };
        self.open_jobs.iter().filter(waits).count() as u64
    }

    /// Whether a task of this job has started.
    #[must_use]
    pub fn has_started(&self, job: &job::Id) -> bool {
        self.started_jobs.contains(job)
    }

    /// Takes in a helper that can put questions for this leader.
    pub fn add_relay(&mut self, helper: Helper) {
        self.desk.join(helper);
        self.needs_placement = true;
    }

    /// Does what the time asks for, then places what can be placed.
    pub fn tick(&mut self, state: &State, now: Time, wall: Wall) {
        let tick_due = now >= self.next_tick;
        if tick_due {
            self.next_tick = now.after(TICK_INTERVAL);
            self.activate_due(state, now, wall);
            self.expire_questions(now);
            self.unconfirmed.expire(now);
            self.check_sessions(state, now);
            self.check_recovery(now);
            self.pace_fillers(now);
        }
        if tick_due || self.needs_placement {
            self.needs_placement = false;
            self.send_due_renewals(now);
            let order = self.in_order(now);
            self.place(state, &order, now);
            self.ask(&order, now);
        }
    }

    /// Sends an order, and remembers what it is about.
    pub(super) fn send_order(
        &mut self,
        worker: &id::Worker,
        timeout: Span,
        action: Action,
        now: Time,
    ) -> Option<Number> {
        let session = self.sessions.get(worker)?;
        self.last_number += 1;
        let number = self.last_number;
        let kind = match &action {
            Action::Start(start) => OrderKind::Start(start.task, start.run),
            Action::Stop { task, run } => OrderKind::Stop(*task, *run),
            Action::Hold { .. } => OrderKind::Renew,
            Action::Pace { .. } => OrderKind::Throttle,
        };
        let order = PendingOrder {
            worker: worker.clone(),
            started_at: session.incarnation.born,
            at: now,
            kind,
        };
        self.pending_orders.insert(number, order);
        self.effects.orders.push(Order {
            number,
            worker: worker.clone(),
            address: session.profile.address,
            fence: self.fencing_token,
            timeout,
            action,
        });
        Some(number)
    }

    /// Has a run stopped, wherever it is.
    pub(super) fn stop_run(&mut self, task: &Task, why: Why, now: Time) {
        let Some(worker) = self.placements.get(task).cloned() else {
            return;
        };
        let Some(session) = self.sessions.get_mut(&worker) else {
            return;
        };
        let Some(run) = session.runs.get_mut(task) else {
            return;
        };
        if run.state == RunState::Stopping {
            return;
        }
        run.state = RunState::Stopping;
        run.confirmed_at = None;
        run.tries = 1;
        run.retry_at = now.after(self.setup.order);
        let number = run.number;
        self.effects.decisions.push(Decision::Stop {
            task: *task,
            run: number,
            worker: worker.clone(),
            why,
        });
        let stop = Action::Stop {
            task: *task,
            run: number,
        };
        let order = self.send_order(&worker, self.setup.order, stop, now);
        if let Some(session) = self.sessions.get_mut(&worker)
            && let Some(run) = session.runs.get_mut(task)
        {
            run.order = order;
        }
    }

    /// Frees a run's room; its task waits again unless it runs elsewhere or has
    /// ended well.
    pub(super) fn release_run(&mut self, worker: &id::Worker, task: &Task) {
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        let Some(run) = session.remove(task) else {
            return;
        };
        self.needs_placement = true;
        if self.placements.get(task) == Some(worker) {
            self.placements.swap_remove(task);
        }
        let Some(stage) = self.stages.get_mut(&task.stage) else {
            return;
        };
        if !run.checkpoint.is_empty() {
            let key = stage.unit_key(task.index);
            stage.checkpoints.insert(key, run.checkpoint);
        }
        let unit = if stage.step.gang { 0 } else { task.index };
        // The run may be an earlier one than the task's present run.
        let runs = self.placements.contains_key(task);
        if !runs && !stage.done.contains(&unit) {
            stage.pending.insert(task.index);
        }
    }
}

/// Orders are numbered by term first, so that an answer to an earlier term's
/// order is never taken for one to another; no term has as many orders.
const TERM_SHIFT: u32 = 32;

/// How often leases, retries and tickets are looked at.
const TICK_INTERVAL: Span = Span::from_millis(50);
