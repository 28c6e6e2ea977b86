//! The leader's side of the lease protocol: renewals, orders and lost workers.

use indexmap::{IndexMap, IndexSet};

use crate::api::{Lease, Order, Refusal, Renew, Reply};
use crate::cell::node::Ticket;
use crate::cell::{Command, Phase, State};
use crate::id;
use crate::lease::{Grantor, Mark, Term};
use crate::unit::{Span, Time};
use crate::verdict::Reason;

/// A renewal is held for at most the lease's span divided by this, so that the
/// lease that answers it has most of its time left.
const HOLD_DIVISOR: u64 = 4;

/// A renewal that waits for orders.
#[derive(Debug, Clone)]
struct Parked {
    ticket: Ticket,
    until: Time,
    renew: Renew,
    /// The newest message to other nodes when it came.
    mark: u64,
    /// Whether its tokens aren't known here.
    resend: bool,
}

/// What one leader has granted to workers and has to tell them.
#[derive(Debug, Clone)]
pub(crate) struct Grants {
    grantor: Grantor,
    /// The newest attempt of each task whose start order may have left this
    /// or an earlier leader.
    sent: IndexMap<id::Task, id::Attempt>,
    renewals: IndexMap<id::Worker, Parked>,
    /// The tokens that each worker listed last, and their mark.
    listed: IndexMap<id::Worker, (Mark, Vec<id::Token>)>,
    /// No renewal's time is up before this.
    due: Time,
    /// Workers with orders to send.
    orders: IndexSet<id::Worker>,
    /// Workers that the log is about to take out; they get no lease, as what
    /// was never sent to them counts as never begun.
    losing: IndexMap<id::Worker, id::Incarnation>,
}

impl Grants {
    /// Every worker may hold a lease that an earlier leader granted just now,
    /// and may have got every order.
    pub(crate) fn new(state: &State, term: Term, now: Time) -> Self {
        let mut grants = Self {
            grantor: Grantor::new(term),
            sent: IndexMap::new(),
            renewals: IndexMap::new(),
            listed: IndexMap::new(),
            due: Time::from_millis(u64::MAX),
            orders: IndexSet::new(),
            losing: IndexMap::new(),
        };
        for (name, _) in state.ledger().iter() {
            grants.grantor.grant(name, now);
            for token in state.reserved_tokens(name) {
                grants.sent.insert(token.task, token.attempt);
            }
        }
        grants
    }

    /// Holds a renewal until there are orders; gives the one that it replaces.
    pub(crate) fn renew(
        &mut self,
        mut renew: Renew,
        ticket: Ticket,
        now: Time,
        mark: u64,
    ) -> Option<Ticket> {
        let longest = self.grantor.span().as_millis() / HOLD_DIVISOR;
        let until = now.after(renew.hold.min(Span::from_millis(longest)));
        self.due = self.due.min(until);
        let name = renew.worker.clone();
        self.orders.insert(name.clone());
        let resend = !self.list(&mut renew);
        let parked = Parked {
            ticket,
            until: if resend { now } else { until },
            renew,
            mark,
            resend,
        };
        let old = self.renewals.insert(name, parked);
        old.map(|parked| parked.ticket)
    }

    /// Fills in the tokens of a renewal that leaves them out; false if they
    /// aren't known here.
    fn list(&mut self, renew: &mut Renew) -> bool {
        let Some(unchanged) = renew.unchanged else {
            renew.running.sort_unstable();
            let listed = (Mark::of(&renew.running), renew.running.clone());
            self.listed.insert(renew.worker.clone(), listed);
            return true;
        };
        match self.listed.get(&renew.worker) {
            Some((mark, tokens)) if *mark == unchanged => {
                renew.running = tokens.clone();
                true
            }
            Some(_) | None => false,
        }
    }

    /// A worker has come or changed; gives a renewal of an earlier life.
    pub(crate) fn put(
        &mut self,
        state: &State,
        name: &id::Worker,
        now: Time,
    ) -> Option<Ticket> {
        let incarnation = state.ledger().get(name)?.incarnation;
        self.grantor.grant(name, now);
        if self
            .losing
            .get(name)
            .is_some_and(|life| *life != incarnation)
        {
            self.losing.swap_remove(name);
        }
        let parked = self.renewals.get(name)?;
        if parked.renew.incarnation == incarnation {
            return None;
        }
        let parked = self.renewals.swap_remove(name);
        parked.map(|parked| parked.ticket)
    }

    /// A worker is gone; gives its renewal.
    pub(crate) fn gone(&mut self, name: &id::Worker) -> Option<Ticket> {
        self.grantor.forget(name);
        self.losing.swap_remove(name);
        self.orders.swap_remove(name);
        self.listed.swap_remove(name);
        let parked = self.renewals.swap_remove(name);
        parked.map(|parked| parked.ticket)
    }

