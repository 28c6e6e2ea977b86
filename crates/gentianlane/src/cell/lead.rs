//! What a leader knows beyond the log, for as long as it leads.

use indexmap::{IndexMap, IndexSet};

use crate::api::{Answer, Ending, Lease, Order, Renew};
use crate::cell::node::Ticket;
use crate::cell::{Command, Event, Job, Phase, State};
use crate::id;
use crate::lease::Grantor;
use crate::place::{Decision, Ended, Planner};
use crate::unit::{Span, Time, Wall};
use crate::verdict::Reason;
use crate::{lease, place};

/// How many decisions one step makes.
const DECISIONS: usize = 256;

/// How long a request's record is kept after its key was issued.
const RETENTION: Span = Span::from_secs(24 * 3_600);

/// The least that the horizon moves in one step.
const EXPIRY_STEP: Span = Span::from_secs(600);

/// A call that waits for something other than the log.
#[derive(Debug, Clone)]
pub(crate) struct Parked<T> {
    pub(crate) ticket: Ticket,
    pub(crate) until: Time,
    pub(crate) what: T,
}

/// What a leader knows beyond the log.
#[derive(Debug, Clone)]
pub(crate) struct Lead {
    planner: Planner,
    grantor: Grantor,
    /// The tokens whose start order may have left this or an earlier leader.
    sent: IndexSet<id::Token>,
    /// When a job that runs was last started, for its run time.
    started: IndexMap<id::Job, Time>,
    waiters: IndexMap<id::Key, Vec<Parked<()>>>,
    renewals: IndexMap<id::Worker, Parked<Renew>>,
    /// Workers with orders to send.
    orders: IndexSet<id::Worker>,
    /// Starts that were proposed and not yet applied.
    proposed: IndexSet<id::Job>,
}

impl Lead {
    /// Begins to lead with the state as it is: every worker may hold a lease
    /// that an earlier leader granted just now.
    pub(crate) fn new(
        state: &State,
        setup: &place::Setup,
        term: lease::Term,
        clock: (Time, Wall),
    ) -> Self {
        let (now, _) = clock;
        let mut lead = Self {
            planner: Planner::new(setup),
            grantor: Grantor::new(term),
            sent: IndexSet::new(),
            started: IndexMap::new(),
            waiters: IndexMap::new(),
            renewals: IndexMap::new(),
            orders: IndexSet::new(),
            proposed: IndexSet::new(),
        };
        let book = state.book();
        lead.planner.configure(book.settings(), book.teams());
        for (name, worker) in state.ledger().iter() {
            lead.planner.put_worker(name, worker);
            lead.grantor.grant(name, now);
            lead.sent.extend(state.tokens(name));
        }
        for (id, job) in state.jobs() {
            lead.take_in(id, job, clock);
        }
        lead
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
        self.planner.resume(view, &workers);
        Vec::new()
    }

    /// Follows up what a command has changed; gives what to propose next.
    pub(crate) fn follow_up(
        &mut self,
        state: &State,
        events: &[Event],
        clock: (Time, Wall),
        answers: &mut Vec<(Ticket, Answer)>,
    ) -> Vec<Command> {
        let (now, _) = clock;
        let mut commands = Vec::new();
        for event in events {
            match event {
                Event::Waiting(id) => {
                    if let Some(job) = state.job(*id) {
                        commands.extend(self.take_in(*id, job, clock));
                    }
                }
                Event::Started(id) => {
                    self.proposed.swap_remove(id);
                    self.started.insert(*id, now);
                    self.planner.started(*id, now);
                }
                Event::NotStarted(id) => {
                    self.proposed.swap_remove(id);
                    self.planner.refused(*id);
                    if state.job(*id).is_none() {
                        self.planner.withdraw(*id);
                    }
                }
                Event::Released(task, ending) => {
                    let ended = self.ended(task.job, *ending, now);
                    self.planner.released(*task, ended, now);
                }
                Event::Over(id) => {
                    self.planner.withdraw(*id);
                    self.started.swap_remove(id);
                }
                Event::Answered(answer) => self.answered(answer, answers),
                Event::Worker(name) => self.worker(state, name, now),
                Event::Gone(name) => {
                    self.planner.drop_worker(name);
                    self.grantor.forget(name);
                    self.renewals.swap_remove(name);
                }
                Event::Configured => {
                    let book = state.book();
                    self.planner.configure(book.settings(), book.teams());
                }
                Event::Orders(name) => {
                    self.orders.insert(name.clone());
                }
            }
        }
        commands
    }

