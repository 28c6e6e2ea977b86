//! Placement: which worker runs what, and when.
//!
//! [`Ledger`] holds what is reserved on each worker and can't hold more than a
//! worker has. [`Planner`] keeps the queue and decides; its decisions become
//! true only when the log has taken them up. [`Baseline`] decides by first fit
//! in order of arrival and is there to be measured against.

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
pub use ledger::{Ledger, Unfit, Worker};
pub use planner::Planner;
pub use usage::Enforcement;
