//! `gentianlaned run`: runs one node until it is told to stop.

use clap::ArgMatches;
use miette::{IntoDiagnostic, Result};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::process::node::Node;
use crate::process::settings::Settings;
use crate::process::{log, settings};

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return Err(settings::Fault::NoFile.into());
    };
    let text = std::fs::read_to_string(path).into_diagnostic()?;
    let settings = Settings::read(&path.display().to_string(), &text)?;
    let mut signals = Signals::new([SIGINT, SIGTERM]).into_diagnostic()?;
    let node = Node::start(&settings, &log::to_stderr())?;
    signals.forever().next();
    node.stop();
    Ok(ExitCode::SUCCESS)
}
