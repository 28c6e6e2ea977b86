//! The state machine of one node.

mod election;
mod follower;
mod membership;
mod replication;
mod snapshot;

use indexmap::{IndexMap, IndexSet};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::consensus::log::Log;
use crate::consensus::node::follower::IncomingSnapshot;
use crate::consensus::peer::Peer;
use crate::consensus::{
    Attributes, Ballot, Body, DurableState, IdentityStatus, Index, Message, NotLeader,
    Output, Payload, Position, Role, Setup, Snapshot, Term, Voters,
};
use crate::id;
use crate::unit::Time;

/// One node of the replicated log, as a state machine without I/O.
///
/// Call [`Node::tick`] at [`Node::due`], and carry out the outputs that
/// [`Node::take_outputs`] returns after each call.
#[derive(Debug, Clone)]
pub struct Node {
    setup: Setup,
    attributes: Attributes,
    /// How many voters the leader aims at.
    target_voters: usize,
    random: ChaCha8Rng,
    identity_status: IdentityStatus,
    /// Random per process start; tells replies to this process from those to
    /// an earlier one while the identity is unverified.
    incarnation: u64,
    ballot: Ballot,
    log: Log,
    snapshot: Option<Snapshot>,
    /// The snapshot that is being received.
    incoming: Option<IncomingSnapshot>,
    role: Role,
    votes: IndexSet<id::Node>,
    /// Whether the node has neither followed, voted nor started an election
    /// since its process started.
    no_leader_seen: bool,
    /// The nodes that have reported in this round of pre-votes that they have
    /// seen no leader either.
    no_leader_reports: IndexSet<id::Node>,
    peers: IndexMap<id::Node, Peer>,
    /// The number of the newest message sent in this term that wants a reply.
    last_seq: u64,
    commit_index: Index,
    applied_index: Index,
    /// The index of the first entry of this leader's term.
    term_start: Index,
    /// When the node last heard from a leader, led itself, or started.
    leader_heard_at: Time,
    /// When the node last announced itself to its current leader.
    announced_at: Option<Time>,
    /// When the election timer ends or, on a leader, the next heartbeat is due.
    due: Time,
    /// The latest time passed to the node.
    latest_time: Time,
    outputs: Vec<Output>,
}

impl Node {
    /// Creates a node from the state on its disk.
    ///
    /// The node starts as a follower. It grants no vote until the lease of a
    /// leader that it may have followed before a restart has run out. An empty
    /// disk is taken for that of a founding member, unless
    /// [`Node::in_existing_cell`] is called.
    #[must_use]
    pub fn new(setup: Setup, durable: DurableState, now: Time) -> Self {
        let (base, voters) = match &durable.snapshot {
            Some(snapshot) => (snapshot.last, snapshot.voters.clone()),
            None => (Position::default(), setup.voters.clone()),
        };
        let after = |entry: &crate::consensus::Entry| entry.index > base.index;
        let entries = durable.entries.into_iter().filter(after).collect();
        let mut node = Self {
            random: ChaCha8Rng::seed_from_u64(setup.seed),
            target_voters: setup.voters.len(),
            setup,
            attributes: Attributes::default(),
            identity_status: IdentityStatus::Valid,
            incarnation: 0,
            ballot: durable.ballot,
            log: Log::new(base, voters, entries),
            snapshot: durable.snapshot,
            incoming: None,
            role: Role::Follower(None),
            votes: IndexSet::new(),
            no_leader_seen: true,
            no_leader_reports: IndexSet::new(),
            peers: IndexMap::new(),
            last_seq: 0,
            commit_index: base.index,
            applied_index: base.index,
            term_start: Index(0),
            leader_heard_at: now,
            announced_at: None,
            due: now,
            latest_time: now,
            outputs: Vec::new(),
        };
        node.incarnation = node.random.random();
        node.set_initial_timer(now);
        node
    }

    /// Sets the node's attributes. By default it has a disk and the default
    /// failure domain.
    #[must_use]
    pub fn with_attributes(mut self, attributes: Attributes) -> Self {
        self.attributes = attributes;
        self
    }

    /// Sets how many voters the leader aims at. By default it is the number of
    /// founding voters.
    #[must_use]
    pub fn with_target_voters(mut self, voters: usize) -> Self {
        self.target_voters = voters;
        self
    }

