//! A lasting task that fails once, after the answer to its start was lost.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::fleet::{Fleet, HOST, config, route};
use crate::http;
use crate::record::Record;
use crate::worker::{Event, Setup, Worker};

const SERVERS: u8 = 8;
const TASKS: u64 = 6;

/// From when on after its last run, and for how long, a task that lasts may not be without
/// a run; and for how long before that it has to be calm.
const FROM_MS: u64 = 6_000;
const IDLE_MS: u64 = 3_000;
const CALM_MS: u64 = 4_000;

/// Each task's first run fails after 1.5 s; the others last.
const JOB: &str = r#"{"task_spec":"frail 1500","steps":[{"count":6,"cpu":4000,"mem_mb":4096,"estimated_ms":620,"long_running":true,"image":"watch"}]}"#;

pub fn play(program: &Path, record: &Arc<Record>, trouble: bool) -> Outcome {
    let mut fleet = Fleet::new(program);
    // As on the sheet of norrvik-panna.
    (fleet.lease_limit_ms, fleet.stop_ms) = (6_000, 900);
    fleet.start_all();
    let leader = fleet.wait_for_leader();
    record.add(&format!("core-{leader} leads"));
    let routes = [route("r-watch", "/watch/", "catalog", 4, 1)];
    if let Err(error) = fleet.configure(&config(1, &routes, &["catalog"]), 0) {
        return Outcome::NotRun(format!("the configuration: {error}"));
    }
    let events = Arc::new(Mutex::new(Vec::<Event>::new()));
    let setup = |at: u8| Setup {
        id: format!("i-{at}"),
        service: "catalog".to_owned(),
        address: fleet.worker(at),
        zone: "zone-0".to_owned(),
        rack: "r1-1".to_owned(),
        cpu: 16_000,
        cores: fleet.controls(),
        beat_ms: 1_500,
        hold_max_ms: 6_000,
        stop_ms: 900,
        rate: 1_000,
        first_beat_ms: 0,
        is_cut: false,
    };
    // The sheet's `answer_lost` loses 3% of the answers; here it is one of all.
    let to_lose = Arc::new(AtomicU64::new(u64::from(trouble)));
    for at in 0..SERVERS {
        let _ = Worker::start_losing(setup(at), record, &events, Arc::clone(&to_lose));
    }
    thread::sleep(Duration::from_secs(4));
    let path = "/watch/000000000000d001";
    let limit = Duration::from_secs(3);
    let told = http::ask(
        "POST",
        fleet.front(0),
        HOST,
        path,
        "Deadline-Ms: 3000\r\n",
        JOB,
        limit,
    );
    record.add(&format!("POST {path}: {told:?}"));
    if !matches!(told, Ok((200, _))) {
        return Outcome::NotRun("the job isn't accepted".to_owned());
    }
    let sent = record.now();
    thread::sleep(Duration::from_secs(1));
    thread::sleep(Duration::from_secs(25));
    let told = http::ask(
        "GET",
        fleet.front(0),
        HOST,
        path,
        "Deadline-Ms: 3000\r\n",
        "",
        limit,
    );
    record.add(&format!("GET {path}: {told:?}"));
    let to = record.now();
    let events = events.lock().unwrap().clone();
    let mut by_task = BTreeMap::<&str, Vec<&Event>>::new();
    for event in &events {
        by_task.entry(&event.task).or_default().push(event);
    }
    let mut broken = 0;
    for (task, events) in &by_task {
        for event in events.iter().filter(|event| event.what != "start") {
            let next = events
                .iter()
                .find(|other| other.what == "start" && other.at >= event.at);
            let next = next.map_or(to, |event| event.at);
            let from = (event.at + FROM_MS).max(sent + 1_000 + CALM_MS);
            record.add(&format!(
                "{task} ended {} at {}, its next run began at {next}",
                event.what, event.at
            ));
            if next >= from + IDLE_MS {
                broken += 1;
            }
        }
    }
    let line = format!(
        "{broken} of {} tasks that last had no run for 3 s, from 6 s after the last",
        by_task.len()
    );
    record.add(&line);
    println!("{line}");
    match broken {
        0 if by_task.len() as u64 == TASKS => Outcome::Held,
        0 => Outcome::NotRun("a task never began".to_owned()),
        _ => Outcome::Broken,
    }
}
