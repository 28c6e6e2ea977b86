//! A start that is carried out late, by the next process of a server that was cut off, while
//! the leader that sent it is lost.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{Fleet, HOST, config, route};
use crate::http;
use crate::record::Record;
use crate::worker::{Event, LateStart, Setup, Worker};

/// The servers, of which one is cut off.
const SERVERS: u8 = 9;

/// When, counted from the arrival of the start: its server crashes behind the cut and starts
/// again, the start is carried out, and the cut heals.
const CRASH: Duration = Duration::from_millis(200);
const LATE: Duration = Duration::from_secs(3);
const HEAL: Duration = Duration::from_secs(6);

/// When the leader starts again.
const BACK: Duration = Duration::from_millis(3_500);

/// Two runs that overlap for less aren't counted, for the times at which they are noted.
const SLACK_MS: u64 = 100;

const JOB: &str = r#"{"task_spec":"run 12000","steps":[{"count":1,"cpu":4000,"mem_mb":1024,"estimated_ms":12000}]}"#;

fn wait_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

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
        address: fleet.worker(at),
        zone: "zone-0".to_owned(),
        rack: "r1-1".to_owned(),
        cpu: 16_000,
        cores: fleet.controls(),
        beat_ms: 1_500,
        hold_max_ms: 10_000,
        stop_ms: 200,
        rate: 1_000,
        first_beat_ms: 0,
        is_cut: false,
    };
    let setups: Vec<Setup> = (0..SERVERS).map(setup).collect();
    let workers: Vec<Arc<Worker>> = setups
        .iter()
        .map(|setup| Worker::start(setup.clone(), record, &events))
        .collect();
    thread::sleep(Duration::from_secs(5));
    let late = LateStart::default();
    if trouble {
        for worker in &workers {
            *worker.late.lock().unwrap() = Some(Arc::clone(&late));
        }
    }
    let front = fleet.front(0);
    let path = "/jobs/000000000000f101";
    let limit = Duration::from_secs(3);
    let poster = {
        let record = Arc::clone(record);
        thread::spawn(move || {
            let mut told = Err(String::new());
            for _ in 0..5 {
                told = http::ask(
                    "POST",
                    front,
                    HOST,
                    path,
                    "Deadline-Ms: 3000\r\n",
                    JOB,
                    limit,
                );
                record.add(&format!("POST {path}: {told:?}"));
                if matches!(told, Ok((200, _))) {
                    break;
                }
                thread::sleep(Duration::from_millis(500));
            }
            matches!(told, Ok((200, _)))
        })
    };
    let mut servers = workers;
    if trouble {
        let waiting = Instant::now();
        let (id, order) = loop {
            if let Some(order) = late.lock().unwrap().clone() {
                break order;
            }
            if waiting.elapsed() > Duration::from_secs(5) {
                return Outcome::NotRun("no start came".to_owned());
            }
            thread::sleep(Duration::from_millis(1));
        };
        let arrived = Instant::now();
        let name = format!("core-{leader}");
        fleet.signal(&name, "-KILL");
        record.add(&format!("{name}, which gave the order, is killed"));
        fleet.wait_end(&name);
        let at = servers
            .iter()
            .position(|worker| worker.setup.id == id)
            .unwrap();
        servers[at].cut.store(true, Ordering::SeqCst);
        record.add(&format!("{id} is cut off"));
        wait_until(arrived + CRASH);
        servers[at].crash();
        thread::sleep(Duration::from_millis(100));
        servers[at] = Worker::start(
            Setup {
                is_cut: true,
                ..setups[at].clone()
            },
            record,
            &events,
        );
        record.add(&format!("{id} has started again behind the cut"));
        wait_until(arrived + LATE);
        servers[at].carry_out(&order);
        wait_until(arrived + BACK);
        fleet.start_core(leader, false);
        wait_until(arrived + HEAL);
        servers[at].cut.store(false, Ordering::SeqCst);
        record.add("the cut has healed");
    }
    thread::sleep(Duration::from_secs(20));
    if !poster.join().unwrap_or(false) {
        return Outcome::NotRun("the job isn't accepted".to_owned());
    }
    let told = http::ask("GET", front, HOST, path, "Deadline-Ms: 3000\r\n", "", limit);
    record.add(&format!("GET {path}: {told:?}"));
    let now = record.now();
    let events = events.lock().unwrap().clone();
    let (runs, longest) = overlap(&events, now);
    let line =
        format!("{runs} runs of the task, two of them at the same time for {longest} ms");
    record.add(&line);
    println!("{line}");
    match longest > SLACK_MS {
        true => Outcome::Broken,
        false if runs == 0 => Outcome::NotRun("the task never began".to_owned()),
        false => Outcome::Held,
    }
}

/// The number of runs, and for how long two of one task went on at the same time.
pub fn overlap(events: &[Event], now: u64) -> (usize, u64) {
    let starts = events.iter().filter(|event| event.what == "start");
    let runs: Vec<(u64, u64, &Event)> = starts
        .map(|start| {
            let end = events.iter().find(|end| {
                end.what != "start"
                    && (&end.worker, &end.task, end.run)
                        == (&start.worker, &start.task, start.run)
            });
            (start.at, end.map_or(now, |end| end.at), start)
        })
        .collect();
    let mut longest = 0;
    for (at, first) in runs.iter().enumerate() {
        for second in runs
            .iter()
            .skip(at + 1)
            .filter(|second| second.2.task == first.2.task)
        {
            let both = first.1.min(second.1).saturating_sub(first.0.max(second.0));
            longest = longest.max(both);
        }
    }
    (runs.len(), longest)
}
