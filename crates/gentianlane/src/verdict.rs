//! Verdicts: whether a request's work has run, hasn't run or may have run.
//!
//! Every layer between the caller and the worker uses these types, so that a
//! failure on the way never turns work that may have run into "not run".

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::unit::Span;

/// What is known about a request's work.
///
/// ```
/// use gentianlane::verdict::Verdict;
/// assert!(Verdict::NotRun.may_resend(false));
/// assert!(!Verdict::MayHaveRun.may_resend(false));
/// assert!(Verdict::MayHaveRun.may_resend(true));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No task of the request has started, and none will.
    #[display("not run")]
    NotRun,
    /// The work ran to its end, and the answer says how it ended.
    #[display("ran")]
    Ran,
    /// The work may have started, and it isn't known how it ended.
    #[display("may have run")]
    MayHaveRun,
}

impl Verdict {
    /// Whether work with this verdict may be sent again under a *new* key
    /// without the risk that work that isn't idempotent runs twice.
    ///
    /// Sending it again under the *same* key is always safe.
    #[must_use]
    pub fn may_resend(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::Ran => false,
            Self::MayHaveRun => idempotent,
        }
    }
}

/// The reason for a verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The work exited with code zero.
    #[display("done")]
    Done,
    /// The work exited with a failure.
    #[display("the work failed")]
    Failed,
    /// The caller cancelled the request.
    #[display("cancelled")]
    Cancelled,
    /// The deadline passed before the work started, or was expected to.
    #[display("deadline")]
    Deadline,
    /// No worker of the cell is large enough for the work, even when empty.
    #[display("fits no worker")]
    NeverFits,
    /// No workload of this name is in force.
    #[display("unknown workload")]
    UnknownWorkload,
    /// A release note withdrew the workload.
    #[display("withdrawn")]
    Withdrawn,
    /// The key belongs to an earlier request with other content.
    #[display("key used with other content")]
    KeyReused,
    /// The key is older than the records that are kept, so it isn't known
    /// whether it was used.
    #[display("key too old")]
    KeyExpired,
    /// The key's time lies ahead of the cell's clock.
    #[display("key from the future")]
    KeyAhead,
    /// The team or the caller has used up its share.
    #[display("over quota")]
    Quota,
    /// Too much work waits already.
    #[display("overloaded")]
    Overloaded,
    /// The node knows no leader, or the leader has no quorum.
    #[display("no quorum")]
    NoQuorum,
    /// The node that was asked is shutting down.
    #[display("stopping")]
    Stopping,
    /// The disk for the cell's state is full.
    #[display("disk full")]
    DiskFull,
    /// The request was malformed.
    #[display("malformed request")]
    Malformed,
    /// The worker's lease expired, or the worker restarted.
    #[display("worker lost")]
    WorkerLost,
    /// Idempotent work has used up its attempts.
    #[display("attempts used up")]
    AttemptsExhausted,
    /// The work used more resources than it had declared.
    #[display("used more than declared")]
    OverUse,
    /// The work was preempted by more urgent work and may not run again.
    #[display("preempted")]
    Preempted,
    /// The answer didn't arrive in time; retry with the same key.
    #[display("answer pending")]
    Pending,
    /// The work ran, but its output is longer than an answer may carry.
    #[display("output too large")]
    OutputTooLarge,
    /// No request with this key has arrived yet; one may be on its way.
    #[display("unknown key")]
    UnknownKey,
}

/// A verdict with its reason, and when to retry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// Whether the work ran.
    pub verdict: Verdict,
    /// Why the verdict is what it is.
    pub reason: Reason,
    /// How long to wait before a retry with the same key, in milliseconds;
    /// `None` if the outcome is final.
    #[serde(default)]
    pub retry_after: Option<Span>,
}

impl Outcome {
    /// The outcome of work that ran; `reason` says how it ended.
    #[must_use]
    pub const fn ran(reason: Reason) -> Self {
        Self {
            verdict: Verdict::Ran,
            reason,
            retry_after: None,
        }
    }

    /// The outcome of work that has not run and will not.
    #[must_use]
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// The outcome of work that may have run.
    #[must_use]
    pub const fn may_have_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after: None,
        }
    }

    /// Adds how long to wait before a retry.
    #[must_use]
    pub const fn retry_after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }
}
