//! One node's part in the agreement.

use indexmap::{IndexMap, IndexSet};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use serde::{Deserialize, Serialize};

use crate::agree::log::Log;
use crate::agree::peer::Peer;
use crate::agree::{
    Append, Body, Entry, Index, Message, Payload, Position, Term, Voters,
};
use crate::id;
use crate::unit::{Span, Time};

/// About how many bytes of entries one message carries.
const APPEND_LIMIT: usize = 256 << 10;

/// How long things take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How often a leader speaks to every other node.
    pub heartbeat: Span,
    /// The shortest silence after which a node stands for election; the
    /// longest is twice that.
    pub election: Span,
    /// How much of the shortest silence a leader doesn't count on, since two
    /// clocks may run at different rates.
    pub drift: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Span::from_millis(100),
            election: Span::from_millis(1_000),
            drift: Span::from_millis(100),
        }
    }
}

/// What a node is given when it starts.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The node itself.
    pub node: id::Node,
    /// The voters at the cell's very beginning.
    pub voters: Voters,
    /// The nodes that get the log without a vote.
    pub learners: Vec<id::Node>,
    /// How long things take.
    pub timing: Timing,
    /// The seed of the random election time.
    pub seed: u64,
}

/// What a node has promised, and must have on disk.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// The newest term it knows.
    pub term: Term,
    /// Whom it has voted for in that term.
    pub vote: Option<id::Node>,
}

/// What a node finds on its disk.
#[derive(Debug, Default, Clone)]
pub struct Saved {
    /// Its promise.
    pub ballot: Ballot,
    /// The state as it was at some entry, in place of the log up to there.
    pub snapshot: Option<Snapshot>,
    /// Its log, after the snapshot.
    pub entries: Vec<Entry>,
}

/// The state above as it was after some entry.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that the state covers.
    pub last: Position,
    /// The voters at that entry.
    pub voters: Voters,
    /// The state, opaque here.
    pub data: Vec<u8>,
}

/// What has to be done, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Write the promise and sync before anything that follows.
    Save(Ballot),
    /// Drop what is stored from the first entry's index on, write these, and
    /// sync before anything that follows.
    Store(Vec<Entry>),
    /// Send a message.
    Send(id::Node, Message),
    /// Apply committed entries, in order and once.
    Apply(Vec<Entry>),
    /// The node's part has changed.
    Role(Role),
}

/// A node's part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It follows, and may know whom.
    Follower(Option<id::Node>),
    /// It asks whether an election could be won.
    PreCandidate,
    /// It stands for election.
    Candidate,
    /// It leads.
    Leader,
}

/// A proposal came to a node that doesn't lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("this node doesn't lead")]
pub struct NotLeader {
    /// Who may lead.
    pub leader: Option<id::Node>,
}

/// One node's part in the agreement, without I/O.
#[derive(Debug, Clone)]
pub struct Node {
    setup: Setup,
    random: ChaCha8Rng,
    ballot: Ballot,
    log: Log,
    voters: Voters,
    role: Role,
    granted: IndexSet<id::Node>,
    peers: IndexMap<id::Node, Peer>,
    commit: Index,
    applied: Index,
    /// The first entry of the own term, if the node leads.
    first: Index,
    /// When a leader was last heard.
    heard: Time,
    /// When the node stands, or a leader sends its next heartbeat.
    due: Time,
    outputs: Vec<Output>,
}

impl Node {
    /// A node with what its disk holds.
    ///
    /// It follows at first, and votes for nobody until a leader that it may
    /// have heard before its restart can't count on it any more.
    #[must_use]
    pub fn new(setup: Setup, saved: Saved, now: Time) -> Self {
        let log = Log::new(Position::default(), saved.entries);
        let voters = log.voters().unwrap_or(&setup.voters).clone();
        let mut node = Self {
            random: ChaCha8Rng::seed_from_u64(setup.seed),
            setup,
            ballot: saved.ballot,
            log,
            voters,
            role: Role::Follower(None),
            granted: IndexSet::new(),
            peers: IndexMap::new(),
            commit: Index(0),
            applied: Index(0),
            first: Index(0),
            heard: now,
            due: now,
            outputs: Vec::new(),
        };
        node.rest(now);
        node
    }

    /// The node's own identity.
    #[must_use]
    pub fn id(&self) -> id::Node {
        self.setup.node
    }

    /// The node's part.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// The newest term that the node knows.
    #[must_use]
    pub fn term(&self) -> Term {
        self.ballot.term
    }

