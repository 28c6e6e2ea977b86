//! What the log builds, and the leader's work upon it.
//!
//! [`State`] is the same on every node that has applied the same entries.
//! [`Node`] joins it to the agreement: it takes calls, messages and the time,
//! and gives outputs that have to be carried out in order.

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
