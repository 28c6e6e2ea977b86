//! Placement of jobs on the workers of a cell.
//!
//! [`Ledger`] records what is reserved on each worker and never reserves more
//! than a worker has. It is part of the replicated state. [`Planner`] is the
//! leader's scheduler: it keeps the queue and proposes which jobs to start,
//! preempt, evict or refuse. A decision takes effect once the replicated log has
//! applied it. [`Baseline`] is a first-in, first-out first-fit scheduler that the
//! planner is benchmarked against.

mod baseline;
mod capacity;
mod claim;
mod decision;
mod explain;
mod feasibility;
mod inventory;
mod job;
mod ledger;
mod limiter;
mod planner;
mod preempt;
mod profile;
mod quarantine;
mod queue;
mod release;
mod round;
mod search;
mod share;
mod usage;

pub use baseline::Baseline;
pub use decision::{Decision, Exit, Setup};
pub use feasibility::Infeasible;
pub use job::{Job, Kind};
pub use ledger::{Ledger, ReserveError, Worker};
pub use planner::Planner;
pub use usage::Enforcement;
