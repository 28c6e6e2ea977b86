//! The errors of a call without a valid reply.

use derive_more::{Display, Error};
use gentianlane::verdict::{Outcome, Reason, Verdict};

/// Why a call has no valid reply.
#[derive(Debug, Display, Error)]
pub enum Fault {
    /// No entry VM could be reached; nothing was sent.
    #[display("no entry VM could be reached: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The call may have been sent, but no complete reply came back.
    #[display("the reply was lost: {_0}")]
    ReplyLost(#[error(not(source))] String),
    /// The reply isn't the JSON of a [`Reply`](gentianlane::api::Reply).
    #[display("the reply is invalid: {_0}")]
    InvalidReply(#[error(not(source))] String),
}

impl Fault {
    /// What is known of the call's work: not run if nothing was sent, otherwise
    /// that it may have run.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Unreachable(_) => Outcome::not_run(Reason::NoQuorum),
            Self::ReplyLost(_) | Self::InvalidReply(_) => {
                Outcome::may_have_run(Reason::Pending)
            }
        }
    }

    /// The verdict of [`outcome`](Self::outcome).
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        self.outcome().verdict
    }
}
