//! A node's configuration and stored state, its outputs, and its errors.

use serde::{Deserialize, Serialize};

use crate::consensus::{Entry, Message, Position, Term, Voters};
use crate::id;
use crate::unit::Span;

/// The intervals and timeouts of replication and elections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How often a leader sends a heartbeat to every other voter.
    pub heartbeat_interval: Span,
    /// The shortest time without a leader after which a voter starts an
    /// election. The actual time is random, up to twice as long. Also the time
    /// after which a leader sends unacknowledged entries and chunks again.
    pub election_timeout: Span,
    /// How much shorter than `election_timeout` a leader's lease is, since two
    /// clocks may run at different rates.
    pub clock_drift_margin: Span,
    /// How long a voter may be silent before a learner replaces it, and how long
    /// a learner must be known before it is added to spread voters over domains.
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

/// The configuration with which a node starts.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The node's own identity.
    pub node: id::Node,
    /// The founding voters of the cell. Their number is the target for later
    /// voter changes unless [`Node::with_target_voters`] sets another.
    ///
    /// [`Node::with_target_voters`]: crate::consensus::Node::with_target_voters
    pub voters: Voters,
    /// The nodes that receive the log without a vote.
    ///
    /// A leader adds other nodes as learners when they announce themselves.
    pub learners: Vec<id::Node>,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Seeds the generator that randomises election timeouts.
    pub seed: u64,
}

/// A node's term and vote, which must be on disk before it acts on them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// The newest term that the node has seen.
    pub term: Term,
    /// The candidate that got the node's vote in that term.
    pub vote: Option<id::Node>,
}

/// The state that a node loads from its disk when it starts.
#[derive(Debug, Default, Clone)]
pub struct DurableState {
    /// The last term and vote written.
    pub ballot: Ballot,
    /// The newest snapshot, which replaces the log up to its last entry.
    pub snapshot: Option<Snapshot>,
    /// The log entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl DurableState {
    /// Whether the disk holds no vote, snapshot or entry.
    #[must_use]
    pub fn is_blank(&self) -> bool {
        self.ballot == Ballot::default()
            && self.snapshot.is_none()
            && self.entries.is_empty()
    }
}

/// The application's state after some entry of the log.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that the state covers.
    pub last: Position,
    /// The voters in force at that entry.
    pub voters: Voters,
    /// The encoded state, opaque to this module.
    pub data: Vec<u8>,
}

/// Whether a node may use its identity to vote and to store the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdentityStatus {
    /// The disk holds every vote and entry that the node has acknowledged.
    Valid,
    /// The disk is empty although the cell isn't new. The node stores nothing
    /// and doesn't vote until a leader confirms that it never had a vote.
    Unverified,
    /// A leader has found that the disk lost acknowledged votes or entries.
    /// The node has to restart under another identity.
    Revoked,
}

/// An effect that the caller carries out, in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Write the term and vote, and sync before any later output.
    Save(Ballot),
    /// Truncate the stored log at the first entry's index, append the entries,
    /// and sync before any later output.
    Store(Vec<Entry>),
    /// Write the snapshot and sync. Entries up to its last one may then be
    /// deleted.
    Snapshot(Snapshot),
    /// Replace the application's state by the data of a snapshot.
    Restore(Vec<u8>),
    /// Send a message to a node.
    Send(id::Node, Message),
    /// Apply committed entries to the state, in order and exactly once.
    Apply(Vec<Entry>),
    /// The node's role has changed.
    Role(Role),
}

/// A node's role in its current term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one if none is given.
    Follower(Option<id::Node>),
    /// Asks whether it could win an election, without starting a new term.
    PreCandidate,
    /// Requests votes in its own new term.
    Candidate,
    /// Appends commands to the log and replicates it.
    Leader,
}

/// A proposal reached a node that isn't the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("this node isn't the leader")]
pub struct NotLeader {
    /// The leader, if the node knows it.
    pub leader: Option<id::Node>,
}

/// A change of the voters by one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoterChange {
    /// Promote a learner to a voter.
    Add(id::Node),
    /// Remove a voter.
    Remove(id::Node),
}

/// Why a change of the voters was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum ChangeError {
    /// Only the leader changes the voters.
    #[display("this node isn't the leader")]
    NotLeader,
    /// The previous change, or the first entry of the leader's term, isn't
    /// committed yet.
    #[display("the previous voter change isn't committed yet")]
    Pending,
    /// The node can't be added or removed as asked.
    #[display("the node isn't an eligible learner, or isn't a removable voter")]
    Ineligible,
}
