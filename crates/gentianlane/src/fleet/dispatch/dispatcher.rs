//! The dispatcher: the leader's model of jobs, workers and runs, and the orders
//! that it sends.

use crate::collections::{IndexMap, IndexSet};

use crate::fleet::decision::{Cause, Decision};
use crate::fleet::dispatch::Setup;
use crate::fleet::dispatch::advice::{Relay, Relays};
use crate::fleet::dispatch::claim::{Claims, Verdict};
use crate::fleet::dispatch::crash::Silences;
use crate::fleet::dispatch::effort::Effort;
use crate::fleet::dispatch::estimate::Estimator;
use crate::fleet::dispatch::gone::{Departure, Removals};
use crate::fleet::dispatch::grant::{LateGrant, UnansweredGrants};
use crate::fleet::dispatch::open::{OpenJobs, Submission};
use crate::fleet::dispatch::rack_demand::RackDemands;
use crate::fleet::dispatch::recurrence::Recurrences;
use crate::fleet::dispatch::schedule::{Schedule, Scope};
use crate::fleet::dispatch::session::{RunState, Session, longest_lease};
use crate::fleet::dispatch::stage::Stage;
use crate::fleet::dispatch::trial::Trial;
use crate::fleet::dispatch::unconfirmed::UnconfirmedStarts;
use crate::fleet::job::{self, Resources, Task};
use crate::fleet::order::{Action, AdviceRequest, Answer, CallId, Order, Status};
use crate::fleet::team::{Ledger, Shares};
use crate::fleet::worker::Incarnation;
use crate::fleet::{Command, State};
use crate::id;
use crate::unit::{Span, Time, Wall};

/// Side effects for the caller to carry out.
#[derive(Debug, Default, Clone)]
pub struct Effects {
    /// Orders to workers.
    pub orders: Vec<Order>,
    /// Advice requests, each with the relay that sends it to the adviser.
    pub advice_requests: Vec<(Relay, AdviceRequest)>,
    /// Commands to propose to the replicated log.
    pub commands: Vec<Command>,
    /// Decisions for the event log.
    pub decisions: Vec<Decision>,
    /// What became of the calls that couldn't be answered at once.
    pub verdicts: Vec<Verdict>,
}

/// An order that was sent and not answered yet.
#[derive(Debug, Clone)]
pub(super) struct PendingOrder {
    pub(super) worker: id::Worker,
    /// When the addressed incarnation of the worker started.
    pub(super) started_at: Wall,
    pub(super) sent_at: Time,
    /// How long its answer may take.
    pub(super) timeout: Span,
    /// When the ticket of a start has expired at the worker.
    pub(super) ticket_until: Option<Time>,
    pub(super) kind: OrderKind,
    /// Whether the order extends the worker's lease.
    pub(super) extends_lease: bool,
    /// The newest reading of the worker's clock when the order was sent, in milliseconds.
    pub(super) clock: u64,
}

impl PendingOrder {
    /// Whether a status may answer the order: it names a start time if the worker has
    /// given one. Any other server might answer with empty lists.
    pub(super) fn accepts(&self, status: &Status) -> bool {
        self.started_at == Wall::default() || status.started_at.is_some()
    }
}

/// The action of a pending order, with the run that it concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderKind {
    Renew,
    Start(Task, u64),
    Stop(Task, u64),
    Throttle(Task, u64),
    /// Which worker and incarnation listens at an address.
    Question,
}

/// The run of a task that counts, and the worker that has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) worker: id::Worker,
    pub(super) run: u64,
}

