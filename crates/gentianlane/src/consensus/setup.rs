//! What a node is given, and what it wants done.

use serde::{Deserialize, Serialize};

use crate::consensus::{Entry, Message, Position, Term, Voters};
use crate::id;
use crate::unit::Span;

/// How long things take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How often a leader speaks to every other voter.
    pub heartbeat_interval: Span,
    /// The shortest silence after which a node stands for election; the
    /// longest is twice that.
    pub election_timeout: Span,
    /// How much of the shortest silence a leader doesn't count on, since two
    /// clocks may run at different rates.
    pub clock_drift_margin: Span,
    /// The silence after which a learner gets a voter's place.
    pub replacement_delay: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Span::from_millis(200),
            election_timeout: Span::from_millis(1_000),
            clock_drift_margin: Span::from_millis(100),
            replacement_delay: Span::from_secs(30),
        }
    }
}

/// What a node is given when it starts.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The node itself.
    pub node: id::Node,
    /// The voters at the cell's very beginning; their number is kept.
    pub voters: Voters,
    /// The nodes that get the log without a vote.
    ///
    /// Others are taken in as learners when they announce themselves.
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
pub struct DurableState {
    /// Its promise.
    pub ballot: Ballot,
    /// The state as it was at some entry, in place of the log up to there.
    pub snapshot: Option<Snapshot>,
    /// Its log, after the snapshot.
    pub entries: Vec<Entry>,
}

impl DurableState {
    /// Whether the disk holds no promise and no entry.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.ballot == Ballot::default()
            && self.snapshot.is_none()
            && self.entries.is_empty()
    }
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

/// What a node may do with its identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdentityStatus {
    /// It holds all that it has ever promised.
    Valid,
    /// Its disk is empty and the cell isn't new: it stores nothing and gives
    /// no vote until a leader has said that it never had one.
    Unverified,
    /// A leader has found that its disk lost what it had promised. It has to
    /// come back under another identity.
    Revoked,
}

/// What has to be done, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Write the promise and sync before anything that follows.
    Save(Ballot),
    /// Drop what is stored from the first entry's index on, write these, and
    /// sync before anything that follows.
    Store(Vec<Entry>),
    /// Write the snapshot and sync; then the entries up to its last may go.
    Snapshot(Snapshot),
    /// Replace the state by this one, from a snapshot.
    Restore(Vec<u8>),
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

/// One step from some voters to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoterChange {
    /// Give a learner a vote.
    Add(id::Node),
    /// Take a voter's vote.
    Remove(id::Node),
}

/// Why the voters weren't changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum ChangeError {
    /// Another node has to be asked.
    #[display("this node doesn't lead")]
    NotLeader,
    /// The last change, or the leader's first entry, isn't committed yet.
    #[display("an earlier change isn't committed yet")]
    Pending,
    /// The node can't be added or removed.
    #[display("the node has no disk, lags behind, or has no vote to take")]
    Ineligible,
}
