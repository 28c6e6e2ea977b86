//! An open-loop load on a running cell.
//!
//! Requests have times at which they are meant to leave, whether or not
//! earlier ones have been answered. Latency counts from that time, so that a
//! cell which stalls can't hide the requests that had to wait meanwhile.

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
use crate::load::plan::{Mix, Plan};
use crate::load::report::Report;
use crate::print;

/// The command's words.
pub(crate) fn command() -> Command {
    Command::new("load")
        .about("Sends requests at a rate and reports how they were answered")
        .arg(
            Arg::new("work")
                .long("work")
                .value_name("WORKLOAD=WEIGHT")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(Mix))
                .help("A workload and its share; may be given several times"),
        )
        .arg(
            Arg::new("team")
                .long("team")
                .value_name("NAME")
                .required(true)
                .help("The team that pays"),
        )
        .arg(
            Arg::new("payload")
                .long("payload")
                .default_value("sleep=0 load")
                .help("Every task's input"),
        )
        .arg(number("rate", "20", "Requests a second"))
        .arg(number("seconds", "10", "How long requests are sent"))
        .arg(number(
            "resends",
            "0",
            "Per cent of the requests that are sent again",
        ))
        .arg(number(
            "cancels",
            "0",
            "Per cent of the requests that are withdrawn",
        ))
        .arg(number(
            "senders",
            "64",
            "How many requests may be open at a time",
        ))
        .arg(number("patience", "30", "Seconds to wait for an answer"))
        .arg(number("seed", "1", "The seed of the mix"))
        .arg(
            Arg::new("svg")
                .long("svg")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Draw the latency by percentile"),
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

/// Loads the cell; the exit is a fault if any answer was wrong.
pub(crate) fn run(
    matches: &ArgMatches,
    entries: &[SocketAddr],
    json: bool,
) -> Result<Exit> {
    let plan = plan(matches);
    if plan.rate == 0 || plan.senders == 0 || plan.total_weight() == 0 {
        return Err(miette!(
            "the rate, the senders and the weights have to be above zero"
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
    Ok(match report.adds_up() {
        true => Exit::Success,
        false => Exit::Fault,
    })
}

fn plan(matches: &ArgMatches) -> Plan {
    let number = |name| matches.get_one::<u32>(name).copied().unwrap_or_default();
    let text = |name| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let mix = matches.get_many::<Mix>("work").into_iter().flatten();
    Plan {
        mix: mix.cloned().collect(),
        team: id::Team(text("team")),
        payload: text("payload"),
        rate: number("rate"),
        seconds: number("seconds"),
        resends: number("resends"),
        cancels: number("cancels"),
        senders: number("senders"),
        patience: Duration::from_secs(number("patience").into()),
        seed: number("seed").into(),
    }
}