    /// The voters in force here.
    #[must_use]
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// Who leads, as far as the node knows.
    #[must_use]
    pub fn leader(&self) -> Option<id::Node> {
        match self.role {
            Role::Leader => Some(self.setup.node),
            Role::Follower(leader) => leader,
            Role::PreCandidate | Role::Candidate => None,
        }
    }

    /// The newest index handed out to be applied.
    #[must_use]
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The newest index that is stored here.
    #[must_use]
    pub fn stored(&self) -> Index {
        self.log.last().index
    }

    /// The other nodes and the newest index known to be stored at each.
    pub fn peers(&self) -> impl Iterator<Item = (id::Node, Index)> {
        self.peers.iter().map(|(&node, peer)| (node, peer.stored))
    }

    /// Until when no other node can lead, on this node's clock.
    ///
    /// `None` unless the node leads and has applied an entry of its own term,
    /// so that its state is as new as any.
    #[must_use]
    pub fn leads_until(&self) -> Option<Time> {
        if self.role != Role::Leader || self.applied < self.first {
            return None;
        }
        let lease = self.setup.timing.election.less(self.setup.timing.drift);
        let confirmed = self.voters.reached(|node| match self.peers.get(&node) {
            Some(peer) => peer.confirmed,
            None => Some(Time::from_millis(u64::MAX)),
        });
        confirmed.flatten().map(|sent| sent.after(lease))
    }

    /// Whether the node leads and no other can at `now`.
    #[must_use]
    pub fn leads(&self, now: Time) -> bool {
        self.leads_until().is_some_and(|until| now < until)
    }

    /// When [`Node::tick`] is due.
    #[must_use]
    pub fn due(&self) -> Time {
        self.due
    }

