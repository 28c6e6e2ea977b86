//! A fleet of called workers: queues of jobs, the workers that run their tasks
//! and the leader that gives them orders.
//!
//! Where [`crate::cell`] waits for its workers to come and ask, a fleet's leader
//! calls them. [`Node`] joins the agreement, the replicated [`State`] and, on
//! the leader, the [`dispatch`] of tasks. None of them does I/O.

pub mod call;
pub mod command;
pub mod decision;
pub mod discovery;
pub mod dispatch;
pub mod job;
pub mod link;
mod node;
pub mod order;
pub mod plan;
mod state;
pub mod worker;

pub use command::Command;
pub use node::{Node, Output, Setup, Ticket};
pub use state::{Event, Job, Progress, State, Unit, Worker};