    fn ended(&self, job: id::Job, ending: Ending, now: Time) -> Ended {
        let begun = self.started.get(&job).copied().unwrap_or(now);
        match ending {
            Ending::Done => Ended::Done(now.since(begun)),
            Ending::Failed => Ended::Failed(now.since(begun)),
            Ending::Stopped | Ending::Checkpointed | Ending::NeverBegan => Ended::Stopped,
        }
    }

    fn worker(&mut self, state: &State, name: &id::Worker, now: Time) {
        if let Some(worker) = state.ledger().get(name) {
            self.planner.put_worker(name, worker);
            self.grantor.grant(name, now);
        }
    }

    fn answered(&mut self, answer: &Answer, answers: &mut Vec<(Ticket, Answer)>) {
        let waiters = self.waiters.swap_remove(&answer.key).unwrap_or_default();
        for waiter in waiters {
            answers.push((waiter.ticket, answer.clone()));
        }
    }

    /// Holds a call until its request is answered.
    pub(crate) fn wait(&mut self, key: id::Key, ticket: Ticket, until: Time) {
        let waiter = Parked {
            ticket,
            until,
            what: (),
        };
        self.waiters.entry(key).or_default().push(waiter);
    }

    /// Holds a call no more, as it is answered.
    pub(crate) fn drop_waiter(&mut self, ticket: Ticket) {
        for waiters in self.waiters.values_mut() {
            waiters.retain(|waiter| waiter.ticket != ticket);
        }
    }

    /// Holds a renewal until there are orders; gives the one that it replaces.
    pub(crate) fn renew(
        &mut self,
        renew: Renew,
        ticket: Ticket,
        until: Time,
    ) -> Option<Ticket> {
        let name = renew.worker.clone();
        self.orders.insert(name.clone());
        let parked = Parked {
            ticket,
            until,
            what: renew,
        };
        let old = self.renewals.insert(name, parked);
        old.map(|parked| parked.ticket)
    }

    /// Answers the renewals for which there are orders or whose time is up.
    pub(crate) fn leases(&mut self, state: &State, now: Time) -> Vec<(Ticket, Lease)> {
        let mut leases = Vec::new();
        for name in std::mem::take(&mut self.orders) {
            let Some(parked) = self.renewals.get(&name) else {
                continue;
            };
            let orders = orders(state, &parked.what);
            if orders.is_empty() && now < parked.until {
                continue;
            }
            let ticket = parked.ticket;
            self.renewals.swap_remove(&name);
            for order in &orders {
                if let Order::Start { token, .. } = order {
                    self.sent.insert(*token);
                }
            }
            self.grantor.grant(&name, now);
            leases.push((
                ticket,
                Lease {
                    span: self.grantor.span(),
                    orders,
                },
            ));
        }
        leases
    }

