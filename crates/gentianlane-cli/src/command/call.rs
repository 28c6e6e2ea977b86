//! The calls that commands make.

use clap::ArgMatches;
use gentianlane::api::{Call, Cancel, Drain, NoteText};
use gentianlane::id;
use gentianlane::note::Note;
use gentianlane::unit::Span;
use miette::{IntoDiagnostic, Result, miette};
use std::path::PathBuf;

use crate::exit::Exit;
use crate::print;

/// How long a cancellation is held for its answer.
const HOLD: Span = Span::from_secs(5);

/// The call that a command without options of its own makes.
pub(super) fn of(name: &str, matches: &ArgMatches) -> Result<Call> {
    Ok(match name {
        "workers" => Call::Workers,
        "jobs" => Call::Jobs,
        "members" => Call::Members,
        "cancel" => Call::Cancel(Cancel {
            key: key(matches)?,
            hold: HOLD,
        }),
        "drain" => Call::Drain(Drain {
            worker: id::Worker(text(matches, "WORKER")),
            on: !matches.get_flag("undo"),
        }),
        "explain" => Call::Explain(id::Job(number(matches, "JOB"))),
        other => return Err(miette!("there is no command {other}")),
    })
}

/// The call that hands in a note.
pub(super) fn note(matches: &ArgMatches) -> Result<Call> {
    let text = read(matches)?;
    Ok(Call::Note(NoteText { text }))
}

/// Reads a note without asking the cell.
pub(super) fn check(matches: &ArgMatches, json: bool) -> Result<Exit> {
    let text = read(matches)?;
    let note = match Note::read(&text) {
        Ok(note) => note,
        Err(fault) => {
            eprintln!("{fault}");
            return Ok(Exit::NotRun);
        }
    };
    match json {
        true => print::json(&note.digest())?,
        false => println!("note {} reads well: {}", note.number, note.digest()),
    }
    Ok(Exit::Success)
}

fn read(matches: &ArgMatches) -> Result<String> {
    let path = matches.get_one::<PathBuf>("FILE");
    let path = path.ok_or_else(|| miette!("no file was named"))?;
    std::fs::read_to_string(path)
        .into_diagnostic()
        .map_err(|report| report.context(path.display().to_string()))
}

pub(super) fn key(matches: &ArgMatches) -> Result<id::Key> {
    let key = matches.get_one("KEY").copied();
    key.ok_or_else(|| miette!("no key was given"))
}

pub(super) fn text(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

pub(super) fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one::<u64>(name).copied().unwrap_or_default()
}
