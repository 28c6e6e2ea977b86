//! A server that loses its power for good while jobs come on a queue without advice.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{Fleet, HOST, config, route};
use crate::http;
use crate::record::Record;
use crate::worker::{Event, Setup, Worker};

/// The servers, of which one is lost: an eighth, as the sheets' `srv_crash` has up to 0.14.
const SERVERS: u8 = 8;

/// The jobs a second, as on the sheets' quickest queue, and how long they come.
const JOBS_PER_S: u64 = 14;
const TRAFFIC_MS: u64 = 10_000;

/// When the server is lost.
const LOSS_MS: u64 = 9_000;

/// `finish_s` of the pages, and how long a job may have nothing running after it.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

const JOB: &str = r#"{"task_spec":"run 700","steps":[{"count":2,"cpu":1500,"mem_mb":256,"estimated_ms":700}]}"#;

pub fn play(program: &Path, record: &Arc<Record>, trouble: bool) -> Outcome {
    let mut fleet = Fleet::new(program);
    fleet.start_all();
    let leader = fleet.wait_for_leader();
    record.add(&format!("core-{leader} leads"));
    let routes = [route("r-jobs", "/jobs/", "catalog", 4, 0)];
    if let Err(error) = fleet.configure(&config(1, &routes, &["catalog"]), 0) {
        return Outcome::NotRun(format!("the configuration: {error}"));
    }
    let events = Arc::new(Mutex::new(Vec::<Event>::new()));
    let setup = |at: u8| Setup {
        id: format!("i-{at}"),
        service: "catalog".to_owned(),
        address: (fleet.worker_ip(at), 18_080).into(),
        zone: "zone-0".to_owned(),
        rack: "r1-1".to_owned(),
        cpu: 16_000,
        cores: fleet.controls(),
        beat_ms: 1_500,
        hold_max_ms: 10_000,
        stop_ms: 200,
        rate: 1_000,
    };
    let workers: Vec<Arc<Worker>> = (0..SERVERS)
        .map(|at| Worker::start(setup(at), record, &events))
        .collect();
    thread::sleep(Duration::from_secs(4));
    let (start, mut sent) = (Instant::now(), 0);
    let mut lost = None;
    let accepted = Arc::new(Mutex::new(BTreeSet::new()));
    let mut consumers = Vec::new();
    while start.elapsed() < Duration::from_millis(TRAFFIC_MS) {
        let elapsed = start.elapsed().as_millis() as u64;
        if trouble && lost.is_none() && elapsed >= LOSS_MS {
            // The server that began a task last.
            let last = events
                .lock()
                .unwrap()
                .iter()
                .rev()
                .find(|event| event.what == "start")
                .cloned();
            let last = last.map(|event| event.worker).unwrap_or_default();
            let server = workers.iter().find(|worker| worker.setup.id == last);
            if let Some(server) = server {
                server.lose_power();
                lost = Some(last);
            }
        }
        if sent * 1_000 <= elapsed * JOBS_PER_S {
            let id = format!("{:016x}", 0xb000 + sent);
            let front = fleet.front((sent % 2) as u8);
            let (record, accepted) = (Arc::clone(record), Arc::clone(&accepted));
            sent += 1;
            consumers.push(thread::spawn(move || {
                let path = format!("/jobs/{id}");
                let limit = Duration::from_secs(3);
                let told = http::ask(
                    "POST",
                    front,
                    HOST,
                    &path,
                    "Deadline-Ms: 3000\r\n",
                    JOB,
                    limit,
                );
                record.add(&format!("POST {id}: {told:?}"));
                if matches!(told, Ok((200, _))) {
                    accepted.lock().unwrap().insert(id);
                }
            }));
        }
        thread::sleep(Duration::from_millis(2));
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    record.add("the traffic has ended");
    thread::sleep(FINISH);
    let from = record.now();
    record.add("the check begins");
    thread::sleep(IDLE);
    let to = record.now();
    let accepted = accepted.lock().unwrap();
    let events = events.lock().unwrap().clone();
    // The tasks that aren't done, and those that have run in the time of the check.
    let mut done = BTreeMap::<&str, BTreeSet<&str>>::new();
    let mut ran = BTreeSet::new();
    for event in &events {
        let job = event.task.split('.').next().unwrap();
        if event.what == "done" && event.at < to {
            done.entry(job).or_default().insert(&event.task);
        }
        let began = event.what == "start" && event.at < to;
        let runs = |other: &Event| {
            other.task == event.task
                && other.run == event.run
                && other.what != "start"
                && other.at < from
        };
        if began && !events.iter().any(runs) {
            ran.insert(job);
        }
    }
    let mut idle = 0;
    for id in accepted.iter() {
        let tasks = done.get(id.as_str()).map_or(0, BTreeSet::len);
        if tasks < 2 && !ran.contains(id.as_str()) {
            let limit = Duration::from_secs(3);
            let path = format!("/jobs/{id}");
            let told = http::ask(
                "GET",
                fleet.front(0),
                HOST,
                &path,
                "Deadline-Ms: 3000\r\n",
                "",
                limit,
            );
            record.add(&format!(
                "job {id}: {tasks} of 2 tasks done, nothing running; GET: {told:?}"
            ));
            idle += 1;
        }
    }
    let line = format!(
        "{} jobs accepted; {idle} of them had nothing running for 3 s from 14 s after the traffic, beside {} idle servers",
        accepted.len(),
        workers
            .iter()
            .filter(|worker| worker.tasks().is_empty()
                && Some(&worker.setup.id) != lost.as_ref())
            .count()
    );
    record.add(&line);
    println!("{line}");
    thread::sleep(Duration::from_secs(10));
    match idle {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
