//! What nodes say to one another.

use serde::{Deserialize, Serialize};

use crate::agree::{Entry, Index, Term};

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
    AskPreVote {
        /// The end of the sender's log.
        last: Position,
    },
    /// The answer to [`Body::AskPreVote`].
    PreVote {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Vote for me in this term.
    AskVote {
        /// The end of the sender's log.
        last: Position,
        /// Whether the leader itself asked the sender to stand.
        handover: bool,
    },
    /// The answer to [`Body::AskVote`].
    Vote {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries, or none as a heartbeat.
    Append(Append),
    /// The entries were stored.
    Appended {
        /// The newest index that is stored as the leader has it.
        stored: Index,
        /// [`Append::sent`], unchanged.
        sent: u64,
    },
    /// The entries don't follow on what is stored.
    Gap {
        /// Where the leader should go on from.
        next: Index,
        /// [`Append::sent`], unchanged.
        sent: u64,
    },
    /// Stand for election now: the leader is leaving.
    Handover,
}

/// A leader's entries for a follower.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The entry before the first one here.
    pub prev: Position,
    /// The entries, in order and without a gap.
    pub entries: Vec<Entry>,
    /// The newest index that the leader knows to be committed.
    pub commit: Index,
    /// When this was sent, in milliseconds on the leader's own clock.
    pub sent: u64,
}
