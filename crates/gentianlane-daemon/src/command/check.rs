//! `gentianlaned check`: reads a settings file and says what is wrong with it.

use clap::ArgMatches;
use miette::{IntoDiagnostic, Result};
use std::path::PathBuf;
use std::process::ExitCode;

use crate::process::settings::Settings;

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let path = matches.get_one::<PathBuf>("FILE").into_iter();
    for path in path {
        let text = std::fs::read_to_string(path).into_diagnostic()?;
        let settings = Settings::read(&path.display().to_string(), &text)?;
        println!(
            "{}: node {} of cell {}",
            path.display(),
            settings.node,
            settings.cell
        );
    }
    Ok(ExitCode::SUCCESS)
}
