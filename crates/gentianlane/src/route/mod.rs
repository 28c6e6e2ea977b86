//! The ways of calls: to the leader, and to the instances of a service.
//!
//! [`Forward`] takes one call from an entry VM to whoever leads, and settles
//! what is said if the way breaks. The leader's [`Shares`] part each instance's
//! room among the entries, under leases; an entry's [`Table`] picks an instance
//! for each task or connection within the shares that it holds.

mod forward;
mod share;
mod table;

pub use forward::{Cut, Forward, Next};
pub use share::{Grant, Instance, Keep, Room, Shares};
pub use table::{Bounds, Closed, Pick, Table};
