//! Builds the calls of the commands from their arguments.

use clap::ArgMatches;
use gentianlane::api::{Call, Cancel, Drain, NoteText};
use gentianlane::id;
use gentianlane::note::Note;
use gentianlane::unit::Span;
use miette::{IntoDiagnostic, Result, miette};
use std::path::PathBuf;

use crate::exit::Exit;
use crate::print;

/// How long a cancellation is held open for its answer.
const CANCEL_HOLD: Span = Span::from_secs(5);

/// Builds the call of a command that sends one call and prints its reply.
pub(super) fn build(name: &str, matches: &ArgMatches) -> Result<Call> {
    Ok(match name {
        "workers" => Call::Workers,
        "jobs" => Call::Jobs,
        "members" => Call::Members,
        "cancel" => Call::Cancel(Cancel {
            key: key(matches)?,
            hold: CANCEL_HOLD,
        }),
        "drain" => Call::Drain(Drain {
            worker: id::Worker(text(matches, "WORKER")),
            on: !matches.get_flag("undo"),
        }),
        "explain" => Call::Explain(id::Job(number(matches, "JOB"))),
        other => return Err(miette!("unknown command `{other}`")),
    })
}

/// Builds the call that applies a note.
pub(super) fn apply_note(matches: &ArgMatches) -> Result<Call> {
    let text = read_note(matches)?;
    Ok(Call::Note(NoteText { text }))
}

/// Validates a note without a call to the cell.
pub(super) fn check_note(matches: &ArgMatches, json: bool) -> Result<Exit> {
    let text = read_note(matches)?;
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

fn read_note(matches: &ArgMatches) -> Result<String> {
    let path = matches.get_one::<PathBuf>("FILE");
    let path = path.ok_or_else(|| miette!("no file was given"))?;
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
