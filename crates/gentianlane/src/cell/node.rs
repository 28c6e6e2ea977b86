//! One node of a cell: the agreement, the state and, while it leads, the
//! leader's work.

use derive_more::{Display, From};
use indexmap::IndexMap;

use crate::api::{Call, Refusal, Renew, Reply};
use crate::cell::leader::Leader;
use crate::cell::lease::announce_required;
use crate::cell::state::pending;
use crate::cell::{Command, State};
use crate::consensus::{self, Entry, Index, Message, Payload, Role};
use crate::note::Note;
use crate::unit::{Span, Time, Wall};
use crate::verdict::{Outcome, Reason};
use crate::{id, lease, place};

/// The longest that a call is held.
const MAX_WAIT: Span = Span::from_secs(30);

/// When to come back while the node doesn't lead.
const NO_QUORUM_RETRY: Span = Span::from_millis(300);

/// How many bytes of applied commands a snapshot takes the place of.
const SNAPSHOT_BYTES: usize = 4 << 20;

/// How many rounds of commit and planning one flush does.
const MAX_FLUSH_ROUNDS: usize = 8;

/// What a node is given when it starts.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The agreement's part.
    pub consensus: consensus::Setup,
    /// How long workers' leases last.
    pub lease: lease::Term,
    /// Placement's part.
    pub place: place::Setup,
}

/// A call that waits for its reply; chosen by whoever makes the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, From)]
pub struct Ticket(pub u64);

/// What has to be done, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// The agreement wants this done.
    Save(consensus::Ballot),
    /// Drop what is stored from the first entry's index on, write these, and
    /// sync before anything that follows.
    Store(Vec<Entry>),
    /// Write the snapshot and sync; then the entries up to its last may go.
    Snapshot(consensus::Snapshot),
    /// Send a message to another node.
    Send(id::Node, Message),
    /// Answer a call, unless the clock has passed the time given: then the
    /// node may no longer lead, and the caller has to be told to ask again.
    Reply(Ticket, Reply, Option<Time>),
    /// The node's part has changed.
    Role(Role),
}

/// The call that proposed an entry.
#[derive(Debug, Clone, Copy)]
pub(super) struct Proposer {
    ticket: Ticket,
    /// Whether the call waits for more than the entry, and may have been
    /// answered before.
    held: bool,
}

/// One node of a cell, without I/O.
#[derive(Debug, Clone)]
pub struct Node {
    pub(super) consensus: consensus::Node,
    setup: Setup,
    pub(super) state: State,
    pub(super) leader: Option<Leader>,
    pub(super) proposals: Vec<(Command, Option<Ticket>)>,
    pub(super) pending_replies: IndexMap<Index, Proposer>,
    /// How many bytes of commands were applied since the last snapshot.
    unsaved_bytes: usize,
    /// Whether a snapshot couldn't be read.
    corrupt: bool,
    outputs: Vec<Output>,
}

impl Node {
    /// A node with what its disk holds.
    ///
    /// If its snapshot can't be read, [`Node::is_corrupt`] says so.
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

    /// Says where the node stands; see [`consensus::Node::with_attributes`].
    #[must_use]
    pub fn with_attributes(mut self, attributes: consensus::Attributes) -> Self {
        self.consensus = self.consensus.with_attributes(attributes);
        self
    }

    /// Says that the cell isn't new; see [`consensus::Node::in_existing_cell`].
    #[must_use]
    pub fn in_existing_cell(mut self) -> Self {
        self.consensus = self.consensus.in_existing_cell();
        self
    }

    /// Whether a snapshot couldn't be read; the node then takes no messages
    /// and should end.
    #[must_use]
    pub fn is_corrupt(&self) -> bool {
        self.corrupt
    }

    /// Lets the state stand in place of the log up to here.
    ///
    /// The node does so itself when many bytes of commands were applied. False
    /// if there is nothing to do, or while an earlier snapshot is being sent.
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

    /// Takes a message from another node.
    pub fn receive(&mut self, from: id::Node, message: Message, now: Time) {
        if !self.corrupt {
            self.consensus.receive(from, message, now);
        }
    }

