//! Whether a request may have run, through every layer.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::unit::Span;

/// What is known of a request's work.
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
    /// No task of the request has begun, and none will.
    #[display("not run")]
    NotRun,
    /// The request's work ran to its end, and its outcome is in the answer.
    #[display("ran")]
    Ran,
    /// The work may have begun, and its outcome isn't known.
    #[display("may have run")]
    MayHaveRun,
}

impl Verdict {
    /// Whether work with this verdict may be sent again under a *new* key
    /// without any risk of a forbidden second run.
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

/// Why an answer says what it says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The work ended by itself with exit code zero.
    #[display("done")]
    Done,
    /// The work ended by itself and reported a failure.
    #[display("the work failed")]
    Failed,
    /// The caller cancelled the request.
    #[display("cancelled")]
    Cancelled,
    /// The deadline passed, or would have passed before a start.
    #[display("deadline")]
    Deadline,
    /// No worker of the cell could ever hold the work.
    #[display("fits no worker")]
    NeverFits,
    /// No release note in force knows the workload.
    #[display("unknown workload")]
    UnknownWorkload,
    /// A release note withdrew the workload.
    #[display("withdrawn")]
    Withdrawn,
    /// The key was used before with other content.
    #[display("key used with other content")]
    KeyReused,
    /// The key is older than the records that are kept.
    #[display("key too old")]
    KeyExpired,
    /// The key's time lies ahead of the cell's clock.
    #[display("key from the future")]
    KeyAhead,
    /// The team's or the caller's share is used up.
    #[display("over quota")]
    Quota,
    /// Too much waits already.
    #[display("overloaded")]
    Overloaded,
    /// The node has no leader to ask, or the leader has no quorum.
    #[display("no quorum")]
    NoQuorum,
    /// The node that was asked is going away.
    #[display("stopping")]
    Stopping,
    /// The disk for the cell's state takes no more.
    #[display("disk full")]
    DiskFull,
    /// The request was malformed.
    #[display("malformed request")]
    Malformed,
    /// The worker's lease ran out, or it came back as another process.
    #[display("worker lost")]
    WorkerLost,
    /// Attempts of idempotent work are used up.
    #[display("attempts used up")]
    AttemptsExhausted,
    /// The work used more than it had declared.
    #[display("used more than declared")]
    OverUse,
    /// More urgent work took its place, and it may not run again.
    #[display("preempted")]
    Preempted,
    /// The answer didn't reach this node in time; ask again under the same key.
    #[display("answer pending")]
    Pending,
    /// The work ran, and what it wrote is longer than the cell carries.
    #[display("output too large")]
    OutputTooLarge,
    /// No request with this key is known, though one may be on its way.
    #[display("unknown key")]
    UnknownKey,
}

/// A request's final state: the verdict, why, and when to come back.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// Whether the work may have run.
    pub verdict: Verdict,
    /// Why.
    pub reason: Reason,
    /// How long to wait before asking for the same again, in milliseconds.
    #[serde(default)]
    pub retry_after: Option<Span>,
}

impl Outcome {
    /// The work ran, and this is how it ended.
    #[must_use]
    pub const fn ran(reason: Reason) -> Self {
        Self {
            verdict: Verdict::Ran,
            reason,
            retry_after: None,
        }
    }

    /// The work has not run and will not.
    #[must_use]
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// The work may have run.
    #[must_use]
    pub const fn may_have_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after: None,
        }
    }

    /// The same outcome, with a time to come back after.
    #[must_use]
    pub const fn retry_after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }
}
