//! `gentianlaned run`: runs one node until SIGINT or SIGTERM.

use clap::ArgMatches;
use miette::{IntoDiagnostic, Result};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slog::warn;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::command::check;
use crate::process::node::Node;
use crate::process::settings::Fault;
use crate::process::{data, log};

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let path = matches
        .get_one::<PathBuf>("settings")
        .ok_or(Fault::NoFile)?;
    let settings = check::read(path)?;
    let log = log::to_stderr();
    for warning in settings.warnings() {
        warn!(log, "settings"; "warning" => warning);
    }
    data::check(&settings)?;
    let mut signals = Signals::new([SIGINT, SIGTERM]).into_diagnostic()?;
    let node = Node::start(&settings, &log)?;
    signals.forever().next();
    node.stop();
    Ok(ExitCode::SUCCESS)
}
