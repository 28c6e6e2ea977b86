//! A gang whose servers are lost with their rack.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::fleet::{Fleet, HOST, config, route};
use crate::http;
use crate::record::Record;
use crate::worker::{Event, Setup, Worker};

/// The servers, four to a rack. One rack is lost: an eighth of the servers, as the sheets'
/// `srv_crash` has up to 0.14.
const SERVERS: u8 = 32;
const PER_RACK: u8 = 4;

const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

/// Each member needs nearly a whole server.
const JOB: &str = r#"{"task_spec":"gang 4 4500","steps":[{"count":4,"cpu":15000,"mem_mb":16384,"estimated_ms":4500,"gang":true,"rack_locality":true}]}"#;

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
        address: fleet.worker(at),
        zone: "zone-0".to_owned(),
        rack: format!("r1-{}", at / PER_RACK),
        cpu: 16_000,
        cores: fleet.controls(),
        beat_ms: 1_500,
        hold_max_ms: 10_000,
        stop_ms: 200,
        rate: 1_000,
        first_beat_ms: 0,
        is_cut: false,
    };
    let workers: Vec<Arc<Worker>> = (0..SERVERS)
        .map(|at| Worker::start(setup(at), record, &events))
        .collect();
    thread::sleep(Duration::from_secs(5));
    let path = "/jobs/000000000000f001";
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
    thread::sleep(Duration::from_millis(1_500));
    if trouble {
        let racks: Vec<String> = workers
            .iter()
            .filter(|worker| !worker.tasks().is_empty())
            .map(|worker| worker.setup.rack.clone())
            .collect();
        record.add(&format!("the gang's racks: {racks:?}"));
        let Some(rack) = racks.first() else {
            return Outcome::NotRun("the gang hasn't begun".to_owned());
        };
        for worker in workers.iter().filter(|worker| worker.setup.rack == *rack) {
            worker.lose_power();
        }
    }
    record.add("the traffic has ended");
    thread::sleep(FINISH);
    let from = record.now();
    record.add("the check begins");
    thread::sleep(IDLE);
    let to = record.now();
    thread::sleep(Duration::from_secs(22));
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
    let events = events.lock().unwrap().clone();
    let done_at = events
        .iter()
        .find(|event| event.what == "done")
        .map(|event| event.at);
    let ran = events
        .iter()
        .filter(|event| event.what == "start" && event.at < to)
        .any(|start| {
            !events.iter().any(|end| {
                end.task == start.task
                    && end.run == start.run
                    && end.what != "start"
                    && end.at < from
            })
        });
    let line = format!(
        "the gang ended done at {done_at:?}; it ran between {from} and {to}: {ran}"
    );
    record.add(&line);
    println!("{line}");
    match done_at.is_some_and(|at| at < to) || ran {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}
