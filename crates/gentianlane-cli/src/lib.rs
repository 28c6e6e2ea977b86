//! The command line for operators and callers.
//!
//! [`run`] reads the command line, asks the cell and prints its reply.

use clap::{Arg, ArgMatches, Command, value_parser};
use gentianlane::api::{Call, NoteText, Reply};
use gentianlane_client::Client;
use miette::{IntoDiagnostic, Result};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code for a call that the cell refused.
const EXIT_REFUSED: u8 = 2;

/// The exit code for a call without a reply.
const EXIT_FAULT: u8 = 1;

/// Runs the command line and gives its exit code.
#[must_use]
pub fn run() -> ExitCode {
    match ask(&command().get_matches()) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(EXIT_FAULT)
        }
    }
}

fn command() -> Command {
    Command::new("gentianlane")
        .about("Asks a gentianlane cell")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("An entry VM's address for callers"),
        )
        .subcommand(Command::new("workers").about("Lists the workers"))
        .subcommand(Command::new("jobs").about("Lists the jobs"))
        .subcommand(Command::new("members").about("Lists the nodes"))
        .subcommand(
            Command::new("note").about("Applies a release note").arg(
                Arg::new("FILE")
                    .required(true)
                    .value_parser(value_parser!(PathBuf)),
            ),
        )
}

fn ask(matches: &ArgMatches) -> Result<ExitCode> {
    let entry = matches.get_one::<SocketAddr>("entry").copied();
    let call = match matches.subcommand() {
        Some(("workers", _)) => Call::Workers,
        Some(("jobs", _)) => Call::Jobs,
        Some(("note", matches)) => note(matches)?,
        _ => Call::Members,
    };
    let reply = Client::new(entry).call(&call).into_diagnostic()?;
    println!(
        "{}",
        serde_json::to_string_pretty(&reply).into_diagnostic()?
    );
    Ok(match reply {
        Reply::Refused(_) => ExitCode::from(EXIT_REFUSED),
        _ => ExitCode::SUCCESS,
    })
}

fn note(matches: &ArgMatches) -> Result<Call> {
    let path = matches.get_one::<PathBuf>("FILE").into_iter();
    let mut text = String::new();
    for path in path {
        text.push_str(&std::fs::read_to_string(path).into_diagnostic()?);
    }
    Ok(Call::Note(NoteText { text }))
}
