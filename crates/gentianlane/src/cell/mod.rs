//! A cell whose workers poll the leader: the replicated state of jobs, workers
//! and requests, and what the leader does with it.
//!
//! [`State`] is the state machine that the log drives; it is the same on every
//! node that has applied the same entries. [`Node`] connects it with
//! [`crate::consensus`]: it takes calls, messages and the time, and returns
//! [`Output`]s that the caller carries out in order. On the leader it also
//! places jobs, grants leases to workers and answers calls that wait.

mod call;
mod command;
mod job;
mod leader;
mod lease;
mod node;
mod record;
mod state;
mod view;
mod waiter;

pub use command::{CodecError, Command};
pub use job::{AfterStop, Job, Phase, Slot, Spec};
pub use node::{Node, Output, Setup, Ticket};
pub use record::{Record, Status};
pub use state::{Effect, Event, State};
