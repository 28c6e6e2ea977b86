//! The leader's state outside the log: placement, leases, waiting calls,
//! retries and deadlines. It is dropped when the node stops leading; a new
//! leader starts from the replicated state.

use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

use crate::api::{Ending, Renew, Reply};
use crate::cell::lease::{Leases, announce_required};
use crate::cell::node::Ticket;
use crate::cell::waiter::Waiters;
use crate::cell::{Command, Event, Job, Phase, State, Status};
use crate::id;
use crate::place::{Decision, Exit, Planner};
use crate::unit::{Span, Time, Wall};
use crate::verdict::Reason;
use crate::{lease, place};

/// The most placement decisions in one round.
const MAX_DECISIONS: usize = 256;

/// How long a request's record is kept, from when its key was issued.
const RETENTION: Span = Span::from_secs(24 * 3_600);

/// The smallest step in which expiry by age moves the horizon.
const MIN_EXPIRY_STEP: Span = Span::from_secs(600);

/// The approximate memory of all records, in bytes, above which the oldest ones
/// expire early.
const RECORDS_SIZE_LIMIT: u64 = 12 << 20;

/// The approximate memory of all records, in bytes, after an early expiry.
const RECORDS_SIZE_TARGET: u64 = 11 << 20;

/// The backoff delay after the first failure.
const BACKOFF_MIN: Span = Span::from_millis(250);

/// The longest backoff delay.
const BACKOFF_MAX: Span = Span::from_secs(30);

/// The leader's state outside the log.
#[derive(Debug, Clone)]
pub(crate) struct Leader {
    planner: Planner,
    leases: Leases,
    /// The time of each running job's last start, from which run times count.
    started_at: IndexMap<id::Job, Time>,
    waiters: Waiters,
    /// Waiting jobs by the time after which they are closed.
    deadlines: BTreeSet<(Wall, id::Job)>,
    /// Failed jobs by the time at which their backoff ends.
    backoffs: BTreeSet<(Time, id::Job)>,
    /// Draws the jitter of backoff delays; seeded, so that runs are repeatable.
    rng: ChaCha8Rng,
    /// The horizon of the expiry that was last proposed, until it is applied.
    pending_expiry: Option<Wall>,
    /// The jobs whose starts are proposed and not yet applied.
    proposed_starts: IndexSet<id::Job>,
}

impl Leader {
    /// Creates a new leader from the replicated state, with the commands that
    /// it proposes at once. It assumes that an earlier leader has just granted
    /// every worker a lease.
    pub(crate) fn new(
        state: &State,
        setup: &place::Setup,
        timing: lease::Timing,
        clock: (Time, Wall),
    ) -> (Self, Vec<Command>) {
        let (now, _) = clock;
        let mut leader = Self {
            planner: Planner::new(setup),
            leases: Leases::new(state, timing, now),
            started_at: IndexMap::new(),
            waiters: Waiters::default(),
            deadlines: BTreeSet::new(),
            backoffs: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            pending_expiry: None,
            proposed_starts: IndexSet::new(),
        };
        let catalog = state.catalog();
        leader
            .planner
            .configure(catalog.settings(), catalog.teams());
        for (name, worker) in state.ledger().iter() {
            leader.planner.put_worker(name, worker);
        }
        let mut commands = Vec::new();
        for (id, job) in state.jobs() {
            commands.extend(leader.enqueue(id, job, clock));
        }
        (leader, commands)
    }

    /// Hands a job to placement: at once, or after a backoff if its last attempt
    /// failed.
    fn enqueue(&mut self, id: id::Job, job: &Job, clock: (Time, Wall)) -> Vec<Command> {
        if job.phase != Phase::Waiting {
            return self.admit(id, job, clock);
        }
        if let Some(deadline) = job.deadline {
            self.deadlines.insert((deadline, id));
        }
        if job.consecutive_failures == 0 {
            return self.admit(id, job, clock);
        }
        let (now, _) = clock;
        let delay = self.backoff_delay(job.consecutive_failures);
        self.backoffs.insert((now.after(delay), id));
        Vec::new()
    }

