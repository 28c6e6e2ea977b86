//! `gentianlaned worker`: a simulated worker, for trying a cell out without real
//! tasks.

use clap::{Arg, ArgMatches, Command, value_parser};
use gentianlane::api::Announce;
use gentianlane::id;
use gentianlane::unit::Size;
use gentianlane_client::simulated;
use miette::{IntoDiagnostic, Result};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::process::ExitCode;

use crate::clock::Clock;

/// Bytes in a gibibyte.
const BYTES_PER_GIB: u64 = 1 << 30;

pub(super) fn command() -> Command {
    let text = |name, help| Arg::new(name).long(name).value_name("NAME").help(help);
    let number = |name, help| {
        Arg::new(name)
            .long(name)
            .value_name("COUNT")
            .value_parser(value_parser!(u32))
            .help(help)
    };
    Command::new("worker")
        .about("Runs a simulated worker, whose tasks execute nothing")
        .arg(text("name", "The worker's name").required(true))
        .arg(text("domain", "Its failure domain").default_value("domain-1"))
        .arg(text("rack", "Its rack").default_value("rack-1"))
        .arg(number("cores", "Its processors").default_value("16"))
        .arg(number("gib", "Its memory in GiB").default_value("32"))
        .arg(number("accelerators", "Its accelerators").default_value("0"))
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("ADDRESS")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(SocketAddr))
                .help("The entry VMs' addresses for callers"),
        )
}

pub(super) fn run(matches: &ArgMatches) -> Result<ExitCode> {
    let mut signals = Signals::new([SIGINT, SIGTERM]).into_diagnostic()?;
    let worker = simulated::Worker::start(setup(matches), |run| {
        let (token, workload, payload) = (run.token, &run.workload, &run.payload);
        println!("event=began token={token} workload={workload} payload={payload:?}");
    });
    signals.forever().next();
    worker.stop();
    Ok(ExitCode::SUCCESS)
}

fn setup(matches: &ArgMatches) -> simulated::Setup {
    let text = |name| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name| matches.get_one::<u32>(name).copied().unwrap_or_default();
    let (cores, gib) = (u64::from(number("cores")), u64::from(number("gib")));
    let announce = Announce {
        worker: id::Worker(text("name")),
        incarnation: id::Incarnation(Clock::wall().as_millis()),
        size: Size::new(cores * 1_000, gib * BYTES_PER_GIB, number("accelerators")),
        region: id::Region::default(),
        domain: id::Domain(text("domain")),
        rack: id::Rack(text("rack")),
        address: String::new(),
    };
    let entries = matches
        .get_many::<SocketAddr>("entry")
        .into_iter()
        .flatten();
    simulated::Setup {
        announce,
        entries: entries.copied().collect(),
    }
}
