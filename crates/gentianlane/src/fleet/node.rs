//! One node of a fleet: the agreement, the state and, while it leads, the
//! dispatch of tasks.

mod calls;

use indexmap::IndexMap;

pub use crate::cell::Ticket;
use crate::consensus::{self, Entry, Index, Message, Payload, Role};
use crate::fleet::call::Reply;
use crate::fleet::decision::Decision;
use crate::fleet::dispatch::{self, Dispatcher, Effects, Relay};
use crate::fleet::order::{AdviceRequest, AdviceResponse, Answer, CallId, Order};
use crate::fleet::{Command, Event, State};
use crate::id;
use crate::unit::{Span, Time, Wall};

/// How many bytes of applied commands a snapshot takes the place of.
const SNAPSHOT_BYTES: usize = 4 << 20;

/// How many rounds of commit and planning one flush does.
const MAX_FLUSH_ROUNDS: usize = 8;

/// How long a job that is over is remembered; several times what callers are
/// promised.
const FINISHED_JOB_RETENTION: Span = Span::from_secs(600);

/// How often jobs that are over are forgotten.
const EXPIRE_INTERVAL: Span = Span::from_secs(60);

/// What a node is given when it starts.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The agreement's part.
    pub consensus: consensus::Setup,
    /// The dispatch's part.
    pub dispatch: dispatch::Setup,
}

/// What has to be done, in order.
#[derive(Debug, Clone)]
pub enum Output {
    /// Write the promise and sync before anything that follows.
    Save(consensus::Ballot),
    /// Drop what is stored from the first entry's index on, write these, and
    /// sync before anything that follows.
    Store(Vec<Entry>),
    /// Write the snapshot and sync; then the entries up to its last may go.
    Snapshot(consensus::Snapshot),
    /// Send a message to another node.
    Send(id::Node, Message),
    /// Answer a call, unless the clock has passed the time given: then the
    /// node may no longer lead, and the call has to be made again.
    Reply(Ticket, Reply, Option<Time>),
    /// Give a worker an order, unless the clock has passed the time given.
    Order(Order, Option<Time>),
    /// Let a helper put a question.
    RequestAdvice(Relay, AdviceRequest),
    /// The node's part has changed.
    Role(Role),
    /// What was decided, for the log.
    Decision(Decision),
}

/// One node of a fleet, without I/O.
#[derive(Debug, Clone)]
pub struct Node {
    consensus: consensus::Node,
    setup: Setup,
    state: State,
    lead: Option<Dispatcher>,
    relays: Vec<Relay>,
    proposals: Vec<(Command, Option<Ticket>)>,
    pending_replies: IndexMap<Index, Ticket>,
    /// How many bytes of commands were applied since the last snapshot.
    unsaved_bytes: usize,
    /// Whether a snapshot couldn't be read.
    corrupt: bool,
    expire_at: Time,
    outputs: Vec<Output>,
}

impl Node {
    /// A node with what its disk holds.
    ///
    /// If its snapshot can't be read, [`Node::is_corrupt`] says so.
    #[must_use]
    pub fn new(setup: Setup, saved: consensus::DurableState, now: Time) -> Self {
        let state = match &saved.snapshot {
            Some(snapshot) => postcard::from_bytes(&snapshot.data).ok(),
            None => Some(State::default()),
        };
        Self {
            consensus: consensus::Node::new(setup.consensus.clone(), saved, now),
            setup,
            corrupt: state.is_none(),
            state: state.unwrap_or_default(),
            lead: None,
            relays: Vec::new(),
            proposals: Vec::new(),
            pending_replies: IndexMap::new(),
            unsaved_bytes: 0,
            expire_at: now.after(EXPIRE_INTERVAL),
            outputs: Vec::new(),
        }
    }

    /// Says where the node stands; see [`consensus::Node::with_attributes`].
    #[must_use]
    pub fn with_attributes(mut self, site: consensus::Attributes) -> Self {
        self.consensus = self.consensus.with_attributes(site);
        self
    }

    /// Says that the fleet isn't new; see [`consensus::Node::in_existing_cell`].
    #[must_use]
    pub fn in_existing_cell(mut self) -> Self {
        self.consensus = self.consensus.in_existing_cell();
        self
    }

    /// Says how many voters there should be; see [`consensus::Node::with_target_voters`].
    #[must_use]
    pub fn with_target_voters(mut self, voters: usize) -> Self {
        self.consensus = self.consensus.with_target_voters(voters);
        self
    }

    /// Whether a snapshot couldn't be read; the node should end.
    #[must_use]
    pub fn is_corrupt(&self) -> bool {
        self.corrupt
    }

    /// The agreement's part.
    #[must_use]
    pub fn consensus(&self) -> &consensus::Node {
        &self.consensus
    }

    /// The state as far as this node has applied the log.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// When [`Node::tick`] is due.
    #[must_use]
    pub fn due(&self) -> Time {
        let lead = self.lead.as_ref().map(Dispatcher::due);
        lead.map_or(self.consensus.due(), |due| due.min(self.consensus.due()))
    }

    /// Takes a message from another node.
    pub fn receive(&mut self, from: id::Node, message: Message, now: Time) {
        if !self.corrupt {
            self.consensus.receive(from, message, now);
        }
    }

    /// Takes in a helper that can put questions for the leader.
    pub fn add_relay(&mut self, helper: Relay) {
        self.relays.push(helper);
        if let Some(lead) = &mut self.lead {
            lead.add_relay(helper);
        }
    }

