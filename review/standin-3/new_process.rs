//! A start that reaches the next process of a server, while the leader that sent it is lost
//! and the server is cut off.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::fleet::{Fleet, HOST, config, route};
use crate::http;
use crate::late_start::overlap;
use crate::record::Record;
use crate::worker::{Event, Setup, Worker};

/// The servers, of which one loses its power and is cut off later.
const SERVERS: u8 = 9;

/// How long the server is down, and when after its start it reports for the first time.
const DOWN: Duration = Duration::from_millis(600);
const FIRST_BEAT_MS: u64 = 400;

/// When the cut heals and the leader starts again, counted from the start of the task.
const HEAL: Duration = Duration::from_secs(6);
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
    // The first one has the least room that fits, so that the task is placed there.
    let setup = |at: u8| Setup {
        id: format!("i-{at}"),
        service: "catalog".to_owned(),
        address: fleet.worker(at),
        zone: "zone-0".to_owned(),
        rack: "r1-1".to_owned(),
        cpu: if at == 0 { 8_000 } else { 16_000 },
        cores: fleet.controls(),
        beat_ms: 1_500,
        hold_max_ms: 10_000,
        stop_ms: 200,
        rate: 1_000,
        first_beat_ms: 0,
        is_cut: false,
    };
    let setups: Vec<Setup> = (0..SERVERS).map(setup).collect();
    let mut servers: Vec<Arc<Worker>> = setups
        .iter()
        .map(|setup| Worker::start(setup.clone(), record, &events))
        .collect();
    thread::sleep(Duration::from_secs(5));
    if trouble {
        // A renewal is under way for the next second, so that the silence isn't noticed before.
        while record.now() - servers[0].renewed_at.load(Ordering::SeqCst) > 100 {
            thread::sleep(Duration::from_millis(2));
        }
        servers[0].fall_silent();
        thread::sleep(DOWN);
        let next = Setup {
            first_beat_ms: FIRST_BEAT_MS,
            ..setups[0].clone()
        };
        servers[0] = Worker::start(next, record, &events);
        record.add("i-0 has started again");
    }
    let front = fleet.front(0);
    let path = "/jobs/000000000000f201";
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
    if trouble {
        let waiting = Instant::now();
        while servers[0].tasks().is_empty() {
            if waiting.elapsed() > Duration::from_secs(2) {
                return Outcome::NotRun("no start came to the next process".to_owned());
            }
            thread::sleep(Duration::from_micros(200));
        }
        let arrived = Instant::now();
        servers[0].cut.store(true, Ordering::SeqCst);
        let name = format!("core-{leader}");
        fleet.signal(&name, "-KILL");
        record.add(&format!(
            "{name}, which started the task, is killed, and i-0 is cut off"
        ));
        fleet.wait_end(&name);
        wait_until(arrived + BACK);
        fleet.start_core(leader, false);
        wait_until(arrived + HEAL);
        servers[0].cut.store(false, Ordering::SeqCst);
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
