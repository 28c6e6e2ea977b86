//! Placement: which worker runs what, and when.
//!
//! [`Ledger`] holds what is reserved on each worker and can't hold more than a
//! worker has. [`Planner`] keeps the queue and decides; its decisions become
//! true only when the log has taken them up.

mod job;
mod ledger;
mod planner;

pub use job::{Job, Kind};
pub use ledger::{Ledger, Unfit, Worker};
pub use planner::{Decision, Ended, Misfit, Planner, Setup};
