//! Prints replies, as text for people or as JSON.

use gentianlane::api::{
    Answer, Explanation, JobView, MemberView, NoteStatus, Output, Refusal, Reply,
    WorkerView,
};
use gentianlane::note::Ruling;
use gentianlane::unit::Size;
use miette::{IntoDiagnostic, Result};
use serde::Serialize;

use crate::table::Table;

/// Bytes in a gibibyte.
const GIB: u64 = 1 << 30;

/// Prints a value as JSON on one line.
pub(crate) fn json(value: &impl Serialize) -> Result<()> {
    println!("{}", serde_json::to_string(value).into_diagnostic()?);
    Ok(())
}

/// Prints a reply as text; a refusal goes to standard error.
pub(crate) fn reply(reply: &Reply) {
    match reply {
        Reply::Answer(view) => answer(view),
        Reply::Refused(view) => refusal(view),
        Reply::Done => println!("done"),
        Reply::Note(note) => println!("{}", ruling(&note.ruling)),
        Reply::NoteStatus(status) => note_status(status),
        Reply::Workers(list) => print!("{}", workers(list)),
        Reply::Jobs(list) => print!("{}", jobs(list)),
        Reply::Members(list) => print!("{}", members(list)),
        Reply::Explain(view) => explanation(view),
        Reply::Lease(lease) => println!("lease of {}", lease.span),
    }
}

fn answer(answer: &Answer) {
    let outcome = &answer.outcome;
    println!("{}: {}, {}", answer.key, outcome.verdict, outcome.reason);
    for (rank, output) in answer.outputs.iter().enumerate() {
        let suffix = match Output::is_whole(output) {
            true => "",
            false => " (NOT WHOLE)",
        };
        println!("{rank}: {}{suffix}", output.text);
    }
}

fn refusal(refusal: &Refusal) {
    let outcome = &refusal.outcome;
    eprintln!(
        "{}, {}: {}",
        outcome.verdict, outcome.reason, refusal.detail
    );
    if let Some(span) = outcome.retry_after {
        eprintln!("retry after {span}");
    }
}

fn ruling(ruling: &Ruling) -> String {
    match ruling {
        Ruling::Accepted(revision) => format!("accepted as revision {}", revision.0),
        Ruling::Taken(digest, revision) => {
            let revision = revision.0;
            format!("refused: note {digest} took the number, as revision {revision}")
        }
        Ruling::Stale(revision) => {
            format!(
                "refused: its base is not the revision in force, {}",
                revision.0
            )
        }
        Ruling::Unsound(problem) => format!("refused: {problem}"),
        Ruling::Expired(_) => {
            "refused: the number is too old to tell which note took it".to_owned()
        }
        Ruling::Unreadable(problem) => {
            format!("refused: the note can't be parsed: {problem}")
        }
    }
}

fn note_status(status: &NoteStatus) {
    println!("revision {}", status.revision.0);
    let mut table = Table::new(["NODE", "APPLIED", "IN FORCE"]);
    for node in &status.nodes {
        let in_force = yes_or_no(node.in_force);
        table.push([node.node.to_string(), node.applied.to_string(), in_force]);
    }
    print!("{table}");
}

pub(crate) fn workers(workers: &[WorkerView]) -> String {
    let heading = [
        "WORKER", "DOMAIN", "RACK", "RESERVED", "SIZE", "TASKS", "DRAINING",
    ];
    let mut table = Table::new(heading);
    for worker in workers {
        table.push([
            worker.worker.to_string(),
            worker.domain.to_string(),
            worker.rack.to_string(),
            size(&worker.reserved),
            size(&worker.size),
            worker.tasks.to_string(),
            yes_or_no(worker.draining),
        ]);
    }
    table.to_string()
}

pub(crate) fn jobs(jobs: &[JobView]) -> String {
    let heading = ["JOB", "TEAM", "WORKLOAD", "KIND", "ATTEMPT", "WORKERS"];
    let mut table = Table::new(heading);
    for job in jobs {
        let workers: Vec<&str> = job
            .workers
            .iter()
            .map(gentianlane::id::Worker::as_str)
            .collect();
        let workers = match workers.is_empty() {
            true => "waits".to_owned(),
            false => workers.join(" "),
        };
        table.push([
            job.job.0.to_string(),
            job.team.to_string(),
            job.workload.to_string(),
            format!("{:?}", job.kind).to_lowercase(),
            job.attempt.0.to_string(),
            workers,
        ]);
    }
    table.to_string()
}

pub(crate) fn members(members: &[MemberView]) -> String {
    let mut table = Table::new(["NODE", "PART", "VOTER", "TERM", "STORED"]);
    for member in members {
        let role = match (member.leader, member.voter) {
            (true, _) => "leader",
            (false, true) => "follower",
            (false, false) => "learner",
        };
        table.push([
            member.node.to_string(),
            role.to_owned(),
            yes_or_no(member.voter),
            member.term.to_string(),
            member.stored.to_string(),
        ]);
    }
    table.to_string()
}

fn explanation(view: &Explanation) {
    println!("{}: {}", view.job, view.summary);
    for worker in &view.workers {
        println!("on {worker}");
    }
}

/// A size as cores to one decimal, GiB rounded up and accelerators.
pub(crate) fn size(size: &Size) -> String {
    let cores = size.cpu.0 / 1_000;
    let tenths = size.cpu.0 % 1_000 / 100;
    let gib = size.memory.0.div_ceil(GIB);
    format!("{cores}.{tenths}c {gib}GiB {}acc", size.accelerators.0)
}

fn yes_or_no(value: bool) -> String {
    match value {
        true => "yes".to_owned(),
        false => "no".to_owned(),
    }
}