    /// Takes a call; its reply comes as an [`Output::Reply`] some time later.
    ///
    /// A ticket may be used again only after its reply.
    pub fn call(&mut self, ticket: Ticket, call: Call, now: Time, wall: Wall) {
        if !self.consensus.holds_lease(now) || self.leader.is_none() {
            return self.reply(ticket, no_quorum());
        }
        match call {
            Call::Submit(submit) => {
                let until = now.after(submit.hold.min(MAX_WAIT));
                self.submit(submit, ticket, until, wall);
            }
            Call::Wait(wait) => {
                let until = now.after(wait.hold.min(MAX_WAIT));
                self.wait(wait.key, ticket, until);
            }
            Call::Cancel(cancel) => {
                let until = now.after(cancel.hold.min(MAX_WAIT));
                let key = cancel.key;
                if self.add_waiter(key, ticket, until) {
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
                    self.reply(ticket, State::unreadable_note(&note.text, &fault))
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
        let until = self.consensus.lease_expiry();
        self.outputs.push(Output::Reply(ticket, reply, until));
    }

    /// Holds a call; if that can't be, it is told to ask again.
    pub(super) fn add_waiter(
        &mut self,
        key: id::Key,
        ticket: Ticket,
        until: Time,
    ) -> bool {
        let Some(leader) = &mut self.leader else {
            return false;
        };
        let held = leader.add_waiter(key, ticket, until);
        if !held {
            self.reply(ticket, pending());
        }
        held
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
        if let Some(old) = leader.renew(renew, ticket, now, seq) {
            self.reply(old, pending());
        }
    }

    /// Does what the time asks for.
    pub fn tick(&mut self, now: Time, wall: Wall) {
        if self.corrupt {
            return;
        }
        self.consensus.tick(now);
        let Some(leader) = &mut self.leader else {
            return;
        };
        for ticket in leader.take_expired_waiters(now) {
            self.reply(ticket, pending());
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

    /// Asks another node to lead, as this one leaves.
    pub fn transfer_leadership(&mut self) {
        self.consensus.transfer_leadership();
    }

    /// Proposes all that has gathered in one batch, and gives what has to be
    /// done, in order.
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
            let held = matches!(command, Command::Submit { .. } | Command::Cancel { .. });
            let proposer = ticket.map(|ticket| Proposer { ticket, held });
            match command.encode() {
                Ok(bytes) => {
                    commands.push(bytes);
                    proposers.push(proposer);
                }
                Err(_) => {
                    let malformed = Refusal::not_run(Reason::Malformed, "");
                    self.reject_proposal(proposer, &Reply::Refused(malformed));
                }
            }
        }
        match self.consensus.propose(commands, now) {
            Ok(indexes) => {
                let asked = indexes.into_iter().zip(proposers);
                let asked =
                    asked.filter_map(|(index, proposer)| Some((index, proposer?)));
                self.pending_replies.extend(asked);
            }
            Err(_) => {
                for proposer in proposers {
                    self.reject_proposal(proposer, &no_quorum());
                }
            }
        }
    }

    /// Answers a call whose command didn't get into the log.
    fn reject_proposal(&mut self, proposer: Option<Proposer>, reply: &Reply) {
        let Some(Proposer { ticket, held }) = proposer else {
            return;
        };
        let leader = self.leader.as_mut();
        let waits = held && leader.is_some_and(|leader| leader.remove_waiter(ticket));
        if waits || !held {
            self.reply(ticket, reply.clone());
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

    fn change_role(&mut self, role: Role) {
        self.outputs.push(Output::Role(role));
        if role == Role::Leader {
            return;
        }
        let leader = self.leader.take();
        let held = leader.iter().flat_map(Leader::pending_tickets);
        let asked = std::mem::take(&mut self.pending_replies).into_values();
        let asked = asked
            .filter(|proposer| !proposer.held)
            .map(|proposer| proposer.ticket);
        let mut tickets: Vec<Ticket> = asked.chain(held).collect();
        tickets.sort_unstable();
        tickets.dedup();
        for ticket in tickets {
            self.outputs.push(Output::Reply(ticket, pending(), None));
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

    /// Answers the call that proposed an entry, unless it waits for more.
    fn answer_proposer(&mut self, index: Index, reply: Reply) {
        let Some(Proposer { ticket, held }) = self.pending_replies.swap_remove(&index)
        else {
            return;
        };
        if held {
            let waits = reply == pending();
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

/// What a call is told by a node that doesn't lead.
///
/// The node did nothing, but can't know what a leader did for the same key.
fn no_quorum() -> Reply {
    let outcome = Outcome::may_have_run(Reason::NoQuorum).retry_after(NO_QUORUM_RETRY);
    let detail = "this node doesn't lead".to_owned();
    Reply::Refused(Refusal { outcome, detail })
}