/// The leader's model of jobs, workers and runs, valid for one term.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    pub(super) setup: Setup,
    /// The leader's term.
    pub(super) term: u64,
    /// The fencing token of the session that was opened last.
    pub(super) fencing_token: u64,
    pub(super) sessions: IndexMap<id::Worker, Session>,
    pub(super) stages: IndexMap<job::Stage, Stage>,
    /// Where each task runs, may run or is being stopped.
    pub(super) placements: IndexMap<Task, Place>,
    /// The tasks of which a worker may have a run, to be stopped, besides that of
    /// their placement.
    pub(super) superseded: IndexSet<Task>,
    /// The tasks of which an end is proposed to the log and not applied yet.
    pub(super) unlogged: IndexSet<Task>,
    /// The workers that reported such an end, by the task and the run's number.
    pub(super) reporters: IndexMap<(Task, u64), Vec<id::Worker>>,
    /// The jobs that are not over yet.
    pub(super) open_jobs: OpenJobs,
    /// The jobs with occurrences that aren't opened yet.
    pub(super) recurrences: Recurrences,
    pub(super) pending_orders: IndexMap<CallId, PendingOrder>,
    pub(super) last_call_id: CallId,
    /// The reports whose claims are being checked.
    pub(super) claims: Claims,
    /// The announcements of workers that leave and are to be answered.
    pub(super) departures: IndexMap<id::Worker, Departure>,
    /// The sequence numbers of the reports by which incarnations are being registered.
    pub(super) first_sequences: IndexMap<Incarnation, u64>,
    pub(super) unconfirmed: UnconfirmedStarts,
    pub(super) unanswered_grants: UnansweredGrants,
    pub(super) silences: Silences,
    pub(super) removals: Removals,
    /// The steps with tasks against which something is held.
    pub(super) suspect_stages: IndexSet<job::Stage>,
    /// The tasks that run, or are to run, on a worker of their own.
    pub(super) trials: IndexMap<Task, Trial>,
    pub(super) relays: Relays,
    /// The last advice request for an expired job of each queue, by which queues
    /// take turns.
    pub(super) expired_requests: IndexMap<String, CallId>,
    pub(super) estimator: Estimator,
    /// The latest end of any lease that an earlier leader granted. Until then a
    /// worker that hasn't answered may run an earlier leader's tasks.
    pub(super) recovery_deadline: Time,
    /// Whether steps are held back until the earlier leader's runs are known.
    pub(super) recovering: bool,
    /// When placement passes run.
    pub(super) schedule: Schedule,
    /// The workers that the last placement pass reserved.
    pub(super) reserved_workers: Vec<id::Worker>,
    /// Counts changes of the workers and of their capacities.
    pub(super) fleet_revision: u64,
    /// How long each pool takes until all present runs have ended.
    pub(super) turnovers: IndexMap<String, Span>,
    /// What placement has cost lately.
    pub(super) effort: Effort,
    /// What each team used when the last placement pass began, and has started since.
    pub(super) ledger: Ledger,
    /// How many tasks of each pool wait for a better place, as of the current pass.
    pub(super) waiting_for_places: IndexMap<String, usize>,
    /// How much work has lately come for each rack.
    pub(super) rack_demands: RackDemands,
    /// What the runs of jobs that were cancelled or have failed may use on workers that
    /// haven't listed theirs, by team; none once the recovery has ended.
    pub(super) ended_charges: IndexMap<id::Team, Resources>,
    /// What is left of each team's share.
    pub(super) shares: Shares,
    /// When leases, retries and tickets are checked again.
    pub(super) next_tick: Time,
    pub(super) effects: Effects,
}

