//! The daemon of a cell: one process on every entry VM.
//!
//! [`run`] reads the command line and does what it says. Modules are laid out
//! by life span: `request`, `connection` and `process`.

mod channel;
mod clock;
mod command;
mod connection;
mod durable;
mod fleet;
mod process;
mod request;

use std::process::ExitCode;

/// Runs the daemon as its command line says, and gives its exit code.
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