    /// Drops a helper.
    pub fn remove_relay(&mut self, helper: Relay) {
        self.relays.retain(|&held| held != helper);
        if let Some(lead) = &mut self.lead {
            lead.remove_relay(helper);
        }
    }

    /// Takes the answer to a question.
    pub fn handle_advice(&mut self, helper: Relay, opinion: AdviceResponse, now: Time) {
        if let Some(lead) = &mut self.lead {
            lead.handle_advice(helper, opinion, now);
        }
    }

    /// Takes a worker's answer to an order.
    pub fn handle_answer(
        &mut self,
        number: CallId,
        answer: Answer,
        now: Time,
        wall: Wall,
    ) {
        if let Some(lead) = &mut self.lead {
            lead.handle_answer(&self.state, number, answer, now, wall);
        }
    }

    fn propose(&mut self, command: Command, ticket: Option<Ticket>) {
        self.proposals.push((command, ticket));
    }

    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        let until = self.consensus.lease_expiry();
        self.outputs.push(Output::Reply(ticket, reply, until));
    }

    /// Does what the time asks for.
    pub fn tick(&mut self, now: Time, wall: Wall) {
        if self.corrupt {
            return;
        }
        self.consensus.tick(now);
        if now >= self.expire_at && self.lead.is_some() {
            self.expire_at = now.after(EXPIRE_INTERVAL);
            let before = wall
                .as_millis()
                .saturating_sub(FINISHED_JOB_RETENTION.as_millis());
            let before = Wall::from_millis(before);
            self.propose(Command::Expire { before }, None);
        }
    }

    /// Asks another node to lead, as this one leaves.
    pub fn transfer_leadership(&mut self) {
        self.consensus.transfer_leadership();
    }

    /// Proposes all that has gathered in one batch, and gives what has to be
    /// done, in order.
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

    /// Lets the state stand in place of the log up to here.
    fn compact(&mut self) -> bool {
        let Ok(data) = postcard::to_allocvec(&self.state) else {
            return false;
        };
        let done = self.consensus.compact(self.consensus.applied_index(), data);
        if done {
            self.unsaved_bytes = 0;
        }
        done
    }

    /// Lets the leader's part work, as long as no other node can lead.
    fn dispatch(&mut self, now: Time, wall: Wall) {
        if !self.consensus.holds_lease(now) {
            return;
        }
        let until = self.consensus.lease_expiry();
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.tick(&self.state, now, wall);
        let Effects {
            orders,
            advice_requests,
            commands,
            decisions,
        } = lead.take_effects();
        let decided = decisions.into_iter().map(Output::Decision);
        self.outputs.extend(decided);
        let orders = orders.into_iter().map(|order| Output::Order(order, until));
        self.outputs.extend(orders);
        let asks = advice_requests
            .into_iter()
            .map(|(helper, question)| Output::RequestAdvice(helper, question));
        self.outputs.extend(asks);
        self.proposals
            .extend(commands.into_iter().map(|command| (command, None)));
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
                (Err(garbled), Some(ticket)) => {
                    self.reply(ticket, Reply::Malformed(garbled.to_string()));
                }
                (Err(_), None) => {}
            }
        }
        match self.consensus.propose(commands, now) {
            Ok(indexes) => {
                let asked = indexes.into_iter().zip(tickets);
                self.pending_replies
                    .extend(asked.filter_map(|(index, ticket)| Some((index, ticket?))));
            }
            Err(other) => {
                for ticket in tickets.into_iter().flatten() {
                    let reply = Reply::NotLeader(other.leader);
                    self.outputs.push(Output::Reply(ticket, reply, None));
                }
            }
        }
    }

    /// Carries out what the agreement has given; false if there was nothing.
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
        if self.lead.is_none() && self.consensus.lease_expiry().is_some() {
            self.start_leading(now, wall);
            return true;
        }
        any
    }

    fn start_leading(&mut self, now: Time, wall: Wall) {
        let fence = self.consensus.term().0;
        let mut lead =
            Dispatcher::new(&self.state, fence, self.setup.dispatch, now, wall);
        for &helper in &self.relays {
            lead.add_relay(helper);
        }
        self.lead = Some(lead);
    }

    fn restore(&mut self, data: &[u8]) {
        match postcard::from_bytes(data) {
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
        self.lead = None;
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
                // An entry that no version of ours wrote: the state can't be
                // what the others have.
                self.corrupt = true;
                return;
            };
            let events = self.state.apply(command);
            if let Some(ticket) = self.pending_replies.swap_remove(&entry.index) {
                self.reply(ticket, Reply::Done);
            }
            let Some(lead) = &mut self.lead else {
                self.report_finished_jobs(&events);
                continue;
            };
            for event in &events {
                lead.handle_event(&self.state, event, now, wall);
            }
        }
    }

    /// Tells of jobs that are over by entries of an earlier term, which a new
    /// leader applies before it begins.
    fn report_finished_jobs(&mut self, events: &[Event]) {
        if self.consensus.role() != Role::Leader {
            return;
        }
        for event in events {
            if let Event::JobFinished(job) = event
                && let Some((phase, _)) = self.state.job(job).and_then(|job| job.outcome)
            {
                let over = Decision::JobFinished { job: *job, phase };
                self.outputs.push(Output::Decision(over));
            }
        }
    }
}
