//! `gentianlaned check`: checks a settings file and prints its faults and warnings.

use clap::ArgMatches;
use miette::Result;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::process::settings::{Fault, Settings};

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let path = matches.get_one::<PathBuf>("FILE").ok_or(Fault::NoFile)?;
    let settings = read(path)?;
    let (node, cell) = (settings.node, &settings.cell);
    println!("{}: node {node} of cell {cell}", path.display());
    for warning in settings.warnings() {
        println!("warning: {warning}");
    }
    Ok(ExitCode::SUCCESS)
}

/// Reads and parses a settings file.
pub(super) fn read(path: &Path) -> Result<Settings, Fault> {
    let file = |error| Fault::File {
        path: path.to_owned(),
        error,
    };
    let text = std::fs::read_to_string(path).map_err(file)?;
    Settings::read(&path.display().to_string(), &text)
}
