//! The command line for operators and callers.
//!
//! [`run`] reads the command line, asks the cell and prints its reply.

mod command;
mod exit;
mod load;
mod print;
mod table;

use std::process::ExitCode;

/// Runs the command line and gives its exit code.
#[must_use]
pub fn run() -> ExitCode {
    let matches = command::line().get_matches();
    match command::run(&matches) {
        Ok(exit) => exit.into(),
        Err(report) => {
            eprintln!("{report:?}");
            exit::Exit::Fault.into()
        }
    }
}
