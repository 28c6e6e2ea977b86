//! Routing of calls to the leader and to the instances of a service.
//!
//! An *entry VM*, or entry for short, is a node that takes calls from callers.
//! [`Forward`] carries one call from an entry to the current leader and
//! decides when to retry and what to reply if the leader can't be reached. The
//! leader's [`Shares`] divide the capacity of each instance among the entries,
//! under leases; an entry's [`Table`] picks an instance for each task or
//! connection within the shares that it holds.

mod forward;
mod share;
mod table;

pub use forward::{Forward, LinkError, Next};
pub use share::{Capacity, Grant, Instance, ShareRequest, Shares};
pub use table::{Bounds, Pick, Table, Unavailable};