    /// Declares that the cell already exists. An empty disk may then have been
    /// wiped, and the node must not vote again in terms in which it has voted,
    /// so its identity is unverified until a leader confirms it.
    ///
    /// ```
    /// use gentianlane::consensus::{DurableState, IdentityStatus, Node, Setup, Timing};
    /// use gentianlane::{id, unit::Time};
    /// let setup = Setup {
    ///     node: id::Node(1),
    ///     voters: [1, 2, 3].map(id::Node).into_iter().collect(),
    ///     learners: Vec::new(),
    ///     timing: Timing::default(),
    ///     seed: 1,
    /// };
    /// let node = Node::new(setup, DurableState::default(), Time::default());
    /// assert_eq!(node.identity_status(), IdentityStatus::Valid);
    /// assert_eq!(node.in_existing_cell().identity_status(), IdentityStatus::Unverified);
    /// ```
    #[must_use]
    pub fn in_existing_cell(mut self) -> Self {
        let blank = self.ballot == Ballot::default() && self.last_index() == Index(0);
        if blank {
            self.identity_status = IdentityStatus::Unverified;
            // It can't vote, so it needn't wait: it announces itself at once.
            self.due = self.latest_time;
        }
        self
    }

    /// The node's own identity.
    #[must_use]
    pub fn id(&self) -> id::Node {
        self.setup.node
    }

    /// The node's current role.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether the node may use its identity.
    #[must_use]
    pub fn identity_status(&self) -> IdentityStatus {
        self.identity_status
    }