    /// The delay before a failed job is retried: a random part, between half
    /// and all, of a delay that doubles with each failure.
    fn backoff_delay(&mut self, failures: u32) -> Span {
        let doublings = failures.saturating_sub(1).min(16);
        let delay = BACKOFF_MIN.saturating_mul(1 << doublings).min(BACKOFF_MAX);
        let millis = delay.as_millis();
        Span::from_millis(self.rng.random_range(millis / 2..=millis))
    }

    /// Adds a job to placement: a waiting one to its queue, any other with the
    /// workers that it holds. Returns a command to close a job that no worker
    /// can hold.
    fn admit(&mut self, id: id::Job, job: &Job, clock: (Time, Wall)) -> Vec<Command> {
        let view = placement_job(id, job, clock);
        if job.phase == Phase::Waiting {
            return match self.planner.admit(view) {
                Ok(()) => Vec::new(),
                Err(_) => vec![Command::Close {
                    job: id,
                    reason: Reason::NeverFits,
                }],
            };
        }
        let mut workers = vec![None; job.slots.len()];
        for (rank, name, _) in job.reserved_workers() {
            workers[rank] = Some(name.clone());
        }
        self.planner.restore(view, &workers);
        Vec::new()
    }

    /// Handles the changes that a command made. Adds to `replies` the answers
    /// to waiting calls, and returns the commands to propose next.
    pub(crate) fn handle_events(
        &mut self,
        state: &State,
        events: &[Event],
        clock: (Time, Wall),
        replies: &mut Vec<(Ticket, Reply)>,
    ) -> Vec<Command> {
        let (now, _) = clock;
        let mut commands = Vec::new();
        for event in events {
            match event {
                Event::JobQueued(id) => {
                    if let Some(job) = state.job(*id) {
                        commands.extend(self.enqueue(*id, job, clock));
                    }
                }
                Event::JobStarted(id) => {
                    self.proposed_starts.swap_remove(id);
                    self.started_at.insert(*id, now);
                    self.planner.confirm_start(*id, now);
                }
                Event::StartRejected(id) => {
                    self.proposed_starts.swap_remove(id);
                    self.planner.revert_start(*id);
                    if state.job(*id).is_none() {
                        self.planner.withdraw(*id);
                    }
                }
                Event::TaskEnded(task, ending) => {
                    self.leases.forget_task(*task);
                    let exit = self.task_exit(task.job, *ending, now);
                    self.planner.release(*task, exit, now);
                }
                Event::JobFinished(id) => {
                    self.planner.withdraw(*id);
                    self.started_at.swap_remove(id);
                }
                Event::RequestAnswered(answer) => {
                    let tickets = self.waiters.take(&answer.key).into_iter();
                    let reply = Reply::Answer(answer.clone());
                    replies.extend(tickets.map(|ticket| (ticket, reply.clone())));
                }
                Event::WorkerUpdated(name) => {
                    let ticket = self.update_worker(state, name, now);
                    replies.extend(ticket.map(|ticket| (ticket, announce_required())));
                }
                Event::WorkerRemoved(name) => {
                    self.planner.remove_worker(name);
                    let ticket = self.leases.remove_worker(name);
                    replies.extend(ticket.map(|ticket| (ticket, announce_required())));
                }
                Event::NotesChanged => {
                    let catalog = state.catalog();
                    self.planner.configure(catalog.settings(), catalog.teams());
                }
                Event::OrdersQueued(name) => {
                    self.leases.queue_answer(name);
                }
            }
        }
        commands
    }

