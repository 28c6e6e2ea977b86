//! The definition of the command line: commands, options and help.

use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;
use gentianlane::id;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::command::{data, fleet};
use crate::load;

/// The exit codes, printed below the help.
const EXIT_CODES: &str = "Exit codes: 0 done, 1 no reply or a file that can't be used, \
2 invalid command line, 3 not run or refused, 4 may have run, 5 ran and failed.";

/// The definition of the whole command line.
pub(crate) fn definition() -> Command {
    Command::new("gentianlane")
        .about("Submits work to a gentianlane cell and operates it")
        .after_help(EXIT_CODES)
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
                .about("Waits for the answer to a request")
                .arg(key())
                .arg(seconds("patience", "60", "How long to wait")),
        )
        .subcommand(Command::new("cancel").about("Cancels a request").arg(key()))
        .subcommand(Command::new("workers").about("Lists the workers"))
        .subcommand(
            Command::new("jobs")
                .visible_alias("tasks")
                .about("Lists the jobs"),
        )
        .subcommand(Command::new("members").about("Lists the nodes"))
        .subcommand(
            Command::new("drain")
                .about("Drains a worker, so that it gets no new tasks")
                .arg(Arg::new("WORKER").required(true))
                .arg(flag("undo", "Put the worker back into use")),
        )
        .subcommand(
            Command::new("explain")
                .about("Explains why a job waits or where it was placed")
                .arg(
                    Arg::new("JOB")
                        .required(true)
                        .value_parser(value_parser!(u64)),
                ),
        )
        .subcommand(Command::new("top").about("Shows a summary of the cell"))
        .subcommand(data::command())
        .subcommand(fleet::command())
        .subcommand(load::command())
        .subcommand(
            Command::new("completions")
                .about("Prints completions for a shell")
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
        .about("Checks and applies release notes")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Validates a note without a cell")
                .arg(file()),
        )
        .subcommand(
            Command::new("apply")
                .about("Applies a note to the cell")
                .arg(file()),
        )
        .subcommand(
            Command::new("status")
                .about("Shows the revision in force and the nodes that have it")
                .arg(flag("wait", "Wait until it is in force at every node")),
        )
}

fn submit() -> Command {
    let name = |name, help| Arg::new(name).long(name).value_name("NAME").help(help);
    Command::new("submit")
        .about("Submits work and waits for its answer")
        .arg(Arg::new("WORKLOAD").required(true))
        .arg(Arg::new("PAYLOAD").default_value(""))
        .arg(name("team", "The team whose quota the work counts towards").required(true))
        .arg(
            Arg::new("key")
                .long("key")
                .value_parser(value_parser!(id::Key))
                .help("The request's key, a version 7 UUID; generated if omitted"),
        )
        .arg(
            Arg::new("count")
                .long("count")
                .value_parser(value_parser!(u32))
                .help("The number of tasks to run together"),
        )
        .arg(seconds(
            "deadline",
            "60",
            "How long the work may wait before it starts",
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

/// An option whose value is a duration in whole seconds.
fn seconds(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("SECONDS")
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}
