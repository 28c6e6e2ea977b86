//! One node of a cell: the consensus node, the replicated state and, while the
//! node leads, the leader-only state.

use derive_more::{Display, From};
use indexmap::IndexMap;

use crate::api::{Call, Refusal, Renew, Reply};
use crate::cell::leader::Leader;
use crate::cell::lease::announce_required;
use crate::cell::state::pending_reply;
use crate::cell::{Command, State};
use crate::consensus::{self, Entry, Index, Message, Payload, Role};
use crate::note::Note;
use crate::unit::{Span, Time, Wall};
use crate::verdict::{Outcome, Reason};
use crate::{id, lease, place};

/// The longest time for which a call waits for a request's answer.
const MAX_WAIT: Span = Span::from_secs(30);

/// The delay after which a caller should retry when the node doesn't lead.
const NO_QUORUM_RETRY: Span = Span::from_millis(300);

/// The bytes of applied commands after which the log is compacted into a
/// snapshot.
const SNAPSHOT_BYTES: usize = 4 << 20;

/// The most rounds of planning, proposing and applying in one flush.
const MAX_FLUSH_ROUNDS: usize = 8;

/// The settings of a node.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Settings of the replicated log.
    pub consensus: consensus::Setup,
    /// The duration of workers' leases and the margin for clock drift.
    pub lease: lease::Timing,
    /// Settings of placement.
    pub place: place::Setup,
}

/// Identifies a call until its reply; the caller chooses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From)]
pub struct Ticket(pub u64);

/// An effect that the caller carries out, in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Write the term and vote, and sync before any later output.
    Save(consensus::Ballot),
    /// Truncate the stored log at the first entry's index, append these
    /// entries, and sync before any later output.
    Store(Vec<Entry>),
    /// Write the snapshot and sync before deleting the entries that it covers.
    Snapshot(consensus::Snapshot),
    /// Send a message to another node.
    Send(id::Node, Message),
    /// Answer a call. If the clock has passed the time given, the node may have
    /// lost its leadership, and the caller must be told to retry instead.
    Reply(Ticket, Reply, Option<Time>),
    /// The node's role in the consensus group has changed.
    Role(Role),
}

/// The call that proposed an entry.
#[derive(Debug, Clone, Copy)]
pub(super) struct Proposer {
    ticket: Ticket,
    /// Whether the call is registered as a waiter for the request's answer. If
    /// the request is still open once the entry is applied, such a call goes on
    /// waiting. If its wait ends before that, it has its reply already.
    is_waiter: bool,
}

/// One node of a cell, as a state machine without I/O.
///
/// It takes calls, messages and the time; [`Node::flush`] returns the effects
/// to carry out.
#[derive(Debug, Clone)]
pub struct Node {
    pub(super) consensus: consensus::Node,
    setup: Setup,
    pub(super) state: State,
    pub(super) leader: Option<Leader>,
    /// Commands to propose in the next flush, with the calls that made them.
    pub(super) proposals: Vec<(Command, Option<Ticket>)>,
    /// The calls whose commands are in the log and not applied yet.
    pub(super) pending_replies: IndexMap<Index, Proposer>,
    /// The bytes of commands applied since the last snapshot.
    unsaved_bytes: usize,
    /// Whether a snapshot couldn't be decoded.
    corrupt: bool,
    /// Effects that the next flush returns.
    outputs: Vec<Output>,
}

impl Node {
    /// Creates a node from its durable state.
    ///
    /// If the snapshot can't be decoded, [`Node::is_corrupt`] is true.
    #[must_use]
    pub fn new(setup: Setup, durable: consensus::DurableState, now: Time) -> Self {
        let state = match &durable.snapshot {
            Some(snapshot) => postcard::from_bytes(&snapshot.data).ok(),
            None => Some(State::default()),
        };
        Self {
            consensus: consensus::Node::new(setup.consensus.clone(), durable, now),
            setup,
            corrupt: state.is_none(),
            state: state.unwrap_or_default(),
            unsaved_bytes: 0,
            leader: None,
            proposals: Vec::new(),
            pending_replies: IndexMap::new(),
            outputs: Vec::new(),
        }
    }

