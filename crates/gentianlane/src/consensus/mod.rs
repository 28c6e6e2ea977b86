//! A log of commands that is replicated among the voters of a cell, with leader
//! election in the manner of Raft.
//!
//! [`Node`] is a state machine without I/O. It takes messages, proposals and
//! the current time, and returns [`Output`]s that the caller carries out in
//! order: writes that precede a message must be synced to disk before the
//! message is sent.

mod log;
mod message;
mod node;
mod peer;
mod quorum;
mod setup;

pub use log::{Entry, Index, Payload, Term};
pub use message::{Append, Attributes, Body, Chunk, Message, Position};
pub use node::Node;
pub use quorum::Voters;
pub use setup::{
    Ballot, ChangeError, DurableState, IdentityStatus, NotLeader, Output, Role, Setup,
    Snapshot, Timing, VoterChange,
};
