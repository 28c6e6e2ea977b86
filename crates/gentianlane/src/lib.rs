//! Coordination parts of a cluster scheduler, as state machines without I/O.
//!
//! Every part takes an input and the current time and returns outputs. None of
//! them starts a thread, opens a socket or a file, reads a clock or draws from
//! a random source of its own, so that the daemon, the tests and programs that
//! embed the library all drive the same code.
//!
//! - [`consensus`] replicates a log of commands among the voters.
//! - [`cell`] is the state that the log builds, and the leader's work upon it.
//! - [`fleet`] runs graphs of steps on workers that the leader calls.
//! - [`place`] decides which worker runs what.
//! - [`admit`] refuses early what can't be served in time.
//! - [`route`] takes calls to the leader and to the instances of services.
//! - [`note`] checks release notes and keeps those in force.
//! - [`api`] holds what callers, workers and operators send and receive.
//! - [`verdict`] says whether a request may have run.

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
