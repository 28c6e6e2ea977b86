//! The command line and its subcommands.

mod check;
mod dev;
mod fleet;
mod init;
mod run;
mod worker;

use clap::{Arg, ArgAction, Command, value_parser};
use miette::Result;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code of a command that failed.
pub(crate) const EXIT_FAULT: u8 = 1;

/// The exit code for settings that were refused.
pub(crate) const EXIT_SETTINGS: u8 = 3;

/// Parses the command line and runs its subcommand.
pub(crate) fn run() -> Result<ExitCode> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("check", matches)) => check::run(matches),
        Some(("init", matches)) => init::run(matches),
        Some(("run", matches)) => run::run(matches),
        Some(("dev", matches)) => dev::run(matches),
        Some(("core", matches)) => fleet::core(matches),
        Some(("entry", matches)) => fleet::entry(matches),
        Some(("worker", matches)) => worker::run(matches),
        _ => Ok(ExitCode::from(EXIT_FAULT)),
    }
}

fn command() -> Command {
    Command::new("gentianlaned")
        .about("The daemon of a gentianlane cell")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Checks a settings file")
                .arg(path("FILE", "The settings file").required(true).index(1)),
        )
        .subcommand(
            Command::new("init")
                .about("Creates the data folder of a new node")
                .arg(path("settings", "The settings file").long("settings").required(true)),
        )
        .subcommand(
            Command::new("run").about("Runs a node").arg(
                path("settings", "The settings file").long("settings").required(true),
            ),
        )
        .subcommand(
            Command::new("dev")
                .about("Runs a whole cell with simulated workers on loopback")
                .arg(
                    Arg::new("once")
                        .long("once")
                        .action(ArgAction::SetTrue)
                        .help("Run the sample jobs and exit"),
                )
                .arg(
                    path("data", "Where the nodes keep their state; removed at the end if not given")
                        .long("data"),
                ),
        )
        .subcommand(fleet::core_command())
        .subcommand(fleet::entry_command())
        .subcommand(worker::command())
}

fn path(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("FILE")
        .help(help)
        .value_parser(value_parser!(PathBuf))
}
