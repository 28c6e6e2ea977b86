//! The command line's words.

use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;
use gentianlane::id;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::command::{data, fleet};
use crate::load;

/// What the exit codes mean, below the help.
const EXITS: &str = "Exit codes: 0 done, 1 no reply or a file's fault, 2 wrong command \
line, 3 not run or refused, 4 may have run, 5 ran and failed.";

/// The whole command line.
pub(crate) fn line() -> Command {
    Command::new("gentianlane")
        .about("Asks a gentianlane cell")
        .after_help(EXITS)
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("ADDRESS")
                .action(ArgAction::Append)
                .global(true)
                .value_parser(value_parser!(SocketAddr))
                .help("An entry VM's address for callers; may be given several times"),
        )
        .arg(flag("json", "Print JSON on one line").global(true))
        .subcommand(note())
        .subcommand(submit())
        .subcommand(
            Command::new("wait")
                .about("Waits for a request's answer")
                .arg(key())
                .arg(seconds("patience", "60", "How long to wait")),
        )
        .subcommand(
            Command::new("cancel")
                .about("Withdraws a request")
                .arg(key()),
        )
        .subcommand(Command::new("workers").about("Lists the workers"))
        .subcommand(
            Command::new("jobs")
                .visible_alias("tasks")
                .about("Lists the jobs"),
        )
        .subcommand(Command::new("members").about("Lists the nodes"))
        .subcommand(
            Command::new("drain")
                .about("Empties a worker")
                .arg(Arg::new("WORKER").required(true))
                .arg(flag("undo", "Put the worker back into use")),
        )
        .subcommand(
            Command::new("explain")
                .about("Says why a job waits or where it went")
                .arg(
                    Arg::new("JOB")
                        .required(true)
                        .value_parser(value_parser!(u64)),
                ),
        )
        .subcommand(Command::new("top").about("Shows the cell at a glance"))
        .subcommand(data::command())
        .subcommand(fleet::command())
        .subcommand(load::command())
        .subcommand(
            Command::new("completions")
                .about("Prints a shell's completions")
                .arg(
                    Arg::new("SHELL")
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                ),
        )
}

fn note() -> Command {
    let file = || {
        Arg::new("FILE")
            .required(true)
            .value_parser(value_parser!(PathBuf))
    };
    Command::new("note")
        .about("Release notes")
        .subcommand_required(true)
        .subcommand(Command::new("check").about("Reads a note").arg(file()))
        .subcommand(Command::new("apply").about("Hands a note in").arg(file()))
        .subcommand(
            Command::new("status")
                .about("Says what is in force, and where")
                .arg(flag("wait", "Wait until it is in force at every node")),
        )
}

fn submit() -> Command {
    let name = |name, help| Arg::new(name).long(name).value_name("NAME").help(help);
    Command::new("submit")
        .about("Asks for work and waits for its answer")
        .arg(Arg::new("WORKLOAD").required(true))
        .arg(Arg::new("PAYLOAD").default_value(""))
        .arg(name("team", "The team that pays").required(true))
        .arg(
            Arg::new("key")
                .long("key")
                .value_parser(value_parser!(id::Key))
                .help("The request's key, a version 7 UUID; drawn if not given"),
        )
        .arg(
            Arg::new("count")
                .long("count")
                .value_parser(value_parser!(u32))
                .help("How many tasks at once"),
        )
        .arg(seconds(
            "deadline",
            "60",
            "How long the work may wait for its start",
        ))
        .arg(seconds("patience", "60", "How long to wait for the answer"))
}

fn key() -> Arg {
    Arg::new("KEY")
        .required(true)
        .value_parser(value_parser!(id::Key))
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
}

/// A length of time in whole seconds.
fn seconds(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("SECONDS")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}