    /// Takes what has to be done since the last call, in order.
    pub fn take(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Takes up commands into the log, all at once.
    ///
    /// # Errors
    ///
    /// [`NotLeader`] if another node has to be asked; nothing was taken up.
    pub fn propose(
        &mut self,
        commands: impl IntoIterator<Item = Vec<u8>>,
        now: Time,
    ) -> Result<Vec<Index>, NotLeader> {
        if self.role != Role::Leader {
            return Err(NotLeader {
                leader: self.leader(),
            });
        }
        let payloads = commands.into_iter().map(Payload::Command);
        let indexes = self.push(payloads);
        self.send_to_all(now);
        self.advance();
        Ok(indexes)
    }

    /// Asks the follower with the longest log to stand, as this leader leaves.
    pub fn hand_over(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let voters = self
            .peers
            .iter()
            .filter(|(node, _)| self.voters.contains(**node));
        let Some((&node, _)) = voters.max_by_key(|(_, peer)| peer.stored) else {
            return;
        };
        self.send(node, Body::Handover);
    }

    /// Does what the time asks for.
    pub fn tick(&mut self, now: Time) {
        if now < self.due {
            return;
        }
        match self.role {
            Role::Leader => {
                self.due = now.after(self.setup.timing.heartbeat);
                self.send_to_all(now);
            }
            Role::Follower(_) | Role::PreCandidate | Role::Candidate => {
                self.ask_pre_votes(now);
            }
        }
    }

    /// Takes a message from another node.
    pub fn receive(&mut self, from: id::Node, message: Message, now: Time) {
        let Message { term, body } = message;
        if !matches!(body, Body::AskPreVote { .. } | Body::PreVote { .. })
            && !self.meet(term, &body, now)
        {
            return;
        }
        match body {
            Body::AskPreVote { last } => self.answer_pre_vote(from, term, &last, now),
            Body::PreVote { granted } => self.count_pre_vote(from, term, granted, now),
            Body::AskVote { last, handover } => {
                self.answer_vote(from, &last, handover, now);
            }
            Body::Vote { granted } => self.count_vote(from, granted, now),
            Body::Append(append) => self.follow(from, append, now),
            Body::Appended { stored, sent } => self.appended(from, stored, sent, now),
            Body::Gap { next, sent } => self.gap(from, next, sent, now),
            Body::Handover => self.stand(true, now),
        }
    }

    /// Compares terms; false if the message is to be dropped.
    fn meet(&mut self, term: Term, body: &Body, now: Time) -> bool {
        if term < self.ballot.term {
            return false;
        }
        if term > self.ballot.term {
            let asks = matches!(
                body,
                Body::AskVote {
                    handover: false,
                    ..
                }
            );
            if asks && self.hears_leader(now) {
                return false;
            }
            self.ballot = Ballot { term, vote: None };
            self.outputs.push(Output::Save(self.ballot));
            self.become_follower(None, now);
        }
        true
    }

    /// Whether a leader may count on this node not to help another one.
    fn hears_leader(&self, now: Time) -> bool {
        match self.role {
            Role::Leader => self.leads(now),
            _ => now.since(self.heard) < self.setup.timing.election,
        }
    }

    fn answer_pre_vote(&mut self, to: id::Node, term: Term, last: &Position, now: Time) {
        let granted = term > self.ballot.term
            && !self.hears_leader(now)
            && last.covers(&self.log.last());
        let term = if granted { term } else { self.ballot.term };
        let message = Message {
            term,
            body: Body::PreVote { granted },
        };
        self.outputs.push(Output::Send(to, message));
    }

    fn count_pre_vote(&mut self, from: id::Node, term: Term, granted: bool, now: Time) {
        if self.role != Role::PreCandidate {
            return;
        }
        if !granted {
            if term > self.ballot.term {
                self.ballot = Ballot { term, vote: None };
                self.outputs.push(Output::Save(self.ballot));
                self.become_follower(None, now);
            }
            return;
        }
        if term.0 != self.ballot.term.0 + 1 {
            return;
        }
        self.granted.insert(from);
        if self.has_won() {
            self.stand(false, now);
        }
    }

    fn answer_vote(&mut self, to: id::Node, last: &Position, handover: bool, now: Time) {
        let free = self.ballot.vote.is_none_or(|vote| vote == to);
        let quiet = handover || !self.hears_leader(now);
        let granted = free && quiet && last.covers(&self.log.last());
        if granted && self.ballot.vote.is_none() {
            self.ballot.vote = Some(to);
            self.outputs.push(Output::Save(self.ballot));
            self.rest(now);
        }
        self.send(to, Body::Vote { granted });
    }

    fn count_vote(&mut self, from: id::Node, granted: bool, now: Time) {
        if self.role != Role::Candidate || !granted {
            return;
        }
        self.granted.insert(from);
        if self.has_won() {
            self.lead(now);
        }
    }

    fn has_won(&self) -> bool {
        self.voters.carry(|node| self.granted.contains(&node))
    }

    /// Puts the next election off by a random time.
    fn rest(&mut self, now: Time) {
        let shortest = self.setup.timing.election.as_millis();
        let silence = self.random.random_range(shortest..=2 * shortest);
        self.due = now.after(Span::from_millis(silence));
    }

    fn become_follower(&mut self, leader: Option<id::Node>, now: Time) {
        let role = Role::Follower(leader);
        if self.role == Role::Leader {
            self.heard = now;
        }
        if self.role != role {
            self.role = role;
            self.outputs.push(Output::Role(role));
        }
        self.peers.clear();
        self.granted.clear();
        self.rest(now);
    }

    fn ask_pre_votes(&mut self, now: Time) {
        self.rest(now);
        if !self.voters.contains(self.setup.node) {
            return;
        }
        self.change_role(Role::PreCandidate);
        self.granted.clear();
        self.granted.insert(self.setup.node);
        if self.has_won() {
            return self.stand(false, now);
        }
        let term = Term(self.ballot.term.0 + 1);
        let body = Body::AskPreVote {
            last: self.log.last(),
        };
        for node in self.others() {
            let message = Message {
                term,
                body: body.clone(),
            };
            self.outputs.push(Output::Send(node, message));
        }
    }

    fn stand(&mut self, handover: bool, now: Time) {
        if !self.voters.contains(self.setup.node) {
            return;
        }
        let term = Term(self.ballot.term.0 + 1);
        self.ballot = Ballot {
            term,
            vote: Some(self.setup.node),
        };
        self.outputs.push(Output::Save(self.ballot));
        self.change_role(Role::Candidate);
        self.granted.clear();
        self.granted.insert(self.setup.node);
        self.rest(now);
        if self.has_won() {
            return self.lead(now);
        }
        let last = self.log.last();
        for node in self.others() {
            self.send(node, Body::AskVote { last, handover });
        }
    }

    fn lead(&mut self, now: Time) {
        self.change_role(Role::Leader);
        let next = self.log.last().index.next();
        self.first = next;
        let nodes = self
            .voters
            .iter()
            .chain(self.setup.learners.iter().copied());
        self.peers = nodes
            .filter(|&node| node != self.setup.node)
            .map(|node| (node, Peer::new(next)))
            .collect();
        self.due = now.after(self.setup.timing.heartbeat);
        self.push([Payload::Empty]);
        self.send_to_all(now);
        self.advance();
    }

    fn change_role(&mut self, role: Role) {
        if self.role != role {
            self.role = role;
            self.outputs.push(Output::Role(role));
        }
    }

    fn others(&self) -> Vec<id::Node> {
        let me = self.setup.node;
        self.voters.iter().filter(|&node| node != me).collect()
    }

    fn send(&mut self, to: id::Node, body: Body) {
        let message = Message {
            term: self.ballot.term,
            body,
        };
        self.outputs.push(Output::Send(to, message));
    }

    fn push(&mut self, payloads: impl IntoIterator<Item = Payload>) -> Vec<Index> {
        let mut index = self.log.last().index;
        let mut entries = Vec::new();
        for payload in payloads {
            index = index.next();
            let entry = Entry {
                index,
                term: self.ballot.term,
                payload,
            };
            self.log.push(entry.clone());
            entries.push(entry);
        }
        let indexes = entries.iter().map(|entry| entry.index).collect();
        if !entries.is_empty() {
            self.outputs.push(Output::Store(entries));
        }
        indexes
    }

    fn send_to_all(&mut self, now: Time) {
        let nodes: Vec<id::Node> = self.peers.keys().copied().collect();
        for node in nodes {
            self.send_entries(node, now);
        }
    }

    /// Sends what a peer lacks, or a heartbeat, and counts on its arrival.
    fn send_entries(&mut self, to: id::Node, now: Time) {
        let Some(peer) = self.peers.get_mut(&to) else {
            return;
        };
        let before = peer.next.prev();
        let Some(term) = self.log.term(before) else {
            return;
        };
        let entries = self.log.from(peer.next, APPEND_LIMIT).to_vec();
        if let Some(last) = entries.last() {
            peer.next = last.index.next();
        }
        let append = Append {
            prev: Position {
                index: before,
                term,
            },
            entries,
            commit: self.commit,
            sent: now.as_millis(),
        };
        self.send(to, Body::Append(append));
    }

    fn follow(&mut self, from: id::Node, append: Append, now: Time) {
        if self.role != Role::Follower(Some(from)) {
            self.become_follower(Some(from), now);
        }
        self.heard = now;
        self.rest(now);
        let Append {
            prev,
            entries,
            commit,
            sent,
        } = append;
        if self.log.term(prev.index) != Some(prev.term) {
            let next = self.log.last().index.next().min(prev.index);
            return self.send(from, Body::Gap { next, sent });
        }
        let newest = Index(prev.index.0 + entries.len() as u64);
        self.store(entries);
        self.commit = self.commit.max(commit.min(newest));
        self.apply();
        self.send(
            from,
            Body::Appended {
                stored: newest,
                sent,
            },
        );
    }

    fn store(&mut self, entries: Vec<Entry>) {
        let known = |entry: &&Entry| self.log.term(entry.index) == Some(entry.term);
        let skip = entries.iter().take_while(known).count();
        let fresh: Vec<Entry> = entries.into_iter().skip(skip).collect();
        let Some(first) = fresh.first() else {
            return;
        };
        self.log.cut(first.index);
        for entry in &fresh {
            self.log.push(entry.clone());
        }
        self.voters = self.log.voters().unwrap_or(&self.setup.voters).clone();
        self.outputs.push(Output::Store(fresh));
    }

    fn appended(&mut self, from: id::Node, stored: Index, sent: u64, now: Time) {
        let last = self.log.last().index;
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.confirm(sent);
        peer.stored = peer.stored.max(stored);
        peer.next = peer.next.max(peer.stored.next());
        let behind = peer.next <= last;
        self.advance();
        if behind {
            self.send_entries(from, now);
        }
    }

    fn gap(&mut self, from: id::Node, next: Index, sent: u64, now: Time) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.confirm(sent);
        peer.next = next.max(peer.stored.next());
        self.send_entries(from, now);
    }

    /// Commits what a majority has stored, if it is of the own term.
    fn advance(&mut self) {
        let last = self.log.last().index;
        let me = self.setup.node;
        let stored = self.voters.reached(|node| match self.peers.get(&node) {
            Some(peer) => peer.stored,
            None if node == me => last,
            None => Index(0),
        });
        let Some(stored) = stored else {
            return;
        };
        if stored > self.commit && self.log.term(stored) == Some(self.ballot.term) {
            self.commit = stored;
        }
        self.apply();
    }

    fn apply(&mut self) {
        if self.commit <= self.applied {
            return;
        }
        let entries = self.log.between(self.applied.next(), self.commit);
        self.applied = self.commit;
        self.outputs.push(Output::Apply(entries));
    }
}