    /// Sets the node's attributes; see [`consensus::Node::with_attributes`].
    #[must_use]
    pub fn with_attributes(mut self, attributes: consensus::Attributes) -> Self {
        self.consensus = self.consensus.with_attributes(attributes);
        self
    }

    /// States that the cell already exists; see
    /// [`consensus::Node::in_existing_cell`].
    #[must_use]
    pub fn in_existing_cell(mut self) -> Self {
        self.consensus = self.consensus.in_existing_cell();
        self
    }

    /// Whether a snapshot couldn't be decoded. The node then ignores messages
    /// and ticks, and its process should end.
    #[must_use]
    pub fn is_corrupt(&self) -> bool {
        self.corrupt
    }

    /// Replaces the applied part of the log by a snapshot of the state.
    ///
    /// The node does this by itself after 4 MiB of applied commands. Returns
    /// false if there is nothing to compact, while an earlier snapshot is being
    /// sent, or if the state can't be encoded.
    pub fn compact(&mut self) -> bool {
        let Ok(data) = postcard::to_allocvec(&self.state) else {
            return false;
        };
        let done = self.consensus.compact(self.consensus.applied_index(), data);
        if done {
            self.unsaved_bytes = 0;
        }
        done
    }

    fn restore(&mut self, data: &[u8]) {
        match postcard::from_bytes(data) {
            Ok(state) => self.state = state,
            Err(_) => self.corrupt = true,
        }
        self.unsaved_bytes = 0;
    }

    /// The node of the replicated log.
    #[must_use]
    pub fn consensus(&self) -> &consensus::Node {
        &self.consensus
    }

    /// The state up to the last entry that this node has applied.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Handles a message from another node.
    pub fn receive(&mut self, from: id::Node, message: Message, now: Time) {
        if !self.corrupt {
            self.consensus.receive(from, message, now);
        }
    }

    /// Handles a call; a later [`Output::Reply`] answers it.
    ///
    /// A ticket may be reused only after its reply.
    pub fn call(&mut self, ticket: Ticket, call: Call, now: Time, wall: Wall) {
        if !self.consensus.holds_lease(now) || self.leader.is_none() {
            return self.reply(ticket, no_quorum());
        }
        match call {
            Call::Submit(submit) => {
                let deadline = now.after(submit.hold.min(MAX_WAIT));
                self.submit(submit, ticket, deadline, wall);
            }
            Call::Wait(wait) => {
                let deadline = now.after(wait.hold.min(MAX_WAIT));
                self.wait(wait.key, ticket, deadline);
            }
            Call::Cancel(cancel) => {
                let deadline = now.after(cancel.hold.min(MAX_WAIT));
                let key = cancel.key;
                if self.add_waiter(key, ticket, deadline) {
                    self.propose(Command::Cancel { at: wall, key }, Some(ticket));
                }
            }
            Call::Announce(announce) => {
                self.propose(Command::Announce(announce), Some(ticket));
            }
            Call::Renew(renew) => self.renew(renew, ticket, now),
            Call::Finish(finish) => self.finish(finish, ticket),
            Call::Leave(leave) => self.propose(Command::Leave(leave), Some(ticket)),
            Call::Note(note) => match Note::read(&note.text) {
                Ok(note) => self.propose(Command::Note(Box::new(note)), Some(ticket)),
                Err(fault) => {
                    self.reply(ticket, State::unreadable_note(&note.text, &fault));
                }
            },
            Call::Drain(drain) => {
                let command = Command::Drain {
                    worker: drain.worker,
                    on: drain.on,
                };
                self.propose(command, Some(ticket));
            }
            Call::NoteStatus => self.reply(ticket, self.note_status()),
            Call::Workers => self.reply(ticket, self.workers()),
            Call::Jobs => self.reply(ticket, self.jobs()),
            Call::Explain(job) => self.reply(ticket, self.explain(job, now)),
            Call::Members => self.reply(ticket, self.members()),
        }
    }

