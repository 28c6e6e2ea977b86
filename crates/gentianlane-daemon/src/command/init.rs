//! `gentianlaned init`: creates the data folder of a new node.

use clap::ArgMatches;
use miette::Result;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::command::check;
use crate::process::data;
use crate::process::settings::Fault;

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let path = matches
        .get_one::<PathBuf>("settings")
        .ok_or(Fault::NoFile)?;
    let settings = check::read(path)?;
    data::init(&settings)?;
    println!("{} of cell {} can start", settings.node, settings.cell);
    Ok(ExitCode::SUCCESS)
}
