//! Calls of callers, workers and operators, and their replies.

use serde::{Deserialize, Serialize};

use crate::fleet::job::{Phase, Spec};
use crate::fleet::plan::Plan;
use crate::fleet::worker::{Incarnation, Report};
use crate::id;
use crate::unit::Span;

/// One call, from any entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Take in a job.
    Submit {
        /// Where the caller sent it.
        target: Target,
        /// What it asks for.
        spec: Box<Spec>,
    },
    /// Tell a job's phase, or how many jobs of a queue wait.
    Status(Target),
    /// Withdraw a job.
    Cancel(Target),
    /// Put a plan into force.
    ReplacePlan(Box<Plan>),
    /// Give the plan in force as it was sent.
    ReadPlan,
    /// Take a worker's report.
    Report(Report),
    /// A worker says that it ends.
    Leave(Incarnation),
    /// Tell what the node holds, for an operator.
    Overview,
}

impl Call {
    /// Whether the call changes nothing.
    #[must_use]
    pub const fn is_read_only(&self) -> bool {
        matches!(self, Self::Status(_) | Self::ReadPlan | Self::Overview)
    }
}

/// Where a caller sent its call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The host that it named.
    pub host: String,
    /// The whole path.
    pub path: String,
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The change is stored at a majority.
    Done,
    /// The job wasn't taken in, and this call never will take it in.
    Refused {
        /// When to come back.
        retry: Span,
        /// Why.
        reason: Refusal,
    },
    /// Nothing was done; the node that leads has to be asked.
    NotLeader(Option<id::Node>),
    /// The change may or may not come about.
    Indeterminate,
    /// No queue takes this host and path.
    NoQueue,
    /// No such job is known.
    NoJob,
    /// A job's phase.
    Phase(Phase),
    /// How many jobs of a queue wait for their first start.
    Waiting(u64),
    /// A plan as the operator sent it.
    Plan(String),
    /// The call can't be understood, and changed nothing.
    Malformed(String),
    /// What an operator wanted to see, as JSON.
    Overview(String),
}

/// Why a job wasn't taken in.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, derive_more::Display,
)]
pub enum Refusal {
    /// No plan is in force yet.
    #[display("no plan is in force yet")]
    NoPlan,
    /// More waits than can be served in time.
    #[display("the queue holds more than can be served in time")]
    Overloaded,
    /// The node has no room for another call.
    #[display("the node is busy")]
    Busy,
}
