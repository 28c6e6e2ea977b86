//! What a leader knows beyond the log, for as long as it leads.

use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

use crate::api::{Ending, Renew, Reply};
use crate::cell::grant::{Grants, announce_first};
use crate::cell::hold::Holds;
use crate::cell::node::Ticket;
use crate::cell::{Command, Event, Job, Phase, State, Status};
use crate::id;
use crate::place::{Decision, Exit, Planner};
use crate::unit::{Span, Time, Wall};
use crate::verdict::Reason;
use crate::{lease, place};

/// How many decisions one step makes.
const DECISIONS: usize = 256;

/// How long a request's record is kept after its key was issued.
const RETENTION: Span = Span::from_secs(24 * 3_600);

/// The least that the horizon moves in one step.
const EXPIRY_STEP: Span = Span::from_secs(600);

/// What the records may weigh together, in bytes; older ones go first.
const RECORDS_LIMIT: u64 = 12 << 20;

/// What the records weigh after they were too heavy, in bytes.
const RECORDS_TARGET: u64 = 11 << 20;

/// The pause before work that failed once is tried again.
const BACKOFF_MIN: Span = Span::from_millis(250);

/// The longest pause before work that failed is tried again.
const BACKOFF_MAX: Span = Span::from_secs(30);

/// What a leader knows beyond the log.
#[derive(Debug, Clone)]
pub(crate) struct Lead {
    planner: Planner,
    grants: Grants,
    /// When a job that runs was last started, for its run time.
    started: IndexMap<id::Job, Time>,
    holds: Holds,
    /// Waiting jobs by the latest useful start.
    deadlines: BTreeSet<(Wall, id::Job)>,
    /// Jobs that have failed, by the time at which they may be tried again.
    backoffs: BTreeSet<(Time, id::Job)>,
    random: ChaCha8Rng,
    /// Whether an expiry was proposed and not yet applied.
    expiring: Option<Wall>,
    /// Starts that were proposed and not yet applied.
    proposed: IndexSet<id::Job>,
}

impl Lead {
    /// Begins to lead with the state as it is: every worker may hold a lease
    /// that an earlier leader granted just now.
    ///
    /// Gives what to propose at once, too.
    pub(crate) fn new(
        state: &State,
        setup: &place::Setup,
        term: lease::Term,
        clock: (Time, Wall),
    ) -> (Self, Vec<Command>) {
        let (now, _) = clock;
        let mut lead = Self {
            planner: Planner::new(setup),
            grants: Grants::new(state, term, now),
            started: IndexMap::new(),
            holds: Holds::default(),
            deadlines: BTreeSet::new(),
            backoffs: BTreeSet::new(),
            random: ChaCha8Rng::seed_from_u64(setup.seed),
            expiring: None,
            proposed: IndexSet::new(),
        };
        let book = state.book();
        lead.planner.configure(book.settings(), book.teams());
        for (name, worker) in state.ledger().iter() {
            lead.planner.put_worker(name, worker);
        }
        let mut commands = Vec::new();
        for (id, job) in state.jobs() {
            commands.extend(lead.waits(id, job, clock));
        }
        (lead, commands)
    }

    /// Takes in a job, or lets it pause first if its last attempts failed.
    fn waits(&mut self, id: id::Job, job: &Job, clock: (Time, Wall)) -> Vec<Command> {
        if job.phase != Phase::Waiting {
            return self.take_in(id, job, clock);
        }
        if let Some(deadline) = job.deadline {
            self.deadlines.insert((deadline, id));
        }
        if job.consecutive_failures == 0 {
            return self.take_in(id, job, clock);
        }
        let (now, _) = clock;
        let pause = self.backoff(job.consecutive_failures);
        self.backoffs.insert((now.after(pause), id));
        Vec::new()
    }

