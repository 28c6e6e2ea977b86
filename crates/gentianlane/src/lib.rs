//! The core of a cluster scheduler, as state machines without I/O.
//!
//! Each state machine takes an input and the current time and returns outputs.
//! None of them starts a thread, opens a socket or a file, reads a clock or
//! draws from a random source of its own, so that the daemon, the tests and
//! programs that embed the library all drive the same code.
//!
//! - [`consensus`] replicates a log of commands among the voters.
//! - [`cell`] is a cell whose workers poll the leader: the replicated state of
//!   jobs, workers and requests, and what the leader does with it.
//! - [`fleet`] is a cell in which the leader calls the workers instead. Its jobs
//!   are graphs of steps, and a plan defines their queues and pools.
//! - [`place`] decides which worker runs which task.
//! - [`admit`] queues work fairly, rejects early what can't be served in time
//!   and limits retries.
//! - [`route`] routes calls to the leader and to the instances of services.
//! - [`note`] checks release notes and keeps the workloads, teams and settings
//!   that they have put in force.
//! - [`lease`] tracks leases at the leader that grants them and at the worker
//!   that holds them.
//! - [`api`] defines the calls of callers, workers and operators, and their
//!   replies.
//! - [`wire`] defines the frames between nodes.
//! - [`verdict`] defines what is known about a request's work: that it ran,
//!   hasn't run or may have run.
//! - [`id`], [`mod@unit`] and [`digest`] define identifiers, quantities and
//!   content digests.

pub mod admit;
pub mod api;
pub mod cell;
mod collections;
pub mod consensus;
pub mod digest;
pub mod fleet;
pub mod id;
pub mod lease;
pub mod note;
pub mod place;
pub mod route;
pub mod unit;
pub mod verdict;
pub mod wire;
