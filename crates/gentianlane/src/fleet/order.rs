//! Orders to workers and requests to the adviser, with their answers.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

use crate::fleet::job::{Stage, Task};
use crate::fleet::worker::Incarnation;
use crate::id;
use crate::unit::{Span, Wall};

/// The id of an order or advice request, unique within the process.
pub type CallId = u64;

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The id that matches the answer to the order.
    pub id: CallId,
    /// The worker that is to carry out the order.
    pub worker: id::Worker,
    /// When the process of the worker that is to carry it out started; zero if the worker
    /// doesn't tell.
    pub started_at: Wall,
    /// The worker's address for orders.
    pub address: SocketAddr,
    /// Rises with each leader, and with each incarnation of a worker that a leader
    /// registers; a worker refuses orders with a lower token than the highest it has
    /// seen.
    pub fencing_token: u64,
    /// How long to wait for the answer.
    pub timeout: Span,
    /// What the worker is told to do.
    pub action: Action,
}

impl Order {
    /// The process that the order is meant for.
    #[must_use]
    pub fn addressee(&self) -> Incarnation {
        Incarnation {
            worker: self.worker.clone(),
            started_at: self.started_at,
        }
    }

    /// Whether no other process of the worker may get the order: one that has started
    /// since would take the deadline, which is on another clock, for the longest lease, or
    /// the acknowledgement for one of its own ends.
    #[must_use]
    pub const fn is_for_one_process(&self) -> bool {
        match &self.action {
            Action::Start(_) => true,
            Action::Renew {
                deadline,
                acknowledged,
                ..
            } => deadline.is_some() || *acknowledged > 0,
            Action::Stop { .. } | Action::Throttle { .. } => false,
        }
    }

    /// An order that changes nothing, whose answer tells which process it has reached.
    #[must_use]
    pub fn question(&self) -> Self {
        Self {
            action: Action::Renew {
                deadline: None,
                acknowledged: 0,
                wait: Span::ZERO,
            },
            ..self.clone()
        }
    }

    /// What becomes of the order, which isn't sent, by the answer to its
    /// [question](Self::question); none if that comes from the addressee, so that the order
    /// may be sent over the same connection.
    ///
    /// ```
    /// use gentianlane::fleet::order::{Action, Answer, Order, Status};
    /// use gentianlane::unit::{Span, Wall};
    /// let order = Order {
    ///     id: 1,
    ///     worker: "w".into(),
    ///     started_at: Wall::from_millis(1_000),
    ///     address: ([127, 0, 0, 1], 80).into(),
    ///     fencing_token: 1,
    ///     timeout: Span::from_millis(150),
    ///     action: Action::Renew {
    ///         deadline: Some(9_000),
    ///         acknowledged: 0,
    ///         wait: Span::ZERO,
    ///     },
    /// };
    /// let from = |started_at| {
    ///     let started_at = Some(Wall::from_millis(started_at));
    ///     Answer::Status(Status { started_at, ..Status::default() })
    /// };
    /// assert_eq!(order.withheld(from(1_000)), None);
    /// assert_eq!(order.withheld(from(2_000)), Some(from(2_000)));
    /// ```
    #[must_use]
    pub fn withheld(&self, answer: Answer) -> Option<Answer> {
        let is_renewal = matches!(self.action, Action::Renew { .. });
        match answer {
            Answer::Status(status)
                if status.started_at.unwrap_or_default() == self.started_at =>
            {
                None
            }
            Answer::Status(_) | Answer::Done { .. } if !is_renewal => {
                Some(Answer::Replaced)
            }
            Answer::Lost if !is_renewal => Some(Answer::Unreachable),
            answer => Some(answer),
        }
    }
}

/// The action that an order demands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start a task.
    Start(Box<Start>),
    /// Stop a run, or keep it from starting if its start arrives later.
    Stop {
        /// The task to stop.
        task: Task,
        /// The number of the run.
        run: u64,
    },
    /// Renew the worker's lease and report its active and ended runs.
    Renew {
        /// The lease's end on the worker's clock, in milliseconds; `None` while
        /// that clock isn't known.
        deadline: Option<u64>,
        /// The sequence number up to which the leader has stored the worker's
        /// ended runs, so that the worker may forget them.
        acknowledged: u64,
        /// How long the worker may delay its answer until a run ends.
        wait: Span,
    },
    /// Limit a task to a share of its processor time.
    Throttle {
        /// The task to throttle.
        task: Task,
        /// The number of the run.
        run: u64,
        /// The share of its normal processor time, in percent.
        percent: u8,
    },
}

/// The details of a start order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The task to start.
    pub task: Task,
    /// The number of the run, higher than those of the task's earlier runs.
    pub run: u64,
    /// The text that the caller gave for the job's tasks.
    pub payload: String,
    /// The lease's end on the worker's clock, in milliseconds; after it the
    /// worker refuses the order.
    pub deadline: u64,
    /// The checkpoint to resume from, if an earlier run saved one.
    pub checkpoint: Option<String>,
    /// The adviser's ticket for this worker, where the queue needs advice.
    pub ticket: Option<String>,
}

