//! What a planner is told and what it wants done.

use crate::id;
use crate::place::Infeasible;
use crate::unit::Span;

/// What a planner is given at first.
#[derive(Debug, Clone, Default)]
pub struct Setup {
    /// The seed of its random choices.
    pub seed: u64,
}

/// What the planner wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Start a job: the task of rank `i` on the `i`th worker.
    ///
    /// The planner holds the room until it hears [`Planner::started`] or
    /// [`Planner::refused`].
    ///
    /// [`Planner::started`]: crate::place::Planner::started
    /// [`Planner::refused`]: crate::place::Planner::refused
    Start {
        /// The job.
        job: id::Job,
        /// A worker for each task.
        workers: Vec<id::Worker>,
    },
    /// Have a running job write a checkpoint and stop, to make room for urgent
    /// work; it is always idempotent.
    ///
    /// The planner hears of its end by [`Planner::released`], and gets it back
    /// by [`Planner::admit`].
    ///
    /// [`Planner::released`]: crate::place::Planner::released
    /// [`Planner::admit`]: crate::place::Planner::admit
    Preempt {
        /// The job.
        job: id::Job,
    },
    /// Have a running job stop because its worker has become smaller than what
    /// is reserved there. Idempotent work is chosen first.
    Evict {
        /// The job.
        job: id::Job,
    },
    /// Give up a job that was taken in while too little was known of the cell
    /// to say whether it fits anywhere. It has left the queue.
    Refuse {
        /// The job.
        job: id::Job,
        /// Why it can't start.
        reason: Infeasible,
    },
}

/// How a task's end looks to placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// By itself, after running this long.
    Done(Span),
    /// With a failure, after running this long.
    Failed(Span),
    /// By an order, or with its worker: says nothing about either.
    Stopped,
}
