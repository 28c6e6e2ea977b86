//! Orders to called workers and questions for advice, with their answers.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::fleet::job::{Stage, Task};
use crate::id;
use crate::unit::{Span, Wall};

/// The number of a call to a worker, unique for the process.
pub type CallId = u64;

/// One order to one life of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The order's number.
    pub number: CallId,
    /// The worker that is meant.
    pub worker: id::Worker,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The leadership that orders; a worker obeys no lower one than it knows.
    pub fencing_token: u64,
    /// How long to wait for the answer.
    pub timeout: Span,
    /// What to do.
    pub action: Action,
}

/// What a worker is told to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start a task.
    Start(Box<Start>),
    /// Stop a run, or see to it that it never starts.
    Stop {
        /// The task.
        task: Task,
        /// The run.
        run: u64,
    },
    /// Prolong the lease and tell what runs and what has ended.
    Renew {
        /// The lease's end on the worker's clock, in milliseconds; none while
        /// that clock isn't known.
        deadline: Option<u64>,
        /// The newest end that is durable here and may be forgotten there.
        acknowledged: u64,
        /// How long to wait for an end to tell.
        wait: Span,
    },
    /// Let a task work at a share.
    Throttle {
        /// The task.
        task: Task,
        /// The run.
        run: u64,
        /// The share, in percent.
        percent: u8,
    },
}

/// What a start carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The task.
    pub task: Task,
    /// The run, higher than all before.
    pub run: u64,
    /// The caller's text.
    pub payload: String,
    /// The lease's end on the worker's clock, in milliseconds; after it the
    /// order is void.
    pub deadline: u64,
    /// Where to go on from.
    pub checkpoint: Option<String>,
    /// What advice gave for the worker.
    pub ticket: Option<String>,
}

/// What came of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It was carried out.
    Done {
        /// The worker's clock, in milliseconds.
        clock: u64,
    },
    /// The worker's state, in answer to a hold.
    Status(Status),
    /// It was refused, and never will be carried out.
    Refused {
        /// The worker's clock, in milliseconds, if it was told.
        clock: Option<u64>,
        /// Why.
        reason: Reason,
    },
    /// Another life answers at the address.
    OtherIncarnation,
    /// Nothing was there to take the order.
    Unreachable,
    /// No answer came, or none that can be read; the order may be carried out
    /// later.
    Lost,
}

/// Why a worker refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Reason {
    /// It knows a later leadership.
    #[display("fence")]
    StaleToken,
    /// The run isn't higher than one that was stopped or has ended there.
    #[display("old")]
    StaleRun,
    /// The order's deadline has passed.
    #[display("late")]
    DeadlinePassed,
    /// The task doesn't fit.
    #[display("room")]
    NoCapacity,
    /// The ticket isn't good.
    #[display("ticket")]
    InvalidTicket,
    /// The worker is unhealthy and did nothing.
    #[display("unhealthy")]
    Unhealthy,
    /// The worker doesn't understand the order.
    #[display("malformed")]
    Malformed,
}

/// What a worker tells of itself.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Status {
    /// When the life began, if it was told.
    pub started_at: Option<Wall>,
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// What runs.
    pub running: Vec<ActiveRun>,
    /// What has ended and wasn't noted yet, oldest first.
    pub ended: Vec<EndedRun>,
}

/// A run that goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: u64,
    /// The newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// How far it is, in percent; for a task that lasts, 100 while it is at
    /// work.
    pub progress: u8,
    /// For a task that serves, the tail of its response times in milliseconds;
    /// for any other, the thousandths of a core in use.
    pub measurement: Option<u64>,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// The end's number in the life, rising from one.
    pub sequence: u64,
    /// The task.
    pub task: Task,
    /// The run.
    pub run: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// The newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Outcome {
    /// Well.
    #[display("done")]
    Done,
    /// By its own fault or the worker's.
    #[display("failed")]
    Failed,
    /// By order.
    #[display("stopped")]
    Stopped,
    /// With its lease.
    #[display("lapsed")]
    LeaseExpired,
    /// With another member of its gang.
    #[display("broken")]
    GangFailed,
    /// After waiting in vain for the other members.
    #[display("alone")]
    GangIncomplete,
}

/// A question which of some workers may run a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceRequest {
    /// The question's number.
    pub number: CallId,
    /// The step.
    pub stage: Stage,
    /// The workers.
    pub workers: Vec<id::Worker>,
    /// How long to wait for the answer.
    pub timeout: Span,
}

/// The answer to a question; nothing if none came.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceResponse {
    /// The question's number.
    pub number: CallId,
    /// The workers that may run the step, each with its ticket, or none if the
    /// question wasn't answered.
    pub eligible: Option<Vec<(id::Worker, String)>>,
}