    fn task_exit(&self, job: id::Job, ending: Ending, now: Time) -> Exit {
        let started_at = self.started_at.get(&job).copied().unwrap_or(now);
        match ending {
            Ending::Done => Exit::Done(now.since(started_at)),
            Ending::Failed => Exit::Failed(now.since(started_at)),
            Ending::Stopped | Ending::Checkpointed | Ending::NeverBegan => Exit::Stopped,
        }
    }

    fn update_worker(
        &mut self,
        state: &State,
        name: &id::Worker,
        now: Time,
    ) -> Option<Ticket> {
        let worker = state.ledger().get(name)?;
        self.planner.put_worker(name, worker);
        self.leases.update_worker(state, name, now)
    }

    /// Registers a call as a waiter for its request's answer; false if too many
    /// calls wait.
    pub(crate) fn add_waiter(
        &mut self,
        key: id::Key,
        ticket: Ticket,
        deadline: Time,
    ) -> bool {
        self.waiters.add(key, ticket, deadline)
    }

    /// Whether any call waits for this key's answer.
    pub(crate) fn has_waiter(&self, key: &id::Key) -> bool {
        self.waiters.contains(key)
    }

    /// Removes a call that is being answered; false if it wasn't waiting.
    pub(crate) fn remove_waiter(&mut self, ticket: Ticket) -> bool {
        self.waiters.remove(ticket)
    }

    /// Removes and returns the calls whose wait has ended.
    pub(crate) fn take_expired_waiters(&mut self, now: Time) -> Vec<Ticket> {
        self.waiters.take_expired(now)
    }

    /// Keeps a renewal until there are orders; see [`Leases::renew`].
    pub(crate) fn renew(
        &mut self,
        renew: Renew,
        ticket: Ticket,
        now: Time,
        seq: u64,
    ) -> Option<Ticket> {
        self.leases.renew(renew, ticket, now, seq)
    }

    /// Answers the renewals that are due; see [`Leases::answer_renewals`].
    pub(crate) fn answer_renewals(
        &mut self,
        state: &State,
        now: Time,
        quorum_seq: u64,
    ) -> Vec<(Ticket, Reply)> {
        self.leases.answer_renewals(state, now, quorum_seq)
    }

    /// Returns the commands that are due: for workers whose leases have
    /// expired, jobs whose deadlines have passed and records that are to
    /// expire.
    pub(crate) fn tick(&mut self, state: &State, now: Time, wall: Wall) -> Vec<Command> {
        let mut commands = self.leases.tick(state, now);
        commands.extend(self.retry_failed_jobs(state, (now, wall)));
        commands.extend(self.close_overdue_jobs(state, wall));
        if self
            .pending_expiry
            .is_none_or(|before| state.horizon() >= before)
        {
            let expiry = expiry_horizon(state, wall);
            self.pending_expiry = expiry;
            commands.extend(expiry.map(|before| Command::Expire { before }));
        }
        commands
    }

    /// Hands the jobs whose backoff has ended to placement.
    fn retry_failed_jobs(&mut self, state: &State, clock: (Time, Wall)) -> Vec<Command> {
        let mut commands = Vec::new();
        while let Some(&(due, id)) = self.backoffs.first() {
            if due > clock.0 {
                break;
            }
            self.backoffs.pop_first();
            let job = state.job(id).filter(|job| job.phase == Phase::Waiting);
            if let Some(job) = job {
                commands.extend(self.admit(id, job, clock));
            }
        }
        commands
    }