    pub(super) fn propose(&mut self, command: Command, ticket: Option<Ticket>) {
        self.proposals.push((command, ticket));
    }

    pub(super) fn reply(&mut self, ticket: Ticket, reply: Reply) {
        let valid_until = self.consensus.lease_expiry();
        self.outputs.push(Output::Reply(ticket, reply, valid_until));
    }

    /// Registers a call as a waiter for a request's answer. If too many calls
    /// wait, replies that the answer is pending and returns false.
    pub(super) fn add_waiter(
        &mut self,
        key: id::Key,
        ticket: Ticket,
        deadline: Time,
    ) -> bool {
        let Some(leader) = &mut self.leader else {
            return false;
        };
        let added = leader.add_waiter(key, ticket, deadline);
        if !added {
            self.reply(ticket, pending_reply());
        }
        added
    }

    fn renew(&mut self, renew: Renew, ticket: Ticket, now: Time) {
        let registered = self.state.ledger().get(&renew.worker);
        let current = registered
            .is_some_and(|registered| registered.incarnation == renew.incarnation);
        if !current {
            return self.reply(ticket, announce_required());
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let seq = self.consensus.last_seq();
        if let Some(replaced) = leader.renew(renew, ticket, now, seq) {
            self.reply(replaced, pending_reply());
        }
    }

    /// Runs what is due: elections, lease expiries, deadlines and retries.
    pub fn tick(&mut self, now: Time, wall: Wall) {
        if self.corrupt {
            return;
        }
        self.consensus.tick(now);
        let Some(leader) = &mut self.leader else {
            return;
        };
        for ticket in leader.take_expired_waiters(now) {
            self.reply(ticket, pending_reply());
        }
        if !self.consensus.holds_lease(now) {
            return;
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        for command in leader.tick(&self.state, now, wall) {
            self.propose(command, None);
        }
    }

    /// Asks another node to take over leadership, before this one shuts down.
    pub fn transfer_leadership(&mut self) {
        self.consensus.transfer_leadership();
    }

    /// Proposes the commands gathered so far as one batch, applies what is
    /// committed, and returns the effects to carry out, in order.
    pub fn flush(&mut self, now: Time, wall: Wall) -> Vec<Output> {
        for _ in 0..MAX_FLUSH_ROUNDS {
            self.plan(now);
            self.propose_all(now);
            if !self.process_consensus_outputs(now, wall) && self.proposals.is_empty() {
                break;
            }
        }
        if self.unsaved_bytes >= SNAPSHOT_BYTES && self.compact() {
            self.process_consensus_outputs(now, wall);
        }
        self.answer_renewals(now);
        std::mem::take(&mut self.outputs)
    }

    fn plan(&mut self, now: Time) {
        if !self.consensus.holds_lease(now) {
            return;
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        for command in leader.plan(&self.state, now) {
            self.propose(command, None);
        }
    }

    fn propose_all(&mut self, now: Time) {
        if self.proposals.is_empty() {
            return;
        }
        let mut commands = Vec::new();
        let mut proposers = Vec::new();
        for (command, ticket) in std::mem::take(&mut self.proposals) {
            let is_waiter =
                matches!(command, Command::Submit { .. } | Command::Cancel { .. });
            let proposer = ticket.map(|ticket| Proposer { ticket, is_waiter });
            match command.encode() {
                Ok(bytes) => {
                    commands.push(bytes);
                    proposers.push(proposer);
                }
                Err(_) => {
                    let malformed = Refusal::not_run(
                        Reason::Malformed,
                        "the call can't be encoded for the log",
                    );
                    self.reject_proposal(proposer, &Reply::Refused(malformed));
                }
            }
        }
        match self.consensus.propose(commands, now) {
            Ok(indexes) => {
                let proposed = indexes.into_iter().zip(proposers);
                let proposed =
                    proposed.filter_map(|(index, proposer)| Some((index, proposer?)));
                self.pending_replies.extend(proposed);
            }
            Err(_) => {
                for proposer in proposers {
                    self.reject_proposal(proposer, &no_quorum());
                }
            }
        }
    }

    /// Answers a call whose command couldn't be proposed. A waiter that has
    /// been answered already gets no second reply.
    fn reject_proposal(&mut self, proposer: Option<Proposer>, reply: &Reply) {
        let Some(Proposer { ticket, is_waiter }) = proposer else {
            return;
        };
        let leader = self.leader.as_mut();
        let waits =
            is_waiter && leader.is_some_and(|leader| leader.remove_waiter(ticket));
        if waits || !is_waiter {
            self.reply(ticket, reply.clone());
        }
    }

    /// Handles the outputs of the consensus node; false if there were none.
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
        if self.leader.is_none() && self.consensus.lease_expiry().is_some() {
            let place = &self.setup.place;
            let clock = (now, wall);
            let (leader, commands) =
                Leader::new(&self.state, place, self.setup.lease, clock);
            self.leader = Some(leader);
            for command in commands {
                self.propose(command, None);
            }
        }
        any
    }

    /// Reports a new role. A node that stops leading gives all unanswered calls
    /// the reply that the answer is pending.
    fn change_role(&mut self, role: Role) {
        self.outputs.push(Output::Role(role));
        if role == Role::Leader {
            return;
        }
        let leader = self.leader.take();
        let waiting = leader.iter().flat_map(Leader::pending_tickets);
        let proposed = std::mem::take(&mut self.pending_replies).into_values();
        let proposed = proposed
            .filter(|proposer| !proposer.is_waiter)
            .map(|proposer| proposer.ticket);
        let mut tickets: Vec<Ticket> = proposed.chain(waiting).collect();
        tickets.sort_unstable();
        tickets.dedup();
        for ticket in tickets {
            self.outputs
                .push(Output::Reply(ticket, pending_reply(), None));
        }
    }

    fn apply(&mut self, entries: Vec<Entry>, now: Time, wall: Wall) {
        for entry in entries {
            let Payload::Command(bytes) = entry.payload else {
                continue;
            };
            self.unsaved_bytes += bytes.len();
            let Ok(command) = Command::decode(&bytes) else {
                continue;
            };
            let effect = self.state.apply(command);
            self.answer_proposer(entry.index, effect.reply);
            let Some(leader) = &mut self.leader else {
                continue;
            };
            let mut replies = Vec::new();
            let clock = (now, wall);
            let commands =
                leader.handle_events(&self.state, &effect.events, clock, &mut replies);
            for (ticket, reply) in replies {
                self.reply(ticket, reply);
            }
            self.proposals
                .extend(commands.into_iter().map(|command| (command, None)));
        }
    }

    /// Answers the call that proposed an entry. A waiter stays registered while
    /// its request's answer is pending.
    fn answer_proposer(&mut self, index: Index, reply: Reply) {
        let Some(Proposer { ticket, is_waiter }) =
            self.pending_replies.swap_remove(&index)
        else {
            return;
        };
        if is_waiter {
            let waits = reply == pending_reply();
            let leader = self.leader.as_mut().filter(|_| !waits);
            if !leader.is_some_and(|leader| leader.remove_waiter(ticket)) {
                return;
            }
        }
        self.reply(ticket, reply);
    }

    fn answer_renewals(&mut self, now: Time) {
        if !self.consensus.holds_lease(now) {
            return;
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let quorum_seq = self.consensus.quorum_seq();
        for (ticket, reply) in leader.answer_renewals(&self.state, now, quorum_seq) {
            self.reply(ticket, reply);
        }
    }
}

/// The reply of a node that doesn't lead.
///
/// The node has done nothing, but an earlier or current leader may have run
/// the work for the same key.
fn no_quorum() -> Reply {
    let outcome = Outcome::may_have_run(Reason::NoQuorum).retry_after(NO_QUORUM_RETRY);
    let detail = "this node doesn't lead".to_owned();
    Reply::Refused(Refusal { outcome, detail })
}
