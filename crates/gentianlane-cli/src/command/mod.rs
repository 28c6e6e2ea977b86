//! What the command line offers.

mod call;
mod data;
mod fleet;
mod line;
mod overview;
mod wait;

use clap::ArgMatches;
use clap_complete::Shell;
use gentianlane::api::{Call, Reply};
use gentianlane_client::Client;
use miette::{IntoDiagnostic, Result};
use std::net::SocketAddr;

pub(crate) use line::line;

use crate::exit::Exit;
pub(crate) use wait::new_key;

use crate::{load, print};

/// Does what the command line says.
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
        Some((name, matches)) => ask(&mut client, &call::of(name, matches)?, json),
        None => Ok(Exit::Fault),
    }
}

fn note(client: &mut Client, matches: &ArgMatches, json: bool) -> Result<Exit> {
    match matches.subcommand() {
        Some(("check", matches)) => call::check(matches, json),
        Some(("apply", matches)) => ask(client, &call::note(matches)?, json),
        Some((_, matches)) if matches.get_flag("wait") => wait::in_force(client, json),
        _ => ask(client, &Call::NoteStatus, json),
    }
}

/// Makes one call and prints its reply.
fn ask(client: &mut Client, call: &Call, json: bool) -> Result<Exit> {
    let reply = client.call(call).into_diagnostic()?;
    show(&reply, json)
}

/// Prints a reply; its exit code.
fn show(reply: &Reply, json: bool) -> Result<Exit> {
    match json {
        true => print::json(reply)?,
        false => print::reply(reply),
    }
    Ok(Exit::of(reply))
}

fn completions(matches: &ArgMatches) -> Exit {
    let Some(&shell) = matches.get_one::<Shell>("SHELL") else {
        return Exit::Fault;
    };
    let mut line = line();
    clap_complete::generate(shell, &mut line, "gentianlane", &mut std::io::stdout());
    Exit::Success
}
