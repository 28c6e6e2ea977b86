//! Requests from callers, workers and operators to a fleet's leader, and the
//! replies.

use serde::{Deserialize, Serialize};

use crate::fleet::job::{Phase, Spec};
use crate::fleet::plan::Plan;
use crate::fleet::team::{Access, Credential};
use crate::fleet::worker::{Incarnation, Report};
use crate::id;
use crate::unit::Span;

/// A request to the leader, received by any node or entry of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Submit a job; idempotent, as the path carries the job's id.
    Submit {
        /// The host and path that select the queue and name the job.
        target: Target,
        /// The job's steps and schedule.
        spec: Box<Spec>,
    },
    /// Read a job's phase or, if the path names no job, how many jobs of the
    /// queue wait.
    Status(Target),
    /// Cancel a job.
    Cancel(Target),
    /// Replace the plan by a newer version.
    ReplacePlan(Box<Plan>),
    /// Read the plan in force, as the operator sent it.
    ReadPlan,
    /// A worker's periodic report, which also registers it.
    Report(Report),
    /// A worker's announcement that its process ends.
    Leave(Incarnation),
    /// Read the leader's view of queues, steps and workers.
    Overview,
    /// A caller's call with the key that came with it.
    Authorized(Credential, Box<Call>),
    /// Replace the plan by a newer version that has teams.
    ReplacePlanWithAccess(Box<Plan>, Box<Access>),
}

impl Call {
    /// Whether the call only reads, so that repeating it is always safe.
    #[must_use]
    pub fn is_read_only(&self) -> bool {
        match self {
            Self::Authorized(_, call) => call.is_read_only(),
            _ => matches!(self, Self::Status(_) | Self::ReadPlan | Self::Overview),
        }
    }

    /// Whether the call submits a job.
    ///
    /// # Examples
    ///
    /// ```
    /// use gentianlane::fleet::call::Call;
    ///
    /// let call = Call::Authorized("key".into(), Box::new(Call::Overview));
    /// assert!(!call.is_submission());
    /// ```
    #[must_use]
    pub fn is_submission(&self) -> bool {
        match self {
            Self::Authorized(_, call) => call.is_submission(),
            _ => matches!(self, Self::Submit { .. }),
        }
    }
}

/// The target of a caller's HTTP request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The host from the request, with or without a port.
    pub host: String,
    /// The path of the request without its query.
    pub path: String,
}

/// The reply to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The change is stored by a quorum, or nothing had to change.
    Done,
    /// The call was rejected and will have no effect.
    Refused {
        /// How long to wait before the next attempt.
        retry_after: Span,
        /// Why the call was rejected.
        reason: Refusal,
    },
    /// Nothing was done; the call has to go to the leader, named if known.
    NotLeader(Option<id::Node>),
    /// The change may or may not take effect, since the node stopped leading
    /// before it could tell.
    Indeterminate,
    /// No queue matches the host and path.
    NoQueue,
    /// The path names no job that the state still holds.
    NoJob,
    /// A job's phase.
    Phase(Phase),
    /// How many jobs of a queue wait for their first task to start.
    Waiting(u64),
    /// The plan in force, as the operator sent it.
    Plan(String),
    /// The call is invalid and changed nothing; the text says why.
    Malformed(String),
    /// The leader's view, as JSON.
    Overview(String),
    /// No team of the plan in force has the call's key, or it has none; the call was
    /// rejected and will have no effect.
    Unauthorized,
}

/// Why a call was rejected.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display,
)]
pub enum Refusal {
    /// No plan has been stored yet, so that there are no queues.
    #[display("no plan is in force yet")]
    NoPlan,
    /// The backlog is longer than the workers can clear in time.
    #[display("the queue holds more than can be served in time")]
    Overloaded,
    /// The node already holds as many pending calls as it may.
    #[display("the node is busy")]
    Busy,
    /// Tasks that have to start together use more than their team may run.
    #[display("the job needs more at once than its team may run")]
    TeamLimit,
    /// The team sends more than its share, and its waiting jobs already take too long.
    #[display("the team sends more than its share and than can be served in time")]
    TeamShare,
    /// The process at a report's address didn't answer as the worker that it names.
    #[display("no such worker answers at the address")]
    Unverified,
    /// What a worker that leaves runs is still being stopped.
    #[display("the worker's runs are still being stopped")]
    Leaving,
    /// The jobs take as much memory as they may, or those of the caller's team or queue do.
    #[display("there is no memory for more jobs of this caller")]
    Memory,
}
