//! A simulated worker: the worker's side of the lease protocol, with tasks
//! that don't run anything but end as their payload says.

mod script;
mod state;
mod worker;

pub use script::Script;
pub use state::{Run, State};
pub use worker::{Setup, Worker};
