//! What nodes say to one another.

use serde::{Deserialize, Serialize};

use crate::consensus::{Entry, Index, Term, Voters};
use crate::id;

/// A message between two nodes of one cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's term.
    pub term: Term,
    /// What is said.
    pub body: Body,
}

/// An entry known by its index and term.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Where the entry stands.
    pub index: Index,
    /// The term in which a leader took it up.
    pub term: Term,
}

impl Position {
    /// Whether a log that ends here holds all that one ending at `other` does.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Would you vote for me in the next term? Changes nothing.
    PreVoteRequest {
        /// The end of the sender's log.
        last: Position,
    },
    /// The answer to [`Body::PreVoteRequest`].
    PreVoteReply {
        /// Whether the vote would be given.
        granted: bool,
        /// Whether the sender has followed nobody and hasn't led since its
        /// process began.
        no_leader_seen: bool,
    },
    /// Vote for me in this term.
    VoteRequest {
        /// The end of the sender's log.
        last: Position,
        /// Whether the leader itself asked the sender to stand.
        ignore_lease: bool,
    },
    /// The answer to [`Body::VoteRequest`].
    VoteReply {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries, or none as a heartbeat.
    Append(Append),
    /// The entries were stored.
    AppendAck {
        /// The newest index that is stored as the leader has it.
        match_index: Index,
        /// [`Append::seq`], unchanged.
        seq: u64,
    },
    /// The entries don't follow on what is stored.
    AppendReject {
        /// Where the leader should go on from.
        next_index: Index,
        /// [`Append::seq`], unchanged.
        seq: u64,
    },
    /// A part of a snapshot.
    Chunk(Chunk),
    /// The answer to [`Body::Chunk`] while more is wanted.
    ChunkAck {
        /// The last index that the snapshot covers.
        last: Index,
        /// How many of its bytes are there without a gap.
        offset: u64,
        /// [`Chunk::seq`], unchanged.
        seq: u64,
    },
    /// Stand for election now: the leader is leaving.
    TimeoutNow,
    /// Where the sender stands, so that a leader can count on it.
    Announce(Attributes),
    /// Announce yourself to this node, which leads.
    Redirect {
        /// The leader.
        leader: id::Node,
    },
    /// The sender's disk holds nothing, though it may have held a vote.
    VerifyIdentity {
        /// Drawn anew at each start, so that no answer outlives its question.
        incarnation: u64,
    },
    /// The receiver has no vote to lose and may store the log.
    IdentityValid {
        /// [`Body::VerifyIdentity`]'s, unchanged.
        incarnation: u64,
    },
    /// The receiver's disk has lost what it had promised: its identity is void.
    IdentityRevoked {
        /// [`Body::VerifyIdentity`]'s, unchanged, if this answers one.
        incarnation: Option<u64>,
    },
    /// The receiver's term is over.
    StaleTerm,
}

/// A leader's entries for a follower.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The entry before the first one here.
    pub prev: Position,
    /// The entries, in order and without a gap.
    pub entries: Vec<Entry>,
    /// The newest index that the leader knows to be committed.
    pub commit_index: Index,
    /// Counts the leader's messages of this term, so that it knows from the
    /// answer when it had asked.
    pub seq: u64,
}

/// A part of a snapshot's data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The last entry that the snapshot covers.
    pub last: Position,
    /// The voters at that entry.
    pub voters: Voters,
    /// How many bytes the whole data has.
    pub total: u64,
    /// Where this part begins in the data, in bytes.
    pub offset: u64,
    /// This part.
    pub data: Vec<u8>,
    /// Counts the leader's messages of this term.
    pub seq: u64,
}

/// Where a node stands, and what it can do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attributes {
    /// Whether the node has a disk, and so may get a vote.
    pub disk: bool,
    /// Its failure domain.
    pub domain: id::Domain,
}

impl Default for Attributes {
    fn default() -> Self {
        Self {
            disk: true,
            domain: id::Domain::default(),
        }
    }
}