impl Dispatcher {
    /// A dispatcher for a term that begins now, rebuilt from the replicated
    /// state.
    ///
    /// A worker that this leader can't reach may
    /// run an earlier leader's tasks until the longest lease has ended, which
    /// is taken as the configured lease plus 5%.
    #[must_use]
    pub fn new(state: &State, term: u64, setup: Setup, now: Time, wall: Wall) -> Self {
        let fencing_token = term << TERM_SHIFT;
        let earlier_lease = Span::from_millis(setup.lease.as_millis() * 21 / 20);
        let mut dispatcher = Self {
            setup,
            term,
            fencing_token,
            sessions: IndexMap::default(),
            stages: IndexMap::default(),
            placements: IndexMap::default(),
            superseded: IndexSet::default(),
            unlogged: IndexSet::default(),
            reporters: IndexMap::default(),
            open_jobs: OpenJobs::default(),
            recurrences: Recurrences::default(),
            pending_orders: IndexMap::default(),
            last_call_id: term << TERM_SHIFT,
            claims: Claims::default(),
            departures: IndexMap::default(),
            first_sequences: IndexMap::default(),
            unconfirmed: UnconfirmedStarts::default(),
            unanswered_grants: UnansweredGrants::default(),
            silences: Silences::default(),
            removals: Removals::default(),
            suspect_stages: IndexSet::default(),
            trials: IndexMap::default(),
            relays: Relays::default(),
            expired_requests: IndexMap::default(),
            estimator: Estimator::default(),
            recovery_deadline: now.after(earlier_lease),
            recovering: true,
            schedule: Schedule::new(now),
            reserved_workers: Vec::new(),
            fleet_revision: 1,
            turnovers: IndexMap::default(),
            effort: Effort::default(),
            ledger: Ledger::default(),
            waiting_for_places: IndexMap::default(),
            rack_demands: RackDemands::default(),
            ended_charges: IndexMap::default(),
            shares: Shares::default(),
            next_tick: now,
            effects: Effects::default(),
        };
        for worker in state.workers() {
            let mut session = Session::new(worker, fencing_token, earlier_lease, now);
            session.exposed = state.crashes().is_exposed(&worker.incarnation);
            // An incarnation that has runs had answered the leader which started them, and
            // has taken no late grant since.
            if state.is_unsettled(&worker.incarnation.worker) {
                let ends_by = now.after(longest_lease(setup.lease_limit));
                session.late_grant = Some(LateGrant::until(ends_by));
                dispatcher.recovery_deadline = dispatcher.recovery_deadline.max(ends_by);
            }
            dispatcher
                .sessions
                .insert(worker.incarnation.worker.clone(), session);
        }
        for (&id, job) in state.jobs().filter(|(_, job)| job.is_open()) {
            let waited = wall.since(job.submitted_at);
            let submission = Submission::of(state, &id, job);
            dispatcher.open_jobs.add(id, submission, now, waited);
            if job.has_ended_runs() {
                dispatcher.open_jobs.mark_started(&id);
            }
            dispatcher.activate(state, id, now, wall);
        }
        for stage in dispatcher.stages.values_mut() {
            stage.recovering = true;
        }
        dispatcher.inherit_unconfirmed(state, now);
        dispatcher.inherit_shares(state, now, wall);
        dispatcher.inherit_ended_charges(state, wall);
        for worker in state.workers() {
            dispatcher.declare_succeeded(state, &worker.incarnation.worker, wall);
        }
        dispatcher
    }

    /// Removes and returns the effects gathered since the last call.
    pub fn take_effects(&mut self) -> Effects {
        std::mem::take(&mut self.effects)
    }

    /// Takes the orders back that were made since the leader lease ended: what they start
    /// may run elsewhere by the time at which the lease is back.
    pub(crate) fn withdraw_orders(&mut self, state: &State, now: Time, wall: Wall) {
        for order in std::mem::take(&mut self.effects.orders) {
            self.handle_answer(state, order.id, Answer::Unsent, now, wall);
        }
    }

    /// The latest time for the next call of [`Dispatcher::tick`].
    #[must_use]
    pub fn due(&self) -> Time {
        let pass_due = self.schedule.due();
        pass_due.map_or(self.next_tick, |due| due.min(self.next_tick))
    }

    /// The number of jobs in a queue without a started task.
    #[must_use]
    pub fn waiting_jobs(&self, queue: &str) -> u64 {
        self.open_jobs.waiting(queue)
    }

    /// Whether a task of this open job has started.
    #[must_use]
    pub fn has_started(&self, job: &job::Id) -> bool {
        self.open_jobs.has_started(job)
    }

