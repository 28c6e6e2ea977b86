//! Placement: which worker runs what, and when.
//!
//! [`Ledger`] holds what is reserved on each worker and can't hold more than a
//! worker has. [`Planner`] keeps the queue and decides; its decisions become
//! true only when the log has taken them up. [`Baseline`] decides by first fit
//! in order of arrival and is there to be measured against.

mod baseline;
mod blame;
mod capacity;
mod choose;
mod claim;
mod decision;
mod ending;
mod explain;
mod inventory;
mod job;
mod learn;
mod ledger;
mod misfit;
mod pace;
mod planner;
mod preempt;
mod queue;
mod round;
mod share;
mod usage;

pub use baseline::Baseline;
pub use decision::{Decision, Ended, Setup};
pub use job::{Job, Kind};
pub use ledger::{Ledger, Unfit, Worker};
pub use misfit::Misfit;
pub use planner::Planner;
pub use usage::Overuse;
