//! What lives as long as the process.

pub(crate) mod control;
pub(crate) mod data;
pub(crate) mod disk_full;
pub(crate) mod log;
pub(crate) mod node;
pub(crate) mod settings;
pub(crate) mod telemetry;
pub(crate) mod view;
