//! A node of a fleet: the consensus protocol, the replicated state and, while
//! the node leads, the dispatch of tasks.

mod calls;

use crate::collections::IndexMap;

pub use crate::cell::Ticket;
use crate::consensus::{self, Entry, Index, Message, Payload, Role};
use crate::fleet::call::Reply;
use crate::fleet::decision::Decision;
use crate::fleet::dispatch::{self, Dispatcher, Effects, Relay};
use crate::fleet::order::{AdviceRequest, AdviceResponse, Answer, CallId, Order};
use crate::fleet::retention::Retention;
use crate::fleet::{Command, Event, State};
use crate::id;
use crate::unit::{Span, Time, Wall};

/// After how many bytes of applied commands the log is compacted into a
/// snapshot.
const SNAPSHOT_BYTES: usize = 4 << 20;

/// The most orders that may wait to be sent when new ones are made. It is a
/// fraction of what is sent within a leader lease.
const ORDER_BACKLOG_LIMIT: usize = 32;

/// The most rounds of dispatch and consensus in one flush.
const MAX_FLUSH_ROUNDS: usize = 8;

/// How long a finished job is kept, several times as long as callers are
/// promised.
const FINISHED_JOB_RETENTION: Span = Span::from_secs(600);

/// A node's configuration.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The configuration of the consensus protocol.
    pub consensus: consensus::Setup,
    /// The configuration of the dispatch.
    pub dispatch: dispatch::Setup,
}

/// An effect that the caller has to carry out, in the order given.
#[derive(Debug, Clone)]
pub enum Output {
    /// Store the ballot and sync it to disk before carrying out what follows.
    Save(consensus::Ballot),
    /// Replace all stored entries from the first one's index on by these, and
    /// sync them to disk before carrying out what follows.
    Store(Vec<Entry>),
    /// Store the snapshot and sync it to disk; after that the entries that it
    /// covers may be deleted.
    Snapshot(consensus::Snapshot),
    /// Send a message to another node.
    Send(id::Node, Message),
    /// Reply to a call. If the clock has passed the given time, the node may no
    /// longer lead, and the reply is [`Reply::Indeterminate`] instead.
    Reply(Ticket, Reply, Option<Time>),
    /// Send an order to a worker, unless the clock has passed the given time.
    Order(Order, Option<Time>),
    /// Send a request to the adviser through a relay.
    RequestAdvice(Relay, AdviceRequest),
    /// The node's role has changed.
    Role(Role),
    /// Write a decision to the process's log.
    Decision(Decision),
}

/// A node of a fleet.
///
/// It does no I/O: it takes calls, messages, answers and the time, and gives
/// [`Output`]s that the caller carries out.
#[derive(Debug, Clone)]
pub struct Node {
    consensus: consensus::Node,
    setup: Setup,
    state: State,
    dispatcher: Option<Dispatcher>,
    relays: Vec<Relay>,
    proposals: Vec<(Command, Option<Ticket>)>,
    pending_replies: IndexMap<Index, Ticket>,
    /// The size of the commands applied since the last snapshot, in bytes.
    unsaved_bytes: usize,
    /// Whether a snapshot or a log entry couldn't be decoded.
    corrupt: bool,
    /// When finished jobs are old enough to be removed, while this node leads.
    retention: Retention,
    /// The orders that wait at the caller to be sent.
    order_backlog: usize,
    outputs: Vec<Output>,
}

impl Node {
    /// Starts a node from its durable state.
    ///
    /// [`Node::is_corrupt`] tells whether its snapshot couldn't be decoded.
    #[must_use]
    pub fn new(setup: Setup, saved: consensus::DurableState, now: Time) -> Self {
        let state = match &saved.snapshot {
            Some(snapshot) => State::decode(&snapshot.data).ok(),
            None => Some(State::default()),
        };
        Self {
            consensus: consensus::Node::new(setup.consensus.clone(), saved, now),
            setup,
            corrupt: state.is_none(),
            state: state.unwrap_or_default(),
            dispatcher: None,
            relays: Vec::new(),
            proposals: Vec::new(),
            pending_replies: IndexMap::default(),
            unsaved_bytes: 0,
            retention: Retention::default(),
            order_backlog: 0,
            outputs: Vec::new(),
        }
    }

