//! The processes of a fleet: cores, which replicate the log and, as the leader,
//! send orders to workers, and entries, which forward callers' requests to the
//! leader.

mod control;
mod core;
mod deadline;
mod delivery;
mod downstream;
mod entry;
mod forward;
mod intake;
mod lateness;
mod link;
mod link_server;
mod log;
mod memory;
mod metrics;
mod replica;
mod server;
mod settings;
mod shared;
mod stop;
mod traffic;

pub(crate) use core::run as run_core;
pub(crate) use entry::run as run_entry;
pub(crate) use settings::Settings;
