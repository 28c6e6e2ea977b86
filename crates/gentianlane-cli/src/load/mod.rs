//! `gentianlane load`: an open-loop load generator for a running cell.
//!
//! Each request has a scheduled send time that doesn't depend on the answers to
//! earlier ones. Latency is measured from that time, so that a stalled cell
//! can't hide the delay of the requests that queue up meanwhile (coordinated
//! omission).

mod plan;
mod plot;
mod report;
mod sender;
mod tally;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use gentianlane::id;
use miette::{Result, miette};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::exit::Exit;
use crate::load::plan::{Plan, Share};
use crate::load::report::Report;
use crate::print;

/// The definition of the command.
pub(crate) fn command() -> Command {
    Command::new("load")
        .about("Sends requests at a fixed rate and reports their outcomes and latency")
        .arg(
            Arg::new("work")
                .long("work")
                .value_name("WORKLOAD=WEIGHT")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(Share))
                .help("A workload and its share of the requests; may be given several times"),
        )
        .arg(
            Arg::new("team")
                .long("team")
                .value_name("NAME")
                .required(true)
                .help("The team whose quota the work counts towards"),
        )
        .arg(
            Arg::new("payload")
                .long("payload")
                .default_value("sleep=0 load")
                .help("The input of every task"),
        )
        .arg(number("rate", "20", "Requests per second"))
        .arg(number("seconds", "10", "How many seconds to send requests"))
        .arg(number(
            "resends",
            "0",
            "Percentage of requests that are sent again after their answer",
        ))
        .arg(number(
            "cancels",
            "0",
            "Percentage of requests that are cancelled",
        ))
        .arg(number(
            "senders",
            "64",
            "How many requests may be open at the same time",
        ))
        .arg(number("patience", "30", "Seconds to wait for an answer"))
        .arg(number("seed", "1", "The seed for the random choice of requests"))
        .arg(
            Arg::new("svg")
                .long("svg")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Write a plot of latency by percentile to this file"),
        )
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(value_parser!(u32).range(0..=100_000))
        .help(help)
}

/// Runs the load; the result is an error if any request is unaccounted for or
/// has a wrong answer.
pub(crate) fn run(
    matches: &ArgMatches,
    entries: &[SocketAddr],
    json: bool,
) -> Result<Exit> {
    let plan = plan(matches);
    if plan.rate == 0 || plan.senders == 0 || plan.total_weight() == 0 {
        return Err(miette!(
            "--rate, --senders and the sum of the weights have to be above zero"
        ));
    }
    let tally = sender::run(&plan, entries)?;
    let report = Report::new(&plan, &tally);
    match json {
        true => print::json(&report)?,
        false => println!("{report}"),
    }
    if let Some(path) = matches.get_one::<PathBuf>("svg") {
        plot::draw(path, &tally.latency)?;
    }
    Ok(match report.is_consistent() {
        true => Exit::Success,
        false => Exit::Error,
    })
}

fn plan(matches: &ArgMatches) -> Plan {
    let number = |name| matches.get_one::<u32>(name).copied().unwrap_or_default();
    let text = |name| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let mix = matches.get_many::<Share>("work").into_iter().flatten();
    Plan {
        mix: mix.cloned().collect(),
        team: id::Team(text("team")),
        payload: text("payload"),
        rate: number("rate"),
        seconds: number("seconds"),
        resends: number("resends"),
        cancels: number("cancels"),
        senders: number("senders"),
        timeout: Duration::from_secs(number("patience").into()),
        seed: number("seed").into(),
    }
}
