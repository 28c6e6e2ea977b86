//! The processes of a fleet: cores, which replicate the log and, as the leader,
//! send orders to workers, and entries, which forward callers' requests to the
//! leader.

mod control;
mod core;
mod deadline;
mod delivery;
mod entry;
mod forward;
mod lateness;
mod link;
mod log;
mod metrics;
mod server;
mod settings;
mod stop;
mod traffic;

pub(crate) use core::run as run_core;
pub(crate) use entry::run as run_entry;
pub(crate) use settings::Settings;
