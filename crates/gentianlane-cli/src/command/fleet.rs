//! `gentianlane fleet`: the state of a fleet, as its leading core reports it.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use gentianlane::fleet::dispatch::Overview;
use miette::{IntoDiagnostic, Result, miette};

use crate::exit::Exit;
use crate::print;

/// The time limit for a core's reply.
const TIMEOUT: Duration = Duration::from_secs(3);

pub(super) fn command() -> Command {
    Command::new("fleet")
        .about("Shows a fleet's plan, voters, queues, teams, waiting steps and workers")
        .arg(
            Arg::new("CORE")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("A core's address for operators"),
        )
}

pub(super) fn run(matches: &ArgMatches, json: bool) -> Result<Exit> {
    let core = matches
        .get_one::<SocketAddr>("CORE")
        .ok_or_else(|| miette!("no address of a core was given"))?;
    let response = attohttpc::get(format!("http://{core}/overview"))
        .timeout(TIMEOUT)
        .send()
        .into_diagnostic()?;
    if !response.is_success() {
        return Err(miette!("{core} replied with status {}", response.status()));
    }
    let overview: Overview = response.json().into_diagnostic()?;
    match json {
        true => print::json(&overview)?,
        false => show(&overview),
    }
    Ok(Exit::Success)
}

fn show(overview: &Overview) {
    let plan = overview
        .plan
        .map_or("none".to_owned(), |plan| plan.to_string());
    println!("plan      {plan}");
    println!(
        "voters    {}, term {}",
        overview.voters.join(" "),
        overview.term
    );
    println!(
        "jobs      {} open, {} steps wait, {} runs",
        overview.open_jobs, overview.waiting_steps, overview.runs
    );
    for queue in &overview.queues {
        println!(
            "queue     {:<16} {:<12} urgency {}, {:>4} jobs, {:>4} tasks wait, {:>4} run",
            queue.name,
            queue.pool,
            queue.priority,
            queue.jobs,
            queue.waiting,
            queue.running
        );
    }
    for team in &overview.teams {
        println!(
            "team      {:<16} {:>6.1} jobs/s, uses {} of {}, {:>4} jobs, {:>3} steps wait \
             for its limit, {:>3} beyond its share",
            team.name,
            team.share_permille as f64 / 1_000.0,
            team.used,
            team.limit,
            team.jobs,
            team.held_steps,
            team.steps_beyond_share
        );
    }
    for step in &overview.steps {
        println!(
            "step      {:<24} {:<12} {:>3} tasks wait for {}, {:>3} run, waited {} ms, slack {} ms",
            step.name,
            step.queue,
            step.waiting,
            step.cause,
            step.running,
            step.waited_ms,
            step.slack_ms
        );
        for worker in &step.avoided_workers {
            let limit = step
                .avoided_ms
                .map_or("its turn".to_owned(), |ms| format!("{ms} ms at most"));
            println!(
                "          avoids {}, as {}; waits for {limit}",
                worker.name, worker.reason
            );
        }
    }
    for worker in &overview.workers {
        let state = match (worker.draining, worker.unanswered) {
            (true, _) => "draining",
            (false, 0) if worker.paused_ms > 0 => "paused",
            (false, 0) if worker.failures > 0 => "probation",
            (false, 0) => "ready",
            (false, _) => "silent",
        };
        println!(
            "{:<16} {:<12} {state:<9} {:>3} runs, free {} mcores {} MiB {} accelerators",
            worker.name,
            worker.pool,
            worker.runs,
            worker.free_millicores,
            worker.free_memory,
            worker.free_accelerators
        );
    }
}
