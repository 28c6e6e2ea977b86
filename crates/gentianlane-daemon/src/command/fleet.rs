//! The commands `gentianlaned core` and `gentianlaned entry`, which run a process
//! of a fleet or check its settings file.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use miette::{Result, miette};

use crate::fleet;

/// The environment variable with the path of the settings file, for a command
/// line without `--settings`.
const SETTINGS_VARIABLE: &str = "GENTIANLANE_BOOT";

pub(super) fn core_command() -> Command {
    command(
        "core",
        "Runs a fleet's core, which replicates the log and sends orders to workers",
    )
}

pub(super) fn entry_command() -> Command {
    command(
        "entry",
        "Runs a fleet's entry, which forwards callers' requests to the leader",
    )
}

fn command(name: &'static str, about: &'static str) -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("The settings file; without it, the one that GENTIANLANE_BOOT names")
        .value_parser(value_parser!(PathBuf));
    let check = Arg::new("check")
        .long("check")
        .action(clap::ArgAction::SetTrue)
        .help("Checks the settings and exits");
    Command::new(name).about(about).arg(settings).arg(check)
}

pub(super) fn core(matches: &ArgMatches) -> Result<ExitCode> {
    run(matches, fleet::run_core)
}

pub(super) fn entry(matches: &ArgMatches) -> Result<ExitCode> {
    run(matches, fleet::run_entry)
}

fn run(
    matches: &ArgMatches,
    process: impl Fn(&std::path::Path) -> Result<()>,
) -> Result<ExitCode> {
    let path = match matches.get_one::<PathBuf>("settings") {
        Some(path) => path.clone(),
        None => std::env::var_os(SETTINGS_VARIABLE)
            .map(PathBuf::from)
            .ok_or_else(|| {
                miette!("neither --settings nor {SETTINGS_VARIABLE} names a file")
            })?,
    };
    if matches.get_flag("check") {
        fleet::Settings::read(&path)?;
        println!("{} is fine", path.display());
        return Ok(ExitCode::SUCCESS);
    }
    process(&path)?;
    Ok(ExitCode::SUCCESS)
}