    /// Closes the waiting jobs whose deadlines have passed. A job whose start
    /// is proposed is looked at again later, as the start may be rejected.
    fn close_overdue_jobs(&mut self, state: &State, wall: Wall) -> Vec<Command> {
        let mut commands = Vec::new();
        let mut deferred = Vec::new();
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > wall {
                break;
            }
            self.deadlines.pop_first();
            if self.proposed_starts.contains(&id) {
                deferred.push((deadline, id));
            } else if state.job(id).is_some_and(|job| job.phase == Phase::Waiting) {
                let reason = Reason::Deadline;
                commands.push(Command::Close { job: id, reason });
            }
        }
        self.deadlines.extend(deferred);
        commands
    }

    /// Runs a round of placement; returns commands for its decisions.
    pub(crate) fn plan(&mut self, state: &State, now: Time) -> Vec<Command> {
        let decisions = self.planner.plan(now, MAX_DECISIONS);
        let mut commands = Vec::new();
        for decision in decisions {
            match decision {
                Decision::Start { job, workers } => {
                    let Some(command) = start_command(state, job, workers) else {
                        self.planner.revert_start(job);
                        if state.job(job).is_none() {
                            self.planner.withdraw(job);
                        }
                        continue;
                    };
                    self.proposed_starts.insert(job);
                    commands.push(command);
                }
                Decision::Preempt { job } | Decision::Evict { job } => {
                    commands.push(Command::Preempt { job });
                }
                Decision::Refuse { job, .. } => commands.push(Command::Close {
                    job,
                    reason: Reason::NeverFits,
                }),
            }
        }
        commands
    }

    /// Why a job waits, as a sentence without its subject; `None` if it isn't
    /// waiting.
    pub(crate) fn explain(&self, job: id::Job, now: Time) -> Option<String> {
        let backoff = self.backoffs.iter().find(|(_, other)| *other == job);
        let Some((due, _)) = backoff else {
            return self.planner.explain(job, now);
        };
        let span = due.since(now);
        Some(format!("failed and will be retried in {span}"))
    }

    /// The tickets of all calls that wait, for when the node stops leading.
    pub(crate) fn pending_tickets(&self) -> impl Iterator<Item = Ticket> {
        self.waiters
            .pending_tickets()
            .chain(self.leases.pending_tickets())
    }
}

/// The command for a decision to start a job; `None` if the job or one of the
/// workers no longer exists.
fn start_command(state: &State, id: id::Job, names: Vec<id::Worker>) -> Option<Command> {
    let job = state.job(id)?;
    let mut workers = Vec::with_capacity(names.len());
    for name in names {
        let incarnation = state.ledger().get(&name)?.incarnation;
        workers.push((name, incarnation));
    }
    let attempt = id::Attempt(job.attempt.0 + 1);
    Some(Command::Start {
        job: id,
        attempt,
        workers,
    })
}

/// The horizon to propose for the expiry of records; `None` if nothing is to
/// expire. Records expire by age, or earlier if they take too much memory: the
/// horizon then lies after as many of the oldest closed records as make up the
/// excess.
fn expiry_horizon(state: &State, wall: Wall) -> Option<Wall> {
    let before =
        Wall::from_millis(wall.since(Wall::default()).saturating_sub(RETENTION).into());
    let oldest = state.oldest_key()?.issued();
    if oldest < before && before.since(state.horizon()) >= MIN_EXPIRY_STEP {
        return Some(before);
    }
    if state.records_size() <= RECORDS_SIZE_LIMIT {
        return None;
    }
    let mut excess = state.records_size().saturating_sub(RECORDS_SIZE_TARGET);
    for (key, record) in state.records() {
        if matches!(record.status, Status::Open(_)) {
            continue;
        }
        excess = excess.saturating_sub(record.approximate_size());
        if excess == 0 {
            return Some(key.issued().after(Span::from_millis(1)));
        }
    }
    None
}

/// The job as placement sees it, with its deadline on the monotonic clock.
fn placement_job(id: id::Job, job: &Job, clock: (Time, Wall)) -> place::Job {
    let (now, wall) = clock;
    place::Job {
        id,
        team: job.spec.team.clone(),
        workload: job.spec.workload.clone(),
        kind: job.spec.kind,
        size: job.spec.size,
        count: job.spec.count,
        urgent: job.spec.urgent,
        idempotent: job.spec.idempotent,
        queued_at: now,
        deadline: job.deadline.map(|deadline| now.after(deadline.since(wall))),
        expected: job.spec.expected,
    }
}
