//! Jobs that are handed in on a route while configurations remove it and add it again.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{Fleet, HOST, config, route};
use crate::http;
use crate::record::Record;
use crate::worker::{Event, Setup, Worker};

/// How long configurations come, and the pause between two.
const TRAFFIC: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(330);

/// The routes that come and go, each with a consumer, and the pause between two of its jobs,
/// which differs a little from one consumer to the next.
const ROUTES: u64 = 8;
const JOB_PAUSE: Duration = Duration::from_millis(430);
const PAUSE_STEP: Duration = Duration::from_millis(17);

/// `finish_s` of the pages.
const FINISH: Duration = Duration::from_secs(14);

/// The delay of each direction between two cores. The sheets give 0.9 to 1.4 ms one way
/// and 6 to 9 ms for a sync of a disk, which this machine's disk takes a fraction of.
const LINK_DELAY: Duration = Duration::from_millis(4);

const JOB: &str = r#"{"task_spec":"run 40","steps":[{"count":1,"cpu":100,"mem_mb":16,"estimated_ms":40}]}"#;

pub fn play(program: &Path, record: &Arc<Record>, trouble: bool) -> Outcome {
    let mut fleet = Fleet::new(program);
    fleet.start_all();
    for ((name, _), link) in &fleet.links {
        if name.starts_with("core") {
            link.set_delay(LINK_DELAY);
        }
    }
    let leader = fleet.wait_for_leader();
    record.add(&format!("core-{leader} leads"));
    let kept = route("r-kept", "/kept/", "catalog", 3, 0);
    let with = |version: u64| {
        let turned = (0..ROUTES).map(|at| {
            route(
                &format!("r-{version}-{at}"),
                &format!("/turned{at}/"),
                "catalog",
                3,
                0,
            )
        });
        [kept.clone()].into_iter().chain(turned).collect::<Vec<_>>()
    };
    let (first, without) = (with(1), [kept.clone()]);
    if let Err(error) = fleet.configure(&config(1, &first, &["catalog"]), 0) {
        return Outcome::NotRun(format!("the first configuration: {error}"));
    }
    let events = Arc::new(Mutex::new(Vec::<Event>::new()));
    for at in 0..4 {
        let setup = Setup {
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
        let _ = Worker::start(setup, record, &events);
    }
    thread::sleep(Duration::from_secs(4));
    let accepted = Arc::new(Mutex::new(BTreeMap::<String, u64>::new()));
    let over = Arc::new(AtomicBool::new(false));
    let mut consumers = Vec::new();
    for consumer in 0..ROUTES {
        let (front, record) = (fleet.front((consumer % 2) as u8), Arc::clone(record));
        let (accepted, over) = (Arc::clone(&accepted), Arc::clone(&over));
        consumers.push(thread::spawn(move || {
            let mut number = 0;
            while !over.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("{:016x}", (consumer + 1) << 32 | number);
                let path = format!("/turned{consumer}/{id}");
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
                    accepted.lock().unwrap().insert(id, record.now());
                }
                thread::sleep(JOB_PAUSE + PAUSE_STEP * consumer as u32);
            }
        }));
    }
    let (start, mut version) = (Instant::now(), 1);
    while start.elapsed() < TRAFFIC {
        thread::sleep(PAUSE);
        version += 3;
        let is_there = !trouble || version % 2 == 1;
        let routes = match (trouble, is_there) {
            (false, _) => first.clone(),
            (true, true) => with(version),
            (true, false) => without.to_vec(),
        };
        let told =
            fleet.configure(&config(version, &routes, &["catalog"]), leader.into());
        record.add(&format!(
            "config {version}, with the route: {is_there}: {told:?}"
        ));
    }
    over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    version += 3;
    let routes = if trouble { with(version) } else { first };
    let told = fleet.configure(&config(version, &routes, &["catalog"]), leader.into());
    record.add(&format!("last config {version}, with the route: {told:?}"));
    if told.is_err() {
        return Outcome::NotRun("the last configuration isn't confirmed".to_owned());
    }
    thread::sleep(FINISH);
    let started: BTreeMap<String, u64> = {
        let events = events.lock().unwrap();
        let starts = events.iter().filter(|event| event.what == "start");
        starts
            .map(|event| (event.task.split('.').next().unwrap().to_owned(), event.at))
            .collect()
    };
    let accepted = accepted.lock().unwrap();
    let mut lost = 0;
    for (id, at) in accepted.iter().filter(|(id, _)| !started.contains_key(*id)) {
        let consumer = u64::from_str_radix(&id[..8], 16).unwrap() - 1;
        let path = format!("/turned{consumer}/{id}");
        let limit = Duration::from_secs(3);
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
            "job {id}, accepted at {at}, never began; GET: {told:?}"
        ));
        lost += 1;
    }
    let line = format!(
        "{} jobs accepted, {lost} of them never began",
        accepted.len()
    );
    record.add(&line);
    println!("{line}");
    match lost {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}
