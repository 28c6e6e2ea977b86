//! The messages between the nodes of a cell.

use serde::{Deserialize, Serialize};

use crate::consensus::{Entry, Index, Term, Voters};
use crate::id;

/// A message between two nodes of one cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's term.
    pub term: Term,
    /// The request or reply.
    pub body: Body,
}

/// The index and term of a log entry, which together identify it.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The entry's index.
    pub index: Index,
    /// The term of the leader that appended it.
    pub term: Term,
}

impl Position {
    /// Whether a log that ends here is at least as up-to-date as one that ends
    /// at `other`, by Raft's rule: the later term, then the higher index.
    #[must_use]
    pub fn is_up_to_date_with(&self, other: &Self) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}

/// The content of a message.
///
/// Messages are encoded by position: the order of variants and fields is part
/// of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender in the next term.
    /// The receiver changes neither its term nor its vote.
    PreVoteRequest {
        /// The last entry of the sender's log.
        last: Position,
    },
    /// The reply to [`Body::PreVoteRequest`].
    PreVoteReply {
        /// Whether the sender would grant its vote.
        granted: bool,
        /// Whether the receiver's log is up-to-date and the sender has seen no
        /// leader since its process started: it has neither followed, voted
        /// nor started an election.
        no_leader_seen: bool,
    },
    /// Requests a vote for the sender in the message's term.
    VoteRequest {
        /// The last entry of the sender's log.
        last: Position,
        /// Whether to grant the vote even while a leader's lease may run: the
        /// leader has handed over, or no voter has seen one since it started.
        ignore_lease: bool,
    },
    /// The reply to [`Body::VoteRequest`].
    VoteReply {
        /// Whether the sender granted its vote.
        granted: bool,
    },
    /// Replicates entries; without entries it is a heartbeat.
    Append(Append),
    /// Acknowledges that the entries of an [`Append`] or a whole snapshot are
    /// stored.
    AppendAck {
        /// The highest index up to which the sender's log is known to match the
        /// leader's.
        match_index: Index,
        /// The `seq` of the message that this acknowledges.
        seq: u64,
    },
    /// Rejects entries whose preceding entry isn't in the sender's log.
    AppendReject {
        /// The index from which the leader should send next.
        next_index: Index,
        /// The [`Append::seq`] of the rejected message.
        seq: u64,
    },
    /// Carries a part of a snapshot.
    Chunk(Chunk),
    /// Acknowledges a [`Body::Chunk`] of a snapshot that isn't complete yet.
    ChunkAck {
        /// The index of the last entry that the snapshot covers.
        last: Index,
        /// How many bytes of the snapshot have arrived without a gap.
        offset: u64,
        /// The [`Chunk::seq`] of the acknowledged message.
        seq: u64,
    },
    /// Asks the receiver to start an election at once, since the leader hands
    /// over.
    TimeoutNow,
    /// Tells the leader the sender's attributes, and asks it to add the sender
    /// as a learner if it doesn't know it.
    Announce(Attributes),
    /// Asks the receiver to announce itself to the leader.
    Redirect {
        /// The leader that the sender follows.
        leader: id::Node,
    },
    /// Asks the leader whether the sender, whose disk is empty, may have voted
    /// under its identity before.
    VerifyIdentity {
        /// Random per process start, so that a reply meant for an earlier
        /// process is ignored.
        incarnation: u64,
    },
    /// Confirms that the receiver's identity has never had a vote, so that it
    /// may store the log.
    IdentityValid {
        /// The incarnation from [`Body::VerifyIdentity`].
        incarnation: u64,
    },
    /// Revokes the receiver's identity, since its disk lost acknowledged votes
    /// or entries.
    IdentityRevoked {
        /// The incarnation from [`Body::VerifyIdentity`], if this replies to one.
        incarnation: Option<u64>,
    },
    /// Tells an outdated leader that a newer term has begun; the message's term
    /// is the newer one.
    StaleTerm,
}

/// Log entries from the leader to a follower or learner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The entry that precedes `entries` in the leader's log.
    pub prev: Position,
    /// Consecutive entries; empty in a heartbeat.
    pub entries: Vec<Entry>,
    /// The highest index that the leader knows to be committed.
    pub commit_index: Index,
    /// The number of this message among those of the leader's term. Its reply
    /// repeats it, so that the leader knows when the message was sent.
    pub seq: u64,
}

/// A part of a snapshot's data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The last entry that the snapshot covers.
    pub last: Position,
    /// The voters in force at that entry.
    pub voters: Voters,
    /// The size of the whole snapshot's data, in bytes.
    pub total: u64,
    /// The offset of this part in the data, in bytes.
    pub offset: u64,
    /// The bytes of this part.
    pub data: Vec<u8>,
    /// The number of this message, counted as in [`Append::seq`].
    pub seq: u64,
}

/// Properties of a node that decide whether it can become a voter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attributes {
    /// Whether the node has durable storage, which a voter needs.
    pub disk: bool,
    /// The node's failure domain; voters are spread over domains.
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