    /// Sets the node's attributes; see [`consensus::Node::with_attributes`].
    #[must_use]
    pub fn with_attributes(mut self, attributes: consensus::Attributes) -> Self {
        self.consensus = self.consensus.with_attributes(attributes);
        self
    }

    /// Marks the fleet as not new; see [`consensus::Node::in_existing_cell`].
    #[must_use]
    pub fn in_existing_cell(mut self) -> Self {
        self.consensus = self.consensus.in_existing_cell();
        self
    }

    /// Sets how many voters the fleet should have; see
    /// [`consensus::Node::with_target_voters`].
    #[must_use]
    pub fn with_target_voters(mut self, voters: usize) -> Self {
        self.consensus = self.consensus.with_target_voters(voters);
        self
    }

    /// Whether a snapshot or a log entry couldn't be decoded.
    ///
    /// A corrupt node handles no more messages, and its process should end.
    #[must_use]
    pub fn is_corrupt(&self) -> bool {
        self.corrupt
    }

    /// The consensus protocol's view of the node.
    #[must_use]
    pub fn consensus(&self) -> &consensus::Node {
        &self.consensus
    }

    /// The replicated state, as far as this node has applied the log.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// When [`Node::tick`] has to be called next.
    #[must_use]
    pub fn due(&self) -> Time {
        let dispatch_due = self.dispatcher.as_ref().map(Dispatcher::due);
        dispatch_due.map_or(self.consensus.due(), |due| due.min(self.consensus.due()))
    }

    /// Handles a consensus message from another node.
    pub fn receive(&mut self, from: id::Node, message: Message, now: Time) {
        if !self.corrupt {
            self.consensus.receive(from, message, now);
        }
    }

