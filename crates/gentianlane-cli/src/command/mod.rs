//! The commands: their definition and what they do.

mod call;
mod data;
mod definition;
mod fleet;
mod overview;
mod wait;

use clap::ArgMatches;
use clap_complete::Shell;
use gentianlane::api::{Call, Reply};
use gentianlane_client::Client;
use miette::{IntoDiagnostic, Result};
use std::net::SocketAddr;

pub(crate) use definition::definition;

use crate::exit::Exit;
pub(crate) use wait::new_key;

use crate::{load, print};

/// Runs the command of a parsed command line.
pub(crate) fn run(matches: &ArgMatches) -> Result<Exit> {
    let json = matches.get_flag("json");
    let entries: Vec<SocketAddr> = matches
        .get_many("entry")
        .into_iter()
        .flatten()
        .copied()
        .collect();
    let mut client = Client::new(entries.iter().copied());
    match matches.subcommand() {
        Some(("completions", matches)) => Ok(completions(matches)),
        Some(("data", matches)) => data::run(matches, json),
        Some(("fleet", matches)) => fleet::run(matches, json),
        Some(("load", matches)) => load::run(matches, &entries, json),
        Some(("top", _)) => overview::run(&mut client, json),
        Some(("submit", matches)) => wait::submit(&mut client, matches, json),
        Some(("wait", matches)) => wait::wait(&mut client, matches, json),
        Some(("note", matches)) => note(&mut client, matches, json),
        Some((name, matches)) => send(&mut client, &call::build(name, matches)?, json),
        None => Ok(Exit::Error),
    }
}

fn note(client: &mut Client, matches: &ArgMatches, json: bool) -> Result<Exit> {
    match matches.subcommand() {
        Some(("check", matches)) => call::check_note(matches, json),
        Some(("apply", matches)) => send(client, &call::apply_note(matches)?, json),
        Some((_, matches)) if matches.get_flag("wait") => {
            wait::wait_in_force(client, json)
        }
        _ => send(client, &Call::NoteStatus, json),
    }
}

/// Sends one call and prints its reply.
fn send(client: &mut Client, call: &Call, json: bool) -> Result<Exit> {
    let reply = client.call(call).into_diagnostic()?;
    show(&reply, json)
}

/// Prints a reply and returns the exit code for it.
fn show(reply: &Reply, json: bool) -> Result<Exit> {
    match json {
        true => print::json(reply)?,
        false => print::reply(reply),
    }
    Ok(Exit::of(reply))
}

fn completions(matches: &ArgMatches) -> Exit {
    let Some(&shell) = matches.get_one::<Shell>("SHELL") else {
        return Exit::Error;
    };
    let mut definition = definition();
    clap_complete::generate(
        shell,
        &mut definition,
        "gentianlane",
        &mut std::io::stdout(),
    );
    Exit::Success
}