/// A worker's answer to an order, or why there is none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The order was carried out.
    Done {
        /// The worker's clock, in milliseconds.
        clock: u64,
    },
    /// The worker's status, in answer to [`Action::Renew`].
    Status(Status),
    /// The order was refused and will have no effect.
    Refused {
        /// The worker's clock, in milliseconds, if the answer has it.
        clock: Option<u64>,
        /// Why the worker refused.
        reason: Reason,
    },
    /// The process at the address is another worker or incarnation.
    OtherIncarnation,
    /// A later process of the worker answers at the address, so that the order wasn't sent.
    Replaced,
    /// No connection to the worker could be opened, so that the order can't have
    /// arrived.
    Unreachable,
    /// The connection was refused, as nothing listens at the worker's address.
    ConnectionRefused,
    /// No valid answer arrived in time; the order may have been or may yet be
    /// carried out.
    Lost,
    /// No byte of the order was sent, for a reason on this side: the leader lease had
    /// ended by then, or there was no connection or descriptor left. This says
    /// nothing about the worker.
    Unsent,
}

/// Why a worker refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Reason {
    /// The worker has seen a higher fencing token.
    #[display("fence")]
    StaleToken,
    /// The worker has stopped or ended this run of the task or a later one.
    #[display("old")]
    StaleRun,
    /// The order's deadline has passed.
    #[display("late")]
    DeadlinePassed,
    /// The task doesn't fit into the worker's free capacity.
    #[display("room")]
    NoCapacity,
    /// The adviser's ticket isn't valid.
    #[display("ticket")]
    InvalidTicket,
    /// The worker is unhealthy and did nothing.
    #[display("unhealthy")]
    Unhealthy,
    /// The worker can't parse the order.
    #[display("malformed")]
    Malformed,
}

impl Reason {
    /// Whether a worker that refuses a start for this reason carries out no earlier
    /// try of it from now on; it may have carried one out before.
    pub(crate) const fn voids_earlier_tries(self) -> bool {
        matches!(
            self,
            Self::StaleToken | Self::StaleRun | Self::InvalidTicket
        )
    }
}

/// A worker's status: its clock, and its active and ended runs.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Status {
    /// When the worker's process started, if the worker reports it.
    pub started_at: Option<Wall>,
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// All runs that are active.
    pub running: Vec<ActiveRun>,
    /// The ended runs that weren't acknowledged yet, oldest first.
    pub ended: Vec<EndedRun>,
    /// Whether there may be more ended runs than are listed, so that a run in
    /// neither list may have ended.
    pub ends_cut: bool,
}

impl Status {
    /// Whether the numbers of the ends rise, and no higher than a worker with this clock
    /// can have counted. One that is too high would hide all ends that follow.
    ///
    /// ```
    /// use gentianlane::fleet::order::Status;
    /// assert!(Status::default().is_plausible());
    /// ```
    #[must_use]
    pub fn is_plausible(&self) -> bool {
        let limit = self.clock.saturating_mul(ENDS_PER_MILLI);
        let limit = limit.saturating_add(ENDS_AT_START);
        let rise = self.ended.windows(2);
        let rise = rise
            .into_iter()
            .all(|ends| ends[0].sequence < ends[1].sequence);
        rise && self.ended.last().is_none_or(|end| end.sequence <= limit)
    }
}

/// The most runs that end on a worker in a millisecond, far more than it can start.
const ENDS_PER_MILLI: u64 = 10;

/// The most runs that have ended on a worker whose clock has just started.
const ENDS_AT_START: u64 = 1_000;

/// A run that is active on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ActiveRun {
    /// The task that runs.
    pub task: Task,
    /// The number of the run.
    pub run: u64,
    /// The latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// The progress, in percent; a long-running task reports 100 while it
    /// works.
    pub progress: u8,
    /// For a task that serves requests, its tail response time in milliseconds;
    /// for any other, the processor time in use, in thousandths of a core.
    pub measurement: Option<u64>,
}

/// A run that has ended on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Counts the ended runs of the worker's incarnation, from one.
    pub sequence: u64,
    /// The task that ran.
    pub task: Task,
    /// The number of the run.
    pub run: u64,
    /// Whether the run succeeded, or why it ended otherwise.
    pub outcome: Outcome,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Outcome {
    /// The task succeeded.
    #[display("done")]
    Done,
    /// The task failed, through its own fault or the worker's.
    #[display("failed")]
    Failed,
    /// The leader ordered the run to stop.
    #[display("stopped")]
    Stopped,
    /// The worker's lease expired.
    #[display("lapsed")]
    LeaseExpired,
    /// Another member of the task's gang ended.
    #[display("broken")]
    GangFailed,
    /// The other members of the task's gang didn't start in time.
    #[display("alone")]
    GangIncomplete,
}

/// A request to the adviser: which of these workers may run a step?
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceRequest {
    /// The id that matches the response to the request.
    pub id: CallId,
    /// The stage whose tasks are to be placed.
    pub stage: Stage,
    /// The workers to choose from.
    pub workers: Vec<id::Worker>,
    /// How long to wait for the response.
    pub timeout: Span,
}

/// The adviser's response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceResponse {
    /// The id of the request.
    pub id: CallId,
    /// The workers that may run the stage's tasks, each with its ticket; `None`
    /// if the adviser didn't answer.
    pub eligible: Option<Vec<(id::Worker, String)>>,
}
