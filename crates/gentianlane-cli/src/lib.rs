//! The command line for operators and callers.
//!
//! [`run`] parses the command line, sends the call to the cell and prints the
//! reply. The `load` command generates load on a cell, and `data` inspects a
//! node's data folder without its node.

mod command;
mod exit;
mod load;
mod print;
mod table;

use std::process::ExitCode;

/// Runs the command that the process arguments name and returns its exit code.
#[must_use]
pub fn run() -> ExitCode {
    let matches = command::definition().get_matches();
    match command::run(&matches) {
        Ok(exit) => exit.into(),
        Err(report) => {
            eprintln!("{report:?}");
            exit::Exit::Error.into()
        }
    }
}
