//! The daemon of a cell, one process on every entry VM.
//!
//! [`run`] parses the command line and runs its subcommand. A cell's node is laid
//! out by lifetime: `process`, `connection` and `request`. `fleet` holds the core
//! and the entry of a fleet.

mod channel;
mod clock;
mod command;
mod connection;
mod durable;
mod fleet;
mod process;
mod request;

use std::process::ExitCode;

/// Runs the daemon's command line and returns its exit code.
#[must_use]
pub fn run() -> ExitCode {
    match command::run() {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            match report.downcast_ref::<process::settings::Fault>() {
                Some(_) => ExitCode::from(command::EXIT_SETTINGS),
                None => ExitCode::from(command::EXIT_FAULT),
            }
        }
    }
}
