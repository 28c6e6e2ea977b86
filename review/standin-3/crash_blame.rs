//! Tasks whose servers crash twice, at about the same age of the task.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{Fleet, HOST, config, route};
use crate::http;
use crate::record::Record;
use crate::worker::{Event, Setup, Worker};

/// The servers, and how many of them crash at a time: an eighth, as the sheets' `srv_crash`
/// has up to 0.14 of a service's servers down at once.
const SERVERS: u8 = 16;
const CRASHES: usize = 2;

/// How long a crashed server is away, and how long its task has run by then.
const AWAY: Duration = Duration::from_secs(1);
const AGE: Duration = Duration::from_millis(600);

/// The jobs, of which every second one lasts until it is cancelled.
const JOBS: u64 = 6;

/// Each task needs nearly a whole server, as the imaging queues' tasks do.
const JOB: &str = r#"{"task_spec":"run 9000","steps":[{"count":1,"cpu":15000,"mem_mb":16384,"estimated_ms":9000}]}"#;
const LASTING_JOB: &str = r#"{"task_spec":"last","steps":[{"count":1,"cpu":15000,"mem_mb":16384,"estimated_ms":620,"long_running":true}]}"#;

fn lasts(job: u64) -> bool {
    job % 2 == 1
}

fn id(job: u64) -> String {
    format!("{:016x}", 0xa000 + job)
}

pub fn play(program: &Path, record: &Arc<Record>, trouble: bool) -> Outcome {
    let mut fleet = Fleet::new(program);
    fleet.start_all();
    let leader = fleet.wait_for_leader();
    record.add(&format!("core-{leader} leads"));
    let routes = [route("r-jobs", "/jobs/", "imaging", 4, 1)];
    if let Err(error) = fleet.configure(&config(1, &routes, &["imaging"]), 0) {
        return Outcome::NotRun(format!("the configuration: {error}"));
    }
    let events = Arc::new(Mutex::new(Vec::<Event>::new()));
    let setup = |at: u8| Setup {
        id: format!("i-{at}"),
        service: "imaging".to_owned(),
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
    let mut workers: Vec<Arc<Worker>> = (0..SERVERS)
        .map(|at| Worker::start(setup(at), record, &events))
        .collect();
    thread::sleep(Duration::from_secs(4));
    let limit = Duration::from_secs(3);
    for job in 0..JOBS {
        let path = format!("/jobs/{}", id(job));
        let body = if lasts(job) { LASTING_JOB } else { JOB };
        let told = http::ask(
            "POST",
            fleet.front((job % 2) as u8),
            HOST,
            &path,
            "Deadline-Ms: 3000\r\n",
            body,
            limit,
        );
        record.add(&format!("POST {}: {told:?}", id(job)));
        if !matches!(told, Ok((200, _))) {
            return Outcome::NotRun("a job isn't accepted".to_owned());
        }
    }
    let start = Instant::now();
    for round in 0..2 {
        // The first jobs' tasks, once they have run for a while.
        let wanted: Vec<String> = (0..CRASHES as u64)
            .map(|job| format!("{}.0.0.0", id(job)))
            .collect();
        let mut since = BTreeMap::<String, Instant>::new();
        while trouble && start.elapsed() < Duration::from_secs(25) {
            thread::sleep(Duration::from_millis(10));
            for task in &wanted {
                match workers.iter().any(|worker| worker.tasks().contains(task)) {
                    true => drop(since.entry(task.clone()).or_insert_with(Instant::now)),
                    false => drop(since.remove(task)),
                }
            }
            if since.len() == wanted.len() && since.values().all(|at| at.elapsed() >= AGE)
            {
                break;
            }
        }
        if !trouble {
            break;
        }
        record.add(&format!("crash {} of {CRASHES} servers", round + 1));
        let hit: Vec<usize> = (0..workers.len())
            .filter(|&at| workers[at].tasks().iter().any(|task| wanted.contains(task)))
            .collect();
        for &at in &hit {
            workers[at].crash();
        }
        thread::sleep(AWAY);
        for &at in &hit {
            workers[at] = Worker::start(setup(at as u8), record, &events);
        }
    }
    let mut states = BTreeMap::new();
    let has_ended = |states: &BTreeMap<u64, String>| {
        (0..JOBS)
            .filter(|&job| !lasts(job))
            .all(|job| states.contains_key(&job))
    };
    while start.elapsed() < Duration::from_secs(70) && !has_ended(&states) {
        thread::sleep(Duration::from_millis(500));
        for job in 0..JOBS {
            let path = format!("/jobs/{}", id(job));
            let told = http::ask(
                "GET",
                fleet.front(0),
                HOST,
                &path,
                "Deadline-Ms: 3000\r\n",
                "",
                limit,
            );
            if let Ok((200, text)) = &told
                && !text.contains("pending")
                && !text.contains("running")
                && states.insert(job, text.clone()).is_none()
            {
                record.add(&format!("GET {}: {told:?}", id(job)));
            }
        }
    }
    let events = events.lock().unwrap();
    let mut broken = 0;
    for job in 0..JOBS {
        let ends = events
            .iter()
            .filter(|event| event.task.starts_with(&id(job)) && event.what != "start");
        let ends: Vec<&str> = ends.map(|event| event.what).collect();
        let state = states.get(&job).cloned().unwrap_or("not ended".to_owned());
        record.add(&format!(
            "job {}: shown as {state}; its runs: {ends:?}",
            id(job)
        ));
        if state.contains("failed") && !ends.contains(&"failed") {
            broken += 1;
        }
    }
    let line = format!(
        "{broken} of {JOBS} jobs are shown as failed, and no run of theirs has ended failed"
    );
    record.add(&line);
    println!("{line}");
    match broken {
        0 if has_ended(&states) => Outcome::Held,
        0 => Outcome::NotRun("a job hasn't ended".to_owned()),
        _ => Outcome::Broken,
    }
}
