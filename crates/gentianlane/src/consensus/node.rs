//! One node's part in the agreement.

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

/// One node's part in the agreement, without I/O.
#[derive(Debug, Clone)]
pub struct Node {
    setup: Setup,
    attributes: Attributes,
    /// How many voters there should be.
    target_voters: usize,
    random: ChaCha8Rng,
    identity_status: IdentityStatus,
    /// Tells this start of the node from others while its disk is blank.
    incarnation: u64,
    ballot: Ballot,
    log: Log,
    snapshot: Option<Snapshot>,
    /// A snapshot that is coming in.
    incoming: Option<IncomingSnapshot>,
    role: Role,
    votes: IndexSet<id::Node>,
    /// Whether the node has followed nobody and hasn't led since it began.
    no_leader_seen: bool,
    /// The nodes that have said the same of themselves for the next term.
    no_leader_reports: IndexSet<id::Node>,
    peers: IndexMap<id::Node, Peer>,
    /// How many messages that are to be answered were sent in this term.
    last_seq: u64,
    commit_index: Index,
    applied_index: Index,
    /// The first entry of the own term, if the node leads.
    term_start: Index,
    /// When a leader was last heard.
    leader_heard_at: Time,
    /// When the node last announced itself to the present leader.
    announced_at: Option<Time>,
    /// When the node stands, or a leader sends its next heartbeat.
    due: Time,
    /// The newest time that was given.
    latest_time: Time,
    outputs: Vec<Output>,
}

impl Node {
    /// A node with what its disk holds.
    ///
    /// It follows at first, and votes for nobody until a leader that it may
    /// have heard before its restart can't count on it any more. A disk that
    /// holds nothing is taken for that of a founding member; see
    /// [`Node::in_existing_cell`].
    #[must_use]
    pub fn new(setup: Setup, saved: DurableState, now: Time) -> Self {
        let (base, voters) = match &saved.snapshot {
            Some(snapshot) => (snapshot.last, snapshot.voters.clone()),
            None => (Position::default(), setup.voters.clone()),
        };
        let after = |entry: &crate::consensus::Entry| entry.index > base.index;
        let entries = saved.entries.into_iter().filter(after).collect();
        let mut node = Self {
            random: ChaCha8Rng::seed_from_u64(setup.seed),
            target_voters: setup.voters.len(),
            setup,
            attributes: Attributes::default(),
            identity_status: IdentityStatus::Valid,
            incarnation: 0,
            ballot: saved.ballot,
            log: Log::new(base, voters, entries),
            snapshot: saved.snapshot,
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

    /// Says where the node stands; without this it has a disk and no domain.
    #[must_use]
    pub fn with_attributes(mut self, attributes: Attributes) -> Self {
        self.attributes = attributes;
        self
    }

    /// Says how many voters there should be; without this, as many as there
    /// were at the beginning.
    #[must_use]
    pub fn with_target_voters(mut self, voters: usize) -> Self {
        self.target_voters = voters;
        self
    }

    /// Says that the cell isn't new: a disk that holds nothing may have been
    /// wiped, and then its old votes must not be given a second time.
    ///
    /// ```
    /// use gentianlane::consensus::{Node, DurableState, Setup, IdentityStatus, Timing};
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
            // It has nobody to vote for, so it announces itself at once.
            self.due = self.latest_time;
        }
        self
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

    /// What the node may do with its identity.
    #[must_use]
    pub fn identity_status(&self) -> IdentityStatus {
        self.identity_status
    }

    /// The newest term that the node knows.
    #[must_use]
    pub fn term(&self) -> Term {
        self.ballot.term
    }

    /// The voters in force here.
    #[must_use]
    pub fn voters(&self) -> &Voters {
        self.log.voters()
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
    pub fn applied_index(&self) -> Index {
        self.applied_index
    }

    /// The newest index that is stored here.
    #[must_use]
    pub fn last_index(&self) -> Index {
        self.log.last().index
    }

    /// The entry before the first one that is still kept.
    #[must_use]
    pub fn base(&self) -> Position {
        self.log.base()
    }

    /// The other nodes and the newest index known to be stored at each.
    pub fn peers(&self) -> impl Iterator<Item = (id::Node, Index)> {
        self.peers
            .iter()
            .map(|(&node, peer)| (node, peer.match_index))
    }

    /// Until when no other node can lead, on this node's clock.
    ///
    /// `None` unless the node leads and has applied an entry of its own term,
    /// so that its state is as new as any.
    #[must_use]
    pub fn lease_expiry(&self) -> Option<Time> {
        if self.role != Role::Leader || self.applied_index < self.term_start {
            return None;
        }
        let lease = self
            .setup
            .timing
            .election_timeout
            .less(self.setup.timing.clock_drift_margin);
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

    /// Whether the node leads and no other can at `now`.
    #[must_use]
    pub fn holds_lease(&self, now: Time) -> bool {
        self.lease_expiry().is_some_and(|until| now < until)
    }

    /// The number of the newest message that this leader has sent.
    #[must_use]
    pub fn last_seq(&self) -> u64 {
        self.last_seq
    }

    /// The number of the newest message that a majority has confirmed.
    ///
    /// What arrived before that message was sent arrived while this node led,
    /// whatever its clock did in between: a clock that stands still with a
    /// suspended VM keeps a lease alive that has long ended elsewhere.
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

    /// When [`Node::tick`] is due.
    #[must_use]
    pub fn due(&self) -> Time {
        self.due
    }

    /// Takes what has to be done since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
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

    /// Does what the time asks for.
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

    /// Takes a message from another node.
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
                self.handle_pre_vote_request(from, term, &last, now)
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
                self.handle_identity_valid(incarnation)
            }
            Body::IdentityRevoked { incarnation } => {
                self.handle_identity_revoked(incarnation)
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

    /// All other nodes that this one knows.
    fn known_nodes(&self) -> IndexSet<id::Node> {
        let founders = self.setup.voters.iter();
        let learners = self.setup.learners.iter().copied();
        let peers = self.peers.keys().copied();
        let all = founders.chain(learners).chain(self.voters().iter());
        let me = self.setup.node;
        all.chain(peers).filter(|&node| node != me).collect()
    }
}
