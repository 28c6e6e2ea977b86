//! The leader's side of the workers' lease protocol: it answers renewals with
//! orders and removes workers whose leases have expired.

use indexmap::{IndexMap, IndexSet};

use crate::api::{Lease, Order, Refusal, Renew, Reply};
use crate::cell::node::Ticket;
use crate::cell::{Command, Phase, State};
use crate::id;
use crate::lease::{Fingerprint, Grantor, Timing};
use crate::unit::{Span, Time};
use crate::verdict::Reason;

/// A renewal waits for orders for at most the lease's duration divided by this. The
/// lease counts from when the renewal was sent, so most of it must be left when
/// the answer arrives.
const RENEWAL_WAIT_DIVISOR: u64 = 4;

/// A worker's renewal that hasn't been answered.
#[derive(Debug, Clone)]
struct PendingRenewal {
    ticket: Ticket,
    /// When it is answered even without orders.
    deadline: Time,
    renew: Renew,
    /// The sequence number of the last consensus message sent before the
    /// renewal arrived.
    seq: u64,
    /// Whether it gives only a fingerprint, which isn't that of the tokens that
    /// this leader knows, so that the worker must list its tokens again.
    resend: bool,
}

/// The leases that a leader has granted, and the renewals that it has to
/// answer.
#[derive(Debug, Clone)]
pub(crate) struct Leases {
    grantor: Grantor,
    /// For each task, the last attempt whose start order this or an earlier
    /// leader may have sent.
    sent_attempts: IndexMap<id::Task, id::Attempt>,
    /// At most one unanswered renewal for each worker.
    renewals: IndexMap<id::Worker, PendingRenewal>,
    /// The tokens that each worker last listed, with their fingerprint.
    last_tokens: IndexMap<id::Worker, (Fingerprint, Vec<id::Token>)>,
    /// A lower bound of the renewals' deadlines.
    next_deadline: Time,
    /// Workers whose renewals may be due for an answer.
    ready: IndexSet<id::Worker>,
    /// Workers whose removal is proposed. They get no lease and no orders: the
    /// proposal lists the tasks whose start orders were never sent, and those
    /// count as never begun.
    being_removed: IndexMap<id::Worker, id::Incarnation>,
}

impl Leases {
    /// Creates the leases of a new leader. It assumes that an earlier leader
    /// has just granted every worker a lease and sent all orders.
    pub(crate) fn new(state: &State, timing: Timing, now: Time) -> Self {
        let mut leases = Self {
            grantor: Grantor::new(timing),
            sent_attempts: IndexMap::new(),
            renewals: IndexMap::new(),
            last_tokens: IndexMap::new(),
            next_deadline: Time::from_millis(u64::MAX),
            ready: IndexSet::new(),
            being_removed: IndexMap::new(),
        };
        for (name, _) in state.ledger().iter() {
            leases.grantor.grant(name, now);
            for token in state.reserved_tokens(name) {
                leases.sent_attempts.insert(token.task, token.attempt);
            }
        }
        leases
    }

    /// Keeps a renewal until there are orders or its wait ends. Returns the
    /// ticket of an older renewal of the same worker, which it replaces.
    pub(crate) fn renew(
        &mut self,
        mut renew: Renew,
        ticket: Ticket,
        now: Time,
        seq: u64,
    ) -> Option<Ticket> {
        let longest = self.grantor.duration().as_millis() / RENEWAL_WAIT_DIVISOR;
        let deadline = now.after(renew.hold.min(Span::from_millis(longest)));
        self.next_deadline = self.next_deadline.min(deadline);
        let name = renew.worker.clone();
        self.ready.insert(name.clone());
        let resend = !self.fill_tokens(&mut renew);
        let pending = PendingRenewal {
            ticket,
            deadline: if resend { now } else { deadline },
            renew,
            seq,
            resend,
        };
        let replaced = self.renewals.insert(name, pending);
        replaced.map(|pending| pending.ticket)
    }

    /// Fills in the tokens of a renewal that gives only their fingerprint; false
    /// if it isn't the fingerprint of the tokens listed last.
    fn fill_tokens(&mut self, renew: &mut Renew) -> bool {
        let Some(unchanged) = renew.unchanged else {
            renew.running.sort_unstable();
            let last_tokens = (Fingerprint::of(&renew.running), renew.running.clone());
            self.last_tokens.insert(renew.worker.clone(), last_tokens);
            return true;
        };
        match self.last_tokens.get(&renew.worker) {
            Some((fingerprint, tokens)) if *fingerprint == unchanged => {
                renew.running = tokens.clone();
                true
            }
            Some(_) | None => false,
        }
    }

    /// Grants a lease to a worker that has been registered or changed. Returns
    /// the ticket of a renewal by an earlier incarnation.
    pub(crate) fn update_worker(
        &mut self,
        state: &State,
        name: &id::Worker,
        now: Time,
    ) -> Option<Ticket> {
        let incarnation = state.ledger().get(name)?.incarnation;
        self.grantor.grant(name, now);
        if self
            .being_removed
            .get(name)
            .is_some_and(|removed| *removed != incarnation)
        {
            self.being_removed.swap_remove(name);
        }
        let pending = self.renewals.get(name)?;
        if pending.renew.incarnation == incarnation {
            return None;
        }
        let pending = self.renewals.swap_remove(name);
        pending.map(|pending| pending.ticket)
    }