    /// Registers a relay that can send advice requests for this leader.
    pub fn add_relay(&mut self, relay: Relay) {
        self.relays.add(relay);
        self.schedule.want();
    }

    /// Handles what is due at `now`. If that, or a changed input, calls for it,
    /// also renews leases and, unless that is postponed, places waiting steps
    /// and requests advice.
    pub fn tick(&mut self, state: &State, now: Time, wall: Wall) {
        let tick_due = now >= self.next_tick;
        if tick_due {
            self.next_tick = now.after(TICK_INTERVAL);
            self.activate_due(state, now, wall);
            self.expire_requests(now);
            self.unconfirmed.expire(now);
            self.unanswered_grants.expire(now);
            self.check_sessions(now, wall);
            self.check_recovery(now);
            self.throttle_best_effort(now);
            self.effects.decisions.extend(self.effort.take_line(now));
            self.schedule.want_plans();
        }
        self.answer_departures(now);
        if self.schedule.is_wanted() {
            self.send_due_renewals(now);
        }
        if let Some(scope) = self.schedule.begin(now) {
            self.run_pass(state, scope, now, wall);
        }
    }

    /// Places what waits and requests advice for it.
    fn run_pass(&mut self, state: &State, scope: Scope, now: Time, wall: Wall) {
        if scope.plans {
            self.turnovers = self.pool_turnovers(now);
            self.update_trials(now);
        }
        self.update_reservation_needs();
        self.rebuild_ledger(state, now);
        let order = self.ranked_steps(now);
        self.effort.count_pass(order.len());
        let survey = self.survey(scope, now);
        self.place(state, &order, survey, now, wall);
        self.ask_for_advice(&order, now);
    }

    /// Lets placement rest for as long as the work since `started` took, if that
    /// was long. Leases are renewed and answers are handled all the same.
    ///
    /// So a process whose passes are long has processor time for its other work.
    pub fn rest_placement(&mut self, started: Time, now: Time) {
        self.schedule.rest(started, now);
    }

    /// Runs no placement pass before a time, at most a second ahead.
    pub fn postpone_placement(&mut self, until: Time, now: Time) {
        self.schedule.postpone(until, now);
    }

    /// Notes an input that changes what can be placed.
    pub(super) fn require_placement(&mut self) {
        self.schedule.want();
        self.effort.count_input();
    }

    /// Emits an order and records it as pending; returns its id, or none if the
    /// worker has no session.
    pub(super) fn send_order(
        &mut self,
        worker: &id::Worker,
        timeout: Span,
        action: Action,
        now: Time,
    ) -> Option<CallId> {
        let session = self.sessions.get(worker)?;
        self.last_call_id += 1;
        let id = self.last_call_id;
        let kind = match &action {
            Action::Start(start) => OrderKind::Start(start.task, start.run),
            Action::Stop { task, run } => OrderKind::Stop(*task, *run),
            Action::Renew { .. } => OrderKind::Renew,
            Action::Throttle { task, run, .. } => OrderKind::Throttle(*task, *run),
        };
        let extends_lease = match &action {
            Action::Start(_) => true,
            Action::Renew { deadline, .. } => deadline.is_some(),
            Action::Stop { .. } | Action::Throttle { .. } => false,
        };
        let order = PendingOrder {
            worker: worker.clone(),
            started_at: session.incarnation.started_at,
            sent_at: now,
            timeout,
            ticket_until: self.ticket_until(worker, &action),
            kind,
            extends_lease,
            clock: session.newest_clock(),
        };
        self.pending_orders.insert(id, order);
        self.effects.orders.push(Order {
            id,
            worker: worker.clone(),
            started_at: session.incarnation.started_at,
            address: session.profile.address,
            fencing_token: session.fencing_token,
            timeout,
            action,
        });
        Some(id)
    }