    /// The newest term that the node has seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.ballot.term
    }

    /// The newest voters in this node's log, whether committed or not.
    #[must_use]
    pub fn voters(&self) -> &Voters {
        self.log.voters()
    }

    /// The leader of the current term, if the node knows it.
    #[must_use]
    pub fn leader(&self) -> Option<id::Node> {
        match self.role {
            Role::Leader => Some(self.setup.node),
            Role::Follower(leader) => leader,
            Role::PreCandidate | Role::Candidate => None,
        }
    }

    /// The highest index that was returned in an [`Output::Apply`] or covered by
    /// a snapshot.
    #[must_use]
    pub fn applied_index(&self) -> Index {
        self.applied_index
    }

    /// The highest index in this node's log.
    #[must_use]
    pub fn last_index(&self) -> Index {
        self.log.last().index
    }

    /// The position before the first entry that this node still holds in memory.
    #[must_use]
    pub fn base(&self) -> Position {
        self.log.base()
    }

    /// The peers of this leader and the highest index known to be stored at each.
    pub fn peers(&self) -> impl Iterator<Item = (id::Node, Index)> {
        self.peers
            .iter()
            .map(|(&node, peer)| (node, peer.match_index))
    }

    /// When this leader's lease ends, on its own clock. Until then no other node
    /// can lead.
    ///
    /// `None` unless the node leads and has applied an entry of its own term, so
    /// that its state includes everything committed before.
    #[must_use]
    pub fn lease_expiry(&self) -> Option<Time> {
        if self.role != Role::Leader || self.applied_index < self.term_start {
            return None;
        }
        let lease = self
            .setup
            .timing
            .election_timeout
            .saturating_sub(self.setup.timing.clock_drift_margin);
        let me = self.setup.node;
        let confirmed = self
            .voters()
            .quorum_value(|node| match self.peers.get(&node) {
                _ if node == me => Some(Time::from_millis(u64::MAX)),
                Some(peer) if !peer.disk_lost => peer.acked_sent_at,
                Some(_) | None => None,
            });
        confirmed.flatten().map(|sent| sent.after(lease))
    }

    /// Whether the node leads and holds its lease at `now`, so that no other
    /// node can lead.
    #[must_use]
    pub fn holds_lease(&self, now: Time) -> bool {
        self.lease_expiry().is_some_and(|until| now < until)
    }

    /// The number of the newest message that this leader has sent in its term.
    #[must_use]
    pub fn last_seq(&self) -> u64 {
        self.last_seq
    }

    /// The number of the newest message that a majority has acknowledged; zero
    /// unless the node leads.
    ///
    /// A request that arrived before that message was sent arrived while this
    /// node led, independently of clocks. The lease alone doesn't show this: the
    /// clock of a suspended VM stands still, so its lease seems to run on after
    /// it has ended elsewhere.
    #[must_use]
    pub fn quorum_seq(&self) -> u64 {
        if self.role != Role::Leader {
            return 0;
        }
        let me = self.setup.node;
        let confirmed = self
            .voters()
            .quorum_value(|node| match self.peers.get(&node) {
                _ if node == me => u64::MAX,
                Some(peer) if !peer.disk_lost => peer.acked_seq,
                Some(_) | None => 0,
            });
        confirmed.unwrap_or(0)
    }

    /// When [`Node::tick`] has to be called next.
    #[must_use]
    pub fn due(&self) -> Time {
        self.due
    }

    /// Takes the outputs since the last call, in the order in which they have to
    /// be carried out.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Appends commands to the log as one batch, and returns their indexes.
    ///
    /// # Errors
    ///
    /// [`NotLeader`] if this node isn't the leader; nothing is appended.
    pub fn propose(
        &mut self,
        commands: impl IntoIterator<Item = Vec<u8>>,
        now: Time,
    ) -> Result<Vec<Index>, NotLeader> {
        self.latest_time = self.latest_time.max(now);
        if self.role != Role::Leader {
            return Err(NotLeader {
                leader: self.leader(),
            });
        }
        let payloads = commands.into_iter().map(Payload::Command);
        let indexes = self.append_to_log(payloads);
        self.replicate_to_all(now);
        self.advance_commit(now);
        Ok(indexes)
    }

    /// Sends heartbeats and repairs the voters on a leader, or handles an
    /// election timeout on other nodes; does nothing before [`Node::due`].
    pub fn tick(&mut self, now: Time) {
        self.latest_time = self.latest_time.max(now);
        if now < self.due || self.identity_status == IdentityStatus::Revoked {
            return;
        }
        match self.role {
            Role::Leader => {
                self.due = now.after(self.setup.timing.heartbeat_interval);
                self.send_heartbeats(now);
                self.repair_voters(now);
            }
            Role::Follower(_) | Role::PreCandidate | Role::Candidate => {
                self.handle_election_timeout(now);
            }
        }
    }

    /// Handles a message from another node.
    pub fn receive(&mut self, from: id::Node, message: Message, now: Time) {
        self.latest_time = self.latest_time.max(now);
        let Message { term, body } = message;
        if self.identity_status == IdentityStatus::Revoked || from == self.setup.node {
            return;
        }
        if !matches!(
            body,
            Body::PreVoteRequest { .. } | Body::PreVoteReply { .. }
        ) && !self.check_term(from, term, &body, now)
        {
            return;
        }
        match body {
            Body::PreVoteRequest { last } => {
                self.handle_pre_vote_request(from, term, &last, now);
            }
            Body::PreVoteReply {
                granted,
                no_leader_seen,
            } => {
                self.handle_pre_vote_reply(from, term, granted, no_leader_seen, now);
            }
            Body::VoteRequest { last, ignore_lease } => {
                self.handle_vote_request(from, &last, ignore_lease, now);
            }
            Body::VoteReply { granted } => self.handle_vote_reply(from, granted, now),
            Body::Append(append) => self.handle_append(from, append, now),
            Body::AppendAck { match_index, seq } => {
                self.handle_append_ack(from, match_index, seq, now);
            }
            Body::AppendReject { next_index, seq } => {
                self.handle_append_reject(from, next_index, seq, now);
            }
            Body::Chunk(chunk) => self.handle_chunk(from, chunk, now),
            Body::ChunkAck { last, offset, seq } => {
                self.handle_chunk_ack(from, last, offset, seq, now);
            }
            Body::TimeoutNow => self.start_election(true, now),
            Body::Announce(attributes) => self.handle_announce(from, attributes, now),
            Body::Redirect { leader } => {
                self.send(leader, Body::Announce(self.attributes.clone()));
            }
            Body::VerifyIdentity { incarnation } => {
                self.handle_verify_identity(from, incarnation, now);
            }
            Body::IdentityValid { incarnation } => {
                self.handle_identity_valid(incarnation);
            }
            Body::IdentityRevoked { incarnation } => {
                self.handle_identity_revoked(incarnation);
            }
            Body::StaleTerm => {}
        }
    }

    fn send(&mut self, to: id::Node, body: Body) {
        let message = Message {
            term: self.ballot.term,
            body,
        };
        self.outputs.push(Output::Send(to, message));
    }

    /// All other nodes that this one knows: founding voters, configured learners,
    /// current voters and peers.
    fn known_nodes(&self) -> IndexSet<id::Node> {
        let founders = self.setup.voters.iter();
        let learners = self.setup.learners.iter().copied();
        let peers = self.peers.keys().copied();
        let all = founders.chain(learners).chain(self.voters().iter());
        let me = self.setup.node;
        all.chain(peers).filter(|&node| node != me).collect()
    }
}