    /// Between half and all of a pause that doubles with each failure.
    fn backoff(&mut self, failures: u32) -> Span {
        let doublings = failures.saturating_sub(1).min(16);
        let pause = BACKOFF_MIN.times(1 << doublings).min(BACKOFF_MAX);
        let millis = pause.as_millis();
        Span::from_millis(self.random.random_range(millis / 2..=millis))
    }

    fn take_in(&mut self, id: id::Job, job: &Job, clock: (Time, Wall)) -> Vec<Command> {
        let view = view(id, job, clock);
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
        for (rank, name, _) in job.held() {
            workers[rank] = Some(name.clone());
        }
        self.planner.restore(view, &workers);
        Vec::new()
    }

    /// Follows up what a command has changed; gives what to propose next.
    pub(crate) fn follow_up(
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
                        commands.extend(self.waits(*id, job, clock));
                    }
                }
                Event::JobStarted(id) => {
                    self.proposed.swap_remove(id);
                    self.started.insert(*id, now);
                    self.planner.confirm_start(*id, now);
                }
                Event::StartRejected(id) => {
                    self.proposed.swap_remove(id);
                    self.planner.revert_start(*id);
                    if state.job(*id).is_none() {
                        self.planner.withdraw(*id);
                    }
                }
                Event::TaskEnded(task, ending) => {
                    self.grants.released(*task);
                    let ended = self.ended(task.job, *ending, now);
                    self.planner.release(*task, ended, now);
                }
                Event::JobFinished(id) => {
                    self.planner.withdraw(*id);
                    self.started.swap_remove(id);
                }
                Event::RequestAnswered(answer) => {
                    let tickets = self.holds.take(&answer.key).into_iter();
                    let reply = Reply::Answer(answer.clone());
                    replies.extend(tickets.map(|ticket| (ticket, reply.clone())));
                }
                Event::WorkerUpdated(name) => {
                    let old = self.worker(state, name, now);
                    replies.extend(old.map(|ticket| (ticket, announce_first())));
                }
                Event::WorkerRemoved(name) => {
                    self.planner.remove_worker(name);
                    let old = self.grants.gone(name);
                    replies.extend(old.map(|ticket| (ticket, announce_first())));
                }
                Event::NotesChanged => {
                    let book = state.book();
                    self.planner.configure(book.settings(), book.teams());
                }
                Event::OrdersQueued(name) => {
                    self.grants.order(name);
                }
            }
        }
        commands
    }

    fn ended(&self, job: id::Job, ending: Ending, now: Time) -> Exit {
        let begun = self.started.get(&job).copied().unwrap_or(now);
        match ending {
            Ending::Done => Exit::Done(now.since(begun)),
            Ending::Failed => Exit::Failed(now.since(begun)),
            Ending::Stopped | Ending::Checkpointed | Ending::NeverBegan => Exit::Stopped,
        }
    }

    fn worker(&mut self, state: &State, name: &id::Worker, now: Time) -> Option<Ticket> {
        let worker = state.ledger().get(name)?;
        self.planner.put_worker(name, worker);
        self.grants.put(state, name, now)
    }

    /// Holds a call until its request is answered; false if it can't be held.
    pub(crate) fn wait(&mut self, key: id::Key, ticket: Ticket, until: Time) -> bool {
        self.holds.add(key, ticket, until)
    }

    /// Whether any call waits for this key's answer.
    pub(crate) fn awaits(&self, key: &id::Key) -> bool {
        self.holds.contains(key)
    }

    /// Holds a call no more, as it is answered; false if it wasn't held.
    pub(crate) fn drop_waiter(&mut self, ticket: Ticket) -> bool {
        self.holds.remove(ticket)
    }

    /// The calls that have been held as long as they may.
    pub(crate) fn expired(&mut self, now: Time) -> Vec<Ticket> {
        self.holds.expired(now)
    }

    /// Holds a renewal until there are orders; gives the one that it replaces.
    pub(crate) fn renew(
        &mut self,
        renew: Renew,
        ticket: Ticket,
        now: Time,
        mark: u64,
    ) -> Option<Ticket> {
        self.grants.renew(renew, ticket, now, mark)
    }

    /// Answers the renewals for which there are orders or whose time is up.
    pub(crate) fn leases(
        &mut self,
        state: &State,
        now: Time,
        confirmed: u64,
    ) -> Vec<(Ticket, Reply)> {
        self.grants.leases(state, now, confirmed)
    }

    /// What the time asks for: commands for workers whose leases have ended,
    /// jobs whose deadlines have passed and records that are too old.
    pub(crate) fn tick(&mut self, state: &State, now: Time, wall: Wall) -> Vec<Command> {
        let mut commands = self.grants.tick(state, now);
        commands.extend(self.try_again(state, (now, wall)));
        commands.extend(self.late(state, wall));
        if self.expiring.is_none_or(|before| state.horizon() >= before) {
            let expiry = expiry(state, wall);
            self.expiring = expiry;
            commands.extend(expiry.map(|before| Command::Expire { before }));
        }
        commands
    }

    /// Takes in the jobs that have paused for long enough.
    fn try_again(&mut self, state: &State, clock: (Time, Wall)) -> Vec<Command> {
        let mut commands = Vec::new();
        while let Some(&(due, id)) = self.backoffs.first() {
            if due > clock.0 {
                break;
            }
            self.backoffs.pop_first();
            let job = state.job(id).filter(|job| job.phase == Phase::Waiting);
            if let Some(job) = job {
                commands.extend(self.take_in(id, job, clock));
            }
        }
        commands
    }

    /// Gives up the waiting jobs whose deadlines have passed.
    fn late(&mut self, state: &State, wall: Wall) -> Vec<Command> {
        let mut commands = Vec::new();
        let mut held_up = Vec::new();
        while let Some(&(deadline, id)) = self.deadlines.first() {
            if deadline > wall {
                break;
            }
            self.deadlines.pop_first();
            if self.proposed.contains(&id) {
                held_up.push((deadline, id));
            } else if state.job(id).is_some_and(|job| job.phase == Phase::Waiting) {
                let reason = Reason::Deadline;
                commands.push(Command::Close { job: id, reason });
            }
        }
        self.deadlines.extend(held_up);
        commands
    }

    /// Decides what can start now.
    pub(crate) fn plan(&mut self, state: &State, now: Time) -> Vec<Command> {
        let decisions = self.planner.plan(now, DECISIONS);
        let mut commands = Vec::new();
        for decision in decisions {
            match decision {
                Decision::Start { job, workers } => {
                    let Some(command) = start(state, job, workers) else {
                        self.planner.revert_start(job);
                        if state.job(job).is_none() {
                            self.planner.withdraw(job);
                        }
                        continue;
                    };
                    self.proposed.insert(job);
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

    /// Why a job waits, in one sentence.
    pub(crate) fn explain(&self, job: id::Job, now: Time) -> Option<String> {
        let paused = self.backoffs.iter().find(|(_, other)| *other == job);
        let Some((due, _)) = paused else {
            return self.planner.explain(job, now);
        };
        let span = due.since(now);
        Some(format!("failed, and is tried again in {span}"))
    }

    /// All calls that are held, as the node leads no more.
    pub(crate) fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.holds.tickets().chain(self.grants.tickets())
    }
}

fn start(state: &State, id: id::Job, names: Vec<id::Worker>) -> Option<Command> {
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

/// The time before which records are to be forgotten now.
fn expiry(state: &State, wall: Wall) -> Option<Wall> {
    let before = Wall::from_millis(wall.since(Wall::default()).less(RETENTION).into());
    let oldest = state.oldest_key()?.issued();
    if oldest < before && before.since(state.horizon()) >= EXPIRY_STEP {
        return Some(before);
    }
    if state.records_size() <= RECORDS_LIMIT {
        return None;
    }
    let mut excess = state.records_size().saturating_sub(RECORDS_TARGET);
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

fn view(id: id::Job, job: &Job, clock: (Time, Wall)) -> place::Job {
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
