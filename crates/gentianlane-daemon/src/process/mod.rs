//! Parts with the lifetime of the process: the node and its control thread, the
//! data folder, settings, logs and telemetry.

pub(crate) mod control;
pub(crate) mod data;
pub(crate) mod disk_full;
pub(crate) mod log;
pub(crate) mod node;
pub(crate) mod settings;
pub(crate) mod telemetry;
pub(crate) mod view;
