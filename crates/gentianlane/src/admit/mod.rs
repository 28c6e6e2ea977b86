//! Admission: what is accepted, and what is rejected early and at little cost.
//!
//! [`Queue`] bounds the work that waits by length, by waiting time and by
//! requester. [`Budget`] bounds how much retries may add to the load.

mod budget;
mod queue;

pub use budget::Budget;
pub use queue::{Bounds, Item, Queue, Rejection, Requester};