    /// When the ticket that a start carries has expired at the worker.
    fn ticket_until(&self, worker: &id::Worker, action: &Action) -> Option<Time> {
        let Action::Start(start) = action else {
            return None;
        };
        let permit = self.stages.get(&start.task.stage)?.permit(worker)?;
        let carried = start.ticket.as_ref() == Some(&permit.ticket);
        carried.then(|| permit.expires.after(TICKET_CLOCK_SLACK))
    }

    /// Stops a task's current run on the worker where it is placed, unless it is
    /// being stopped already.
    pub(super) fn stop_run(&mut self, task: &Task, cause: Cause, now: Time) {
        let Some(Place {
            worker,
            run: number,
        }) = self.placements.get(task).cloned()
        else {
            return;
        };
        let retry_at = now.after(self.setup.order_timeout);
        let Some(run) = self.run_mut(&worker, task, number) else {
            return;
        };
        if run.state == RunState::Stopping {
            return;
        }
        run.state = RunState::Stopping;
        run.confirmed_at = None;
        run.tries = 1;
        run.retry_at = retry_at;
        self.effects.decisions.push(Decision::Stop {
            task: *task,
            run: number,
            worker: worker.clone(),
            cause,
        });
        let stop = Action::Stop {
            task: *task,
            run: number,
        };
        let order = self.send_order(&worker, self.setup.order_timeout, stop, now);
        if let Some(run) = self.run_mut(&worker, task, number) {
            run.order = order;
        }
    }

    /// Frees a run's capacity and keeps its checkpoint. The task becomes pending
    /// again unless it is placed elsewhere or has completed.
    pub(super) fn release_run(
        &mut self,
        worker: &id::Worker,
        task: &Task,
        number: u64,
        now: Time,
    ) {
        let Some(session) = self.sessions.get_mut(worker) else {
            return;
        };
        let Some(run) = session.remove(task, number) else {
            return;
        };
        self.schedule.want();
        let place = self.placements.get(task);
        if place.is_some_and(|place| place.worker == *worker && place.run == number) {
            self.placements.swap_remove(task);
        }
        if !self.placements.contains_key(task) {
            self.hold_superseded(task);
        }
        let Some(stage) = self.stages.get_mut(&task.stage) else {
            return;
        };
        if !run.checkpoint.is_empty() {
            let key = stage.unit_key(task.index);
            stage.checkpoints.insert(key, run.checkpoint);
        }
        let unit = if stage.step.gang { 0 } else { task.index };
        // The task may be placed for its current run or for another one that is being
        // stopped.
        let placed = self.placements.contains_key(task);
        // A failed task isn't placed again before its failure is in the log, so
        // that it never starts more often than its attempts allow.
        let unlogged = self.unlogged.contains(task);
        if !placed && !unlogged && !stage.done.contains(&unit) {
            stage.add_pending(task.index, now);
        }
    }

    /// Keeps a task that isn't placed any more from being placed anew while another
    /// run of it is being stopped.
    fn hold_superseded(&mut self, task: &Task) {
        if !self.superseded.contains(task) {
            return;
        }
        let place = self.sessions.iter().find_map(|(worker, session)| {
            let mut runs = session.runs.keys();
            let (_, number) = runs.find(|(other, _)| other == task)?;
            Some(Place {
                worker: worker.clone(),
                run: *number,
            })
        });
        match place {
            Some(place) => {
                self.placements.insert(*task, place);
            }
            None => {
                self.superseded.swap_remove(task);
            }
        }
    }
}

/// The number of low bits of a [`CallId`] or fencing token that count within a term.
/// The term in the high bits keeps a late answer to an earlier term's order from
/// matching a current one, and makes every order of an earlier term stale; no term
/// sends 2^32 orders.
const TERM_SHIFT: u32 = 32;

/// How much longer than the leader reckons a worker may accept a ticket, as its
/// clock may be slow.
const TICKET_CLOCK_SLACK: Span = Span::from_millis(250);

/// The interval at which leases, retries and tickets are checked.
const TICK_INTERVAL: Span = Span::from_millis(50);