    /// Forgets a worker that was removed; returns the ticket of its renewal.
    pub(crate) fn remove_worker(&mut self, name: &id::Worker) -> Option<Ticket> {
        self.grantor.remove(name);
        self.being_removed.swap_remove(name);
        self.ready.swap_remove(name);
        self.last_tokens.swap_remove(name);
        let pending = self.renewals.swap_remove(name);
        pending.map(|pending| pending.ticket)
    }

    /// Schedules an answer to the worker's renewal, as there are orders for it.
    pub(crate) fn queue_answer(&mut self, name: &id::Worker) {
        self.ready.insert(name.clone());
    }

    /// Forgets the start order of a task that has ended.
    pub(crate) fn forget_task(&mut self, task: id::Task) {
        self.sent_attempts.swap_remove(&task);
    }

    /// Answers the renewals for which there are orders or whose wait has ended.
    ///
    /// A renewal is answered only after a quorum has acknowledged a message
    /// that was sent after the renewal came. Until then this leader can't tell
    /// that it still led at that time, as its own clock may have stood still.
    pub(crate) fn answer_renewals(
        &mut self,
        state: &State,
        now: Time,
        quorum_seq: u64,
    ) -> Vec<(Ticket, Reply)> {
        let mut replies = Vec::new();
        for name in std::mem::take(&mut self.ready) {
            let Some(pending) = self.renewals.get(&name) else {
                continue;
            };
            if self.being_removed.contains_key(&name) {
                continue;
            }
            if quorum_seq <= pending.seq {
                self.ready.insert(name);
                continue;
            }
            let known = state.ledger().get(&name).map(|worker| worker.incarnation);
            if known != Some(pending.renew.incarnation) {
                replies.push((pending.ticket, announce_required()));
                self.renewals.swap_remove(&name);
                continue;
            }
            let resend = pending.resend;
            let orders = match resend {
                true => Vec::new(),
                false => pending_orders(state, &pending.renew),
            };
            if orders.is_empty() && now < pending.deadline {
                continue;
            }
            replies.push((pending.ticket, self.build_lease(&name, orders, resend, now)));
            self.renewals.swap_remove(&name);
        }
        replies
    }

    fn build_lease(
        &mut self,
        name: &id::Worker,
        orders: Vec<Order>,
        resend: bool,
        now: Time,
    ) -> Reply {
        for order in &orders {
            if let Order::Start { token, .. } = order {
                self.sent_attempts.insert(token.task, token.attempt);
            }
        }
        self.grantor.grant(name, now);
        let span = self.grantor.duration();
        Reply::Lease(Lease {
            span,
            orders,
            resend,
        })
    }

    /// Schedules the answers that are due; returns commands to remove the
    /// workers whose leases have expired.
    pub(crate) fn tick(&mut self, state: &State, now: Time) -> Vec<Command> {
        self.queue_due_renewals(now);
        let expired = self.grantor.expired(now);
        let mut commands = Vec::new();
        for name in expired {
            if self.being_removed.contains_key(&name) {
                continue;
            }
            let Some(worker) = state.ledger().get(&name) else {
                self.grantor.remove(&name);
                continue;
            };
            let incarnation = worker.incarnation;
            let unsent = state
                .reserved_tokens(&name)
                .filter(|token| !self.may_have_been_sent(token));
            commands.push(Command::RemoveWorker {
                worker: name.clone(),
                incarnation,
                unsent: unsent.collect(),
            });
            self.being_removed.insert(name, incarnation);
        }
        commands
    }

    fn queue_due_renewals(&mut self, now: Time) {
        if now < self.next_deadline {
            return;
        }
        self.next_deadline = Time::from_millis(u64::MAX);
        for (name, pending) in &self.renewals {
            if now >= pending.deadline {
                self.ready.insert(name.clone());
            } else {
                self.next_deadline = self.next_deadline.min(pending.deadline);
            }
        }
    }

    fn may_have_been_sent(&self, token: &id::Token) -> bool {
        self.sent_attempts.get(&token.task) == Some(&token.attempt)
    }

    /// The tickets of all unanswered renewals.
    pub(crate) fn pending_tickets(&self) -> impl Iterator<Item = Ticket> {
        self.renewals.values().map(|pending| pending.ticket)
    }
}

/// The reply to a worker that isn't registered with this incarnation.
pub(crate) fn announce_required() -> Reply {
    Reply::Refused(Refusal::not_run(Reason::WorkerLost, "announce first"))
}

/// The orders for a worker: stop what should end, start what it doesn't run
/// yet, and stop runs for which no room is reserved.
fn pending_orders(state: &State, renew: &Renew) -> Vec<Order> {
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
    let unknown_runs = renew
        .running
        .iter()
        .filter(|token| !state.is_reserved(token));
    orders.extend(unknown_runs.map(|&token| Order::Stop { token }));
    orders
}
