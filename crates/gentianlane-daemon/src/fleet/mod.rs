//! A fleet's processes: cores that hold the log and call workers, and entries
//! that take callers' requests to the core that leads.

mod client;
mod control;
mod core;
mod entry;
mod forward;
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
