//! `gentianlane data`: inspects a node's data folder offline and changes nothing
//! in it.

use clap::{Arg, ArgMatches, Command, value_parser};
use gentianlane::consensus::{Index, Term};
use gentianlane::id;
use gentianlane_store::Report;
use miette::Result;
use serde::Serialize;
use std::path::PathBuf;

use crate::exit::Exit;
use crate::print;

/// The contents of a data folder, as printed and as JSON.
#[derive(Debug, Serialize)]
struct Summary {
    cell: Option<id::Cell>,
    node: Option<id::Node>,
    term: Term,
    last: Index,
    entries: u64,
    snapshot: Option<Index>,
    snapshot_bytes: u64,
    segments: Vec<Segment>,
    fault: Option<String>,
}

/// One segment file of the journal.
#[derive(Debug, Serialize)]
struct Segment {
    file: String,
    bytes: u64,
    entries: u64,
    tail: String,
}

pub(super) fn command() -> Command {
    let folder = || {
        Arg::new("FOLDER")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("A node's data folder, preferably of a stopped node")
    };
    Command::new("data")
        .about("Inspects a node's data folder offline")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Checks whether a node could open the folder")
                .arg(folder()),
        )
        .subcommand(
            Command::new("describe")
                .about("Lists the contents of the folder")
                .arg(folder()),
        )
}

/// Inspects a folder; the exit code is 1 if no node could open it.
pub(super) fn run(matches: &ArgMatches, json: bool) -> Result<Exit> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(Exit::Error);
    };
    let folder = matches.get_one::<PathBuf>("FOLDER").cloned();
    let summary = Summary::of(&Report::read(folder.unwrap_or_default()));
    match (json, name) {
        (true, _) => print::json(&summary)?,
        (false, "describe") => summary.describe(),
        (false, _) => summary.check(),
    }
    Ok(match summary.fault {
        Some(_) => Exit::Error,
        None => Exit::Success,
    })
}

impl Summary {
    fn of(report: &Report) -> Self {
        let owner = report.identity.as_ref().map(|identity| &identity.owner);
        let segments = report.segments.iter().map(|segment| Segment {
            file: segment.file.clone(),
            bytes: segment.bytes,
            entries: segment.entries,
            tail: segment.tail.to_string(),
        });
        let snapshot = report.snapshot.as_ref();
        Self {
            cell: owner.map(|owner| owner.cell.clone()),
            node: owner.map(|owner| owner.node),
            term: report.ballot.term,
            last: report.last.index,
            entries: report.entries,
            snapshot: snapshot.map(|snapshot| snapshot.last.index),
            snapshot_bytes: snapshot.map_or(0, |snapshot| snapshot.bytes),
            segments: segments.collect(),
            fault: report.fault.as_ref().map(ToString::to_string),
        }
    }

    fn check(&self) {
        match &self.fault {
            Some(fault) => println!("{fault}"),
            None => println!("sound: {} entries up to {}", self.entries, self.last),
        }
    }

    fn describe(&self) {
        if let (Some(cell), Some(node)) = (&self.cell, self.node) {
            println!("node {node} of cell {cell}");
        }
        println!("term {}, last entry {}", self.term, self.last);
        if let Some(snapshot) = self.snapshot {
            println!("snapshot up to {snapshot}, {} bytes", self.snapshot_bytes);
        }
        for segment in &self.segments {
            let Segment {
                file,
                bytes,
                entries,
                tail,
            } = segment;
            println!("{file}: {bytes} bytes, {entries} entries, {tail}");
        }
        self.check();
    }
}
