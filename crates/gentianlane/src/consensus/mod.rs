//! Agreement on one log of commands among the voters of a cell.
//!
//! [`Node`] takes messages, proposals and the time, and gives [`Output`]s that
//! have to be carried out in order: what precedes a message has to be on disk
//! before the message leaves.

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
