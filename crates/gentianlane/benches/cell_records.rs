//! What a record and an open request take of the process's memory.

#![allow(clippy::expect_used, reason = "a bench may panic")]

use std::fs;

use gentianlane::cell::{Command, Event, State};
use gentianlane::note::Note;
use gentianlane::unit::{Size, Span, Wall};
use gentianlane::{api, id};

/// Jobs of one day at the aim's size.
const JOBS: u64 = 5_100;

/// Bytes that one task writes.
const OUTPUT: usize = 1_024;

/// Bytes in a page of memory.
const PAGE: u64 = 4_096;

const NOTE: &str = r#"{"number": 1, "base": 0, "add": {"workloads": {"batch":
    {"kind": "batch", "size": {"cpu": 1, "memory": 1}, "idempotent": true}}}}"#;

fn main() {
    let mut state = State::default();
    let note = Note::read(NOTE).expect("the note reads well");
    state.apply(Command::Note(Box::new(note)));
    state.apply(Command::Announce(announce()));
    let before = resident();
    let jobs: Vec<id::Job> = (0..JOBS).filter_map(|at| open(&mut state, at)).collect();
    let opened = resident();
    let open = (opened.saturating_sub(before)) / JOBS;
    println!("{JOBS} open requests: {open} B each");
    for job in jobs {
        run(&mut state, job);
    }
    let closed = resident().saturating_sub(before);
    let weight = state.records_size();
    println!(
        "{JOBS} records of {OUTPUT} B outputs: {} B each",
        closed / JOBS
    );
    println!("counted weight {weight} B, resident growth {closed} B");
}

fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.map_or(0, |pages: u64| pages * PAGE)
}

fn announce() -> api::Announce {
    api::Announce {
        worker: "w".into(),
        incarnation: id::Incarnation(1),
        size: Size::new(1_000_000, 1_000_000, 0),
        region: "r".into(),
        domain: "d".into(),
        rack: "k".into(),
        address: String::new(),
    }
}

fn open(state: &mut State, number: u64) -> Option<id::Job> {
    let at = Wall::from_millis(1_800_000_000_000 + number);
    let mut random = [0; 10];
    random[..8].copy_from_slice(&number.to_be_bytes());
    let submit = api::Submit {
        key: id::Key::new(at, &random),
        team: "town".into(),
        workload: "batch".into(),
        payload: "route 7".to_owned(),
        count: None,
        deadline: Some(Span::from_secs(60)),
        trace: None,
        hold: Span::ZERO,
    };
    let effect = state.apply(Command::Submit { at, submit });
    match effect.events.first() {
        Some(Event::JobQueued(job)) => Some(*job),
        _ => None,
    }
}

fn run(state: &mut State, job: id::Job) {
    let attempt = id::Attempt(1);
    let incarnation = id::Incarnation(1);
    let workers = vec![("w".into(), incarnation)];
    state.apply(Command::Start {
        job,
        attempt,
        workers,
    });
    let task = id::Task { job, rank: 0 };
    state.apply(Command::Finish(api::Finish {
        worker: "w".into(),
        incarnation,
        token: id::Token { task, attempt },
        ending: api::Ending::Done,
        output: api::Output::new("x".repeat(OUTPUT)),
    }));
}
