//! The planner's configuration, its decisions, and how tasks left their
//! workers.

use crate::id;
use crate::place::Infeasible;
use crate::unit::Span;

/// The configuration of a new planner.
#[derive(Debug, Clone, Default)]
pub struct Setup {
    /// The seed for random choices. The planner itself makes none yet; the
    /// leader of the cell seeds its retry delays with it.
    pub seed: u64,
}

/// A change that the planner proposes. It takes effect once the replicated log
/// has applied the command for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Start a job: the task of rank `i` on the `i`th worker.
    ///
    /// The planner keeps the resources reserved until it is told
    /// [`Planner::confirm_start`] or [`Planner::revert_start`].
    ///
    /// [`Planner::confirm_start`]: crate::place::Planner::confirm_start
    /// [`Planner::revert_start`]: crate::place::Planner::revert_start
    Start {
        /// The job to start.
        job: id::Job,
        /// One worker for each task, by rank; a worker may occur more than
        /// once.
        workers: Vec<id::Worker>,
    },
    /// Have a running job write a checkpoint and stop, to make room for urgent
    /// work. Only idempotent jobs are preempted.
    ///
    /// The planner is told of its end through [`Planner::release`] and gets the
    /// job back through [`Planner::admit`].
    ///
    /// [`Planner::release`]: crate::place::Planner::release
    /// [`Planner::admit`]: crate::place::Planner::admit
    Preempt {
        /// The job to stop.
        job: id::Job,
    },
    /// Have a running job stop because its worker has shrunk below what is
    /// reserved on it. Idempotent jobs are chosen first.
    Evict {
        /// The job to stop.
        job: id::Job,
    },
    /// Refuse a job that was admitted before enough workers were known to tell
    /// whether it fits any. It has left the queue already.
    Refuse {
        /// The refused job.
        job: id::Job,
        /// Why it can never start.
        reason: Infeasible,
    },
}

/// How a task left its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// It ended by itself after running this long.
    Done(Span),
    /// It failed after running this long.
    Failed(Span),
    /// It was stopped, never began or was lost with its worker. Counts neither
    /// for nor against the workload or the worker.
    Stopped,
}