    /// What the time asks for: calls whose time is up, and commands for
    /// workers whose leases have ended and jobs whose deadlines have passed.
    pub(crate) fn tick(&mut self, state: &State, now: Time, wall: Wall) -> Tick {
        let mut tick = Tick::default();
        for waiters in self.waiters.values_mut() {
            let (up, rest) = waiters.drain(..).partition(|waiter| now >= waiter.until);
            *waiters = rest;
            tick.expired
                .extend(up.into_iter().map(|waiter: Parked<()>| waiter.ticket));
        }
        self.waiters.retain(|_, waiters| !waiters.is_empty());
        for (name, parked) in &self.renewals {
            if now >= parked.until {
                self.orders.insert(name.clone());
            }
        }
        for name in self.grantor.ended(now) {
            tick.commands.extend(self.lost(state, name));
        }
        for (id, job) in state.jobs() {
            let late = job.deadline.is_some_and(|deadline| wall >= deadline);
            if late && job.phase == Phase::Waiting && !self.proposed.contains(&id) {
                tick.commands.push(Command::Close {
                    job: id,
                    reason: Reason::Deadline,
                });
            }
        }
        tick.commands.extend(expiry(state, wall));
        self.sent.retain(|token| state.holds(token));
        tick
    }

    fn lost(&self, state: &State, name: &id::Worker) -> Option<Command> {
        let incarnation = state.ledger().get(name)?.incarnation;
        let unsent = state
            .tokens(name)
            .filter(|token| !self.sent.contains(token));
        let unsent = unsent.collect();
        Some(Command::Lost {
            worker: name.clone(),
            incarnation,
            unsent,
        })
    }

    /// Decides what can start now.
    pub(crate) fn plan(&mut self, state: &State, now: Time) -> Vec<Command> {
        let decisions = self.planner.plan(now, DECISIONS);
        let mut commands = Vec::new();
        for decision in decisions {
            match decision {
                Decision::Start { job, workers } => {
                    let Some(command) = start(state, job, workers) else {
                        self.planner.refused(job);
                        self.planner.withdraw(job);
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
        self.planner.explain(job, now)
    }

    /// All calls that are held, as the node leads no more.
    pub(crate) fn tickets(self) -> Vec<Ticket> {
        let waiters = self
            .waiters
            .into_values()
            .flatten()
            .map(|parked| parked.ticket);
        let renewals = self.renewals.into_values().map(|parked| parked.ticket);
        waiters.chain(renewals).collect()
    }
}

/// What the time asks for.
#[derive(Debug, Default)]
pub(crate) struct Tick {
    /// Calls that have been held as long as they may.
    pub(crate) expired: Vec<Ticket>,
    /// What to propose.
    pub(crate) commands: Vec<Command>,
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

/// What a worker has to be told, given what it says that it runs.
fn orders(state: &State, renew: &Renew) -> Vec<Order> {
    let mut orders = Vec::new();
    for token in state.tokens(&renew.worker) {
        let Some(job) = state.job(token.task.job) else {
            continue;
        };
        if let Phase::Stopping(_) = job.phase {
            orders.push(Order::Stop { token });
        } else if !renew.running.contains(&token) {
            orders.push(Order::Start {
                token,
                workload: job.spec.workload.clone(),
                payload: job.spec.payload.clone(),
                size: job.spec.size,
                count: job.spec.count,
            });
        }
    }
    let strays = renew.running.iter().filter(|token| !state.holds(token));
    orders.extend(strays.map(|&token| Order::Stop { token }));
    orders
}

fn expiry(state: &State, wall: Wall) -> Option<Command> {
    let before = Wall::from_millis(wall.since(Wall::default()).less(RETENTION).into());
    let oldest = state.oldest_key()?.issued();
    let due = oldest < before && before.since(state.horizon()) >= EXPIRY_STEP;
    due.then_some(Command::Expire { before })
}

fn view(id: id::Job, job: &Job, clock: (Time, Wall)) -> place::Job {
    let (now, wall) = clock;
    place::Job {
        job: id,
        team: job.spec.team.clone(),
        workload: job.spec.workload.clone(),
        kind: job.spec.kind,
        size: job.spec.size,
        count: job.spec.count,
        urgent: job.spec.urgent,
        idempotent: job.spec.idempotent,
        since: now,
        deadline: job.deadline.map(|deadline| now.after(deadline.since(wall))),
        expected: job.spec.expected,
    }
}
