//! Why a call has no reply.

use derive_more::{Display, Error};
use gentianlane::verdict::{Outcome, Reason, Verdict};

/// Why a call has no reply.
#[derive(Debug, Display, Error)]
pub enum Fault {
    /// No entry VM could be reached; nothing was sent.
    #[display("no entry VM could be reached: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The call was sent, and no whole reply came back.
    #[display("the reply was lost: {_0}")]
    Lost(#[error(not(source))] String),
    /// The reply isn't one of the cell's.
    #[display("the reply can't be read: {_0}")]
    Unreadable(#[error(not(source))] String),
}

impl Fault {
    /// Whether the call's work may have run.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Unreachable(_) => Outcome::not_run(Reason::NoQuorum),
            Self::Lost(_) | Self::Unreadable(_) => Outcome::may_have_run(Reason::Pending),
        }
    }

    /// The verdict alone.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        self.outcome().verdict
    }
}
