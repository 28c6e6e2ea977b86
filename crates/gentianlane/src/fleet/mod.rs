//! A fleet: job queues, the workers that run the jobs' tasks, and the leader
//! that sends orders to the workers.
//!
//! In [`crate::cell`] workers poll for work; in a fleet the leader calls the
//! workers. [`Node`] combines the consensus protocol, the replicated [`State`]
//! and, on the leader, the [`dispatch`] of tasks. Nothing here does I/O.

pub mod call;
pub mod command;
pub mod crash;
pub mod decision;
pub mod delivery;
pub mod discovery;
pub mod dispatch;
pub mod job;
pub mod link;
mod node;
pub mod order;
pub mod plan;
mod retention;
mod state;
pub mod team;
pub mod worker;

pub use command::Command;
pub use node::{Node, Output, Setup, Ticket};
pub use state::{Event, Job, Progress, State, Unit, Worker};
