//! The core of a cluster scheduler, as state machines without I/O.
//!
//! Each state machine takes an input and the current time and returns outputs.
//! None of them starts a thread, opens a socket or a file, reads a clock or
//! draws from a random source of its own, so that the daemon, the tests and
//! programs that embed the library all drive the same code.
//!
//! - [`consensus`] replicates a log of commands among the voters.
//! - [`cell`] is the replicated state that the log builds, and the leader's
//!   work on it.
//! - [`fleet`] runs graphs of steps on workers that the leader calls.
//! - [`place`] decides which worker runs which task.
//! - [`admit`] queues work fairly, rejects early what can't be served in time
//!   and limits retries.
//! - [`route`] routes calls to the leader and to the instances of services.
//! - [`note`] checks release notes and keeps what they have put in force.
//! - [`lease`] counts the leases of workers at the leader and at the worker.
//! - [`api`] defines the calls of callers, workers and operators, and their
//!   replies.
//! - [`wire`] defines the frames between nodes.
//! - [`verdict`] says whether a request's work has run or may have run.
//! - [`id`], [`mod@unit`] and [`digest`] define identifiers, quantities and
//!   content digests.

pub mod admit;
pub mod api;
pub mod cell;
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