    /// A worker has orders waiting.
    pub(crate) fn order(&mut self, name: &id::Worker) {
        self.orders.insert(name.clone());
    }

    /// A task is gone, and no order for it matters any more.
    pub(crate) fn released(&mut self, task: id::Task) {
        self.sent.swap_remove(&task);
    }

    /// Answers the renewals for which there are orders or whose time is up.
    ///
    /// A renewal is answered only once a majority has confirmed a message that
    /// was sent after it came: until then this leader can't tell that it still
    /// led when the renewal was sent, as its own clock may have stood still.
    pub(crate) fn leases(
        &mut self,
        state: &State,
        now: Time,
        confirmed: u64,
    ) -> Vec<(Ticket, Reply)> {
        let mut replies = Vec::new();
        for name in std::mem::take(&mut self.orders) {
            let Some(parked) = self.renewals.get(&name) else {
                continue;
            };
            if self.losing.contains_key(&name) {
                continue;
            }
            if confirmed <= parked.mark {
                self.orders.insert(name);
                continue;
            }
            let known = state.ledger().get(&name).map(|worker| worker.incarnation);
            if known != Some(parked.renew.incarnation) {
                replies.push((parked.ticket, announce_first()));
                self.renewals.swap_remove(&name);
                continue;
            }
            let resend = parked.resend;
            let orders = match resend {
                true => Vec::new(),
                false => orders(state, &parked.renew),
            };
            if orders.is_empty() && now < parked.until {
                continue;
            }
            replies.push((parked.ticket, self.lease(&name, orders, resend, now)));
            self.renewals.swap_remove(&name);
        }
        replies
    }

    fn lease(
        &mut self,
        name: &id::Worker,
        orders: Vec<Order>,
        resend: bool,
        now: Time,
    ) -> Reply {
        for order in &orders {
            if let Order::Start { token, .. } = order {
                self.sent.insert(token.task, token.attempt);
            }
        }
        self.grantor.grant(name, now);
        let span = self.grantor.span();
        Reply::Lease(Lease {
            span,
            orders,
            resend,
        })
    }

    /// What the time asks for: answers that are due, and lost workers.
    pub(crate) fn tick(&mut self, state: &State, now: Time) -> Vec<Command> {
        self.look_for_due(now);
        let ended = self.grantor.ended(now);
        let mut commands = Vec::new();
        for name in ended {
            if self.losing.contains_key(&name) {
                continue;
            }
            let Some(worker) = state.ledger().get(&name) else {
                self.grantor.forget(&name);
                continue;
            };
            let incarnation = worker.incarnation;
            let unsent = state
                .reserved_tokens(&name)
                .filter(|token| !self.is_sent(token));
            commands.push(Command::RemoveWorker {
                worker: name.clone(),
                incarnation,
                unsent: unsent.collect(),
            });
            self.losing.insert(name, incarnation);
        }
        commands
    }

    fn look_for_due(&mut self, now: Time) {
        if now < self.due {
            return;
        }
        self.due = Time::from_millis(u64::MAX);
        for (name, parked) in &self.renewals {
            if now >= parked.until {
                self.orders.insert(name.clone());
            } else {
                self.due = self.due.min(parked.until);
            }
        }
    }

    fn is_sent(&self, token: &id::Token) -> bool {
        self.sent.get(&token.task) == Some(&token.attempt)
    }

    /// All renewals that are held.
    pub(crate) fn tickets(&self) -> impl Iterator<Item = Ticket> {
        self.renewals.values().map(|parked| parked.ticket)
    }
}

/// What a worker is told that the cell doesn't know in this life.
pub(crate) fn announce_first() -> Reply {
    Reply::Refused(Refusal::not_run(Reason::WorkerLost, "announce first"))
}

/// What a worker has to be told, given what it says that it runs.
fn orders(state: &State, renew: &Renew) -> Vec<Order> {
    let mut orders = Vec::new();
    for token in state.reserved_tokens(&renew.worker) {
        let Some(job) = state.job(token.task.job) else {
            continue;
        };
        if let Phase::Stopping(_) = job.phase {
            orders.push(Order::Stop { token });
        } else if renew.running.binary_search(&token).is_err() {
            orders.push(Order::Start {
                token,
                workload: job.spec.workload.clone(),
                payload: job.spec.payload.clone(),
                size: job.spec.size,
                count: job.spec.count,
                trace: job.spec.trace.clone(),
            });
        }
    }
    let strays = renew
        .running
        .iter()
        .filter(|token| !state.is_reserved(token));
    orders.extend(strays.map(|&token| Order::Stop { token }));
    orders
}
