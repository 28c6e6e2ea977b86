//! A stand-in worker: the worker's side of the lease protocol, with tasks
//! that only pretend to run.

mod desk;
mod script;
mod worker;

pub use desk::{Desk, Run};
pub use script::Script;
pub use worker::{Setup, Worker};