    /// Adds a relay, which can send advice requests for the leader.
    pub fn add_relay(&mut self, relay: Relay) {
        self.relays.push(relay);
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.add_relay(relay);
        }
    }

    /// Removes a relay whose connection is lost.
    pub fn remove_relay(&mut self, relay: Relay) {
        self.relays.retain(|&other| other != relay);
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.remove_relay(relay);
        }
    }

    /// Handles the adviser's response that came through a relay.
    pub fn handle_advice(&mut self, relay: Relay, response: AdviceResponse, now: Time) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.handle_advice(relay, response, now);
        }
    }

    /// Handles a worker's answer to an order.
    pub fn handle_answer(&mut self, id: CallId, answer: Answer, now: Time, wall: Wall) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.handle_answer(&self.state, id, answer, now, wall);
        }
    }

    /// Lets placement rest after a flush that began at `started`; see
    /// [`Dispatcher::rest_placement`].
    pub fn rest_placement(&mut self, started: Time, now: Time) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.rest_placement(started, now);
        }
    }

    /// Runs no placement pass before a time; see
    /// [`Dispatcher::postpone_placement`].
    pub fn postpone_placement(&mut self, until: Time, now: Time) {
        if let Some(dispatcher) = &mut self.dispatcher {
            dispatcher.postpone_placement(until, now);
        }
    }

    fn propose(&mut self, command: Command, ticket: Option<Ticket>) {
        self.proposals.push((command, ticket));
    }

    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        let lease_expiry = self.consensus.lease_expiry();
        self.outputs
            .push(Output::Reply(ticket, reply, lease_expiry));
    }

    /// Handles timeouts and proposes to remove old finished jobs.
    pub fn tick(&mut self, now: Time, wall: Wall) {
        if self.corrupt {
            return;
        }
        self.consensus.tick(now);
        if self.dispatcher.is_none() {
            return;
        }
        let expired = self.retention.observe(FINISHED_JOB_RETENTION, now, wall);
        if let Some(before) = expired {
            self.propose(Command::Expire { before }, None);
        }
    }

    /// Transfers leadership to another node, before this one stops.
    pub fn transfer_leadership(&mut self) {
        self.consensus.transfer_leadership();
    }

    /// Sets how many of this node's orders wait to be sent.
    ///
    /// While there are many, no new ones are made: they would only wait until the
    /// leader lease ends, and be made again. All else goes on.
    pub fn set_order_backlog(&mut self, orders: usize) {
        self.order_backlog = orders;
    }

    /// The memory that all jobs are reckoned to take, in bytes; none unless this node leads.
    #[must_use]
    pub fn job_memory(&self) -> Option<u64> {
        let dispatcher = self.dispatcher.as_ref();
        dispatcher.map(|dispatcher| dispatcher.job_memory(&self.state))
    }

    /// Whether no new orders are made, as too many wait to be sent.
    #[must_use]
    pub fn is_dispatch_held(&self) -> bool {
        self.order_backlog > ORDER_BACKLOG_LIMIT
    }

    /// Dispatches tasks, proposes all pending commands as one batch, and gives
    /// the effects to carry out, in order.
    pub fn flush(&mut self, now: Time, wall: Wall) -> Vec<Output> {
        for _ in 0..MAX_FLUSH_ROUNDS {
            self.dispatch(now, wall);
            self.propose_all(now);
            if !self.process_consensus_outputs(now, wall) && self.proposals.is_empty() {
                break;
            }
        }
        if self.unsaved_bytes >= SNAPSHOT_BYTES && self.compact() {
            self.process_consensus_outputs(now, wall);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Replaces the applied part of the log by a snapshot of the state; false
    /// if that wasn't possible.
    fn compact(&mut self) -> bool {
        let Ok(data) = self.state.encode() else {
            return false;
        };
        let done = self.consensus.compact(self.consensus.applied_index(), data);
        if done {
            self.unsaved_bytes = 0;
        }
        done
    }

    /// Runs the dispatcher if the node holds the leader lease, which rules out
    /// another leader.
    fn dispatch(&mut self, now: Time, wall: Wall) {
        if !self.consensus.holds_lease(now) {
            if let Some(dispatcher) = &mut self.dispatcher {
                dispatcher.withdraw_orders(&self.state, now, wall);
            }
            return;
        }
        if self.is_dispatch_held() {
            return;
        }
        let lease_expiry = self.consensus.lease_expiry();
        let Some(dispatcher) = &mut self.dispatcher else {
            return;
        };
        dispatcher.tick(&self.state, now, wall);
        let Effects {
            orders,
            advice_requests,
            commands,
            decisions,
            verdicts,
        } = dispatcher.take_effects();
        let decisions = decisions.into_iter().map(Output::Decision);
        self.outputs.extend(decisions);
        let orders = orders
            .into_iter()
            .map(|order| Output::Order(order, lease_expiry));
        self.outputs.extend(orders);
        let requests = advice_requests
            .into_iter()
            .map(|(relay, request)| Output::RequestAdvice(relay, request));
        self.outputs.extend(requests);
        self.proposals
            .extend(commands.into_iter().map(|command| (command, None)));
        for verdict in verdicts {
            self.conclude_call(verdict);
        }
    }

    fn propose_all(&mut self, now: Time) {
        if self.proposals.is_empty() {
            return;
        }
        let mut commands = Vec::new();
        let mut tickets = Vec::new();
        for (command, ticket) in std::mem::take(&mut self.proposals) {
            match (command.encode(), ticket) {
                (Ok(bytes), ticket) => {
                    commands.push(bytes);
                    tickets.push(ticket);
                }
                (Err(error), Some(ticket)) => {
                    self.reply(ticket, Reply::Malformed(error.to_string()));
                }
                (Err(_), None) => {}
            }
        }
        match self.consensus.propose(commands, now) {
            Ok(indexes) => {
                let pending = indexes.into_iter().zip(tickets);
                self.pending_replies
                    .extend(pending.filter_map(|(index, ticket)| Some((index, ticket?))));
            }
            Err(error) => {
                for ticket in tickets.into_iter().flatten() {
                    let reply = Reply::NotLeader(error.leader);
                    self.outputs.push(Output::Reply(ticket, reply, None));
                }
            }
        }
    }

    /// Handles the outputs of the consensus protocol; false if there were none
    /// and the node didn't start to lead.
    fn process_consensus_outputs(&mut self, now: Time, wall: Wall) -> bool {
        let outputs = self.consensus.take_outputs();
        let any = !outputs.is_empty();
        for output in outputs {
            match output {
                consensus::Output::Save(ballot) => {
                    self.outputs.push(Output::Save(ballot));
                }
                consensus::Output::Store(entries) => {
                    self.outputs.push(Output::Store(entries));
                }
                consensus::Output::Snapshot(snapshot) => {
                    self.outputs.push(Output::Snapshot(snapshot));
                }
                consensus::Output::Restore(data) => self.restore(&data),
                consensus::Output::Send(to, message) => {
                    self.outputs.push(Output::Send(to, message));
                }
                consensus::Output::Apply(entries) => self.apply(entries, now, wall),
                consensus::Output::Role(role) => self.change_role(role),
            }
        }
        if self.dispatcher.is_none() && self.consensus.lease_expiry().is_some() {
            self.start_leading(now, wall);
            return true;
        }
        any
    }

    fn start_leading(&mut self, now: Time, wall: Wall) {
        let term = self.consensus.term().0;
        let mut dispatcher =
            Dispatcher::new(&self.state, term, self.setup.dispatch, now, wall);
        for &relay in &self.relays {
            dispatcher.add_relay(relay);
        }
        self.dispatcher = Some(dispatcher);
        self.retention = Retention::default();
    }

    fn restore(&mut self, data: &[u8]) {
        match State::decode(data) {
            Ok(state) => self.state = state,
            Err(_) => self.corrupt = true,
        }
        self.unsaved_bytes = 0;
    }

    fn change_role(&mut self, role: Role) {
        self.outputs.push(Output::Role(role));
        if role == Role::Leader {
            return;
        }
        let dispatcher = self.dispatcher.take().into_iter();
        for ticket in dispatcher.flat_map(Dispatcher::unanswered_calls) {
            let reply = Reply::NotLeader(None);
            self.outputs.push(Output::Reply(ticket, reply, None));
        }
        for ticket in std::mem::take(&mut self.pending_replies).into_values() {
            self.outputs
                .push(Output::Reply(ticket, Reply::Indeterminate, None));
        }
    }

    fn apply(&mut self, entries: Vec<Entry>, now: Time, wall: Wall) {
        for entry in entries {
            let Payload::Command(bytes) = entry.payload else {
                continue;
            };
            self.unsaved_bytes += bytes.len();
            let Ok(command) = Command::decode(&bytes) else {
                // No version of this program wrote such an entry, so this
                // node's state would diverge from that of the others.
                self.corrupt = true;
                return;
            };
            let events = self.state.apply(command);
            if let Some(ticket) = self.pending_replies.swap_remove(&entry.index) {
                self.reply(ticket, stored_reply(&events));
            }
            self.log_cancellations(&events);
            let Some(dispatcher) = &mut self.dispatcher else {
                self.report_finished_jobs(&events);
                continue;
            };
            for event in &events {
                dispatcher.handle_event(&self.state, event, now, wall);
            }
        }
    }

    /// Logs cancellations of unknown jobs, and the submissions that they reject.
    fn log_cancellations(&mut self, events: &[Event]) {
        if self.consensus.role() != Role::Leader {
            return;
        }
        for event in events {
            let decision = match *event {
                Event::UnknownJobCancelled(job) => Decision::UnknownJobCancelled { job },
                Event::SubmissionRejected(job) => Decision::SubmissionRejected { job },
                _ => continue,
            };
            self.outputs.push(Output::Decision(decision));
        }
    }

    /// Logs the jobs that finish through entries of earlier terms, which a new
    /// leader applies before it has a dispatcher.
    fn report_finished_jobs(&mut self, events: &[Event]) {
        if self.consensus.role() != Role::Leader {
            return;
        }
        for event in events {
            if let Event::JobFinished(job) = event
                && let Some((phase, _)) = self.state.job(job).and_then(|job| job.outcome)
            {
                let finished = Decision::JobFinished { job: *job, phase };
                self.outputs.push(Output::Decision(finished));
            }
        }
    }
}

/// The reply to a call whose command has been applied, by what it changed.
fn stored_reply(events: &[Event]) -> Reply {
    let reply = |event: &Event| match event {
        Event::UnknownJobCancelled(_) => Some(Reply::NoJob),
        Event::SubmissionRejected(_) => Some(calls::cancelled_before()),
        _ => None,
    };
    events.iter().find_map(reply).unwrap_or(Reply::Done)
}
