//! A burst of small jobs with times that go on for a day.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Outcome;
use crate::fleet::{Fleet, HOST, config, route};
use crate::http;
use crate::record::Record;
use crate::worker::{Event, Setup, Worker};

/// The jobs, which come at the sheets' usual rate, and the times of each: every 6 s for a
/// day. Without the disruption each has as many times as the site file's kinds of request.
const JOBS: u64 = 150;
const JOB_PAUSE: Duration = Duration::from_millis(60);
const TIMES: u64 = 14_400;
const USUAL_TIMES: u64 = 4;

/// `memory_mb` of a core on the sheets, and how often the platform looks.
const MEMORY_MB: u64 = 256;
const LOOK: Duration = Duration::from_millis(100);

/// After what delay the platform starts a process again.
const RESTART: Duration = Duration::from_secs(1);

/// `finish_s` of the pages.
const FINISH: Duration = Duration::from_secs(14);

/// The memory of a process that isn't backed by a file, in MiB.
fn memory(pid: u32) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let words = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    words.unwrap_or(0) / 1_024
}

/// Does the platform's part for a while: kills a core that is over its memory, and starts
/// it again. Counts the kills of each core.
fn watch(
    fleet: &mut Fleet,
    record: &Record,
    span: Duration,
    down: &mut [Option<Instant>; 3],
    kills: &mut [u64; 3],
) {
    let start = Instant::now();
    while start.elapsed() < span {
        for core in 0..3u8 {
            let name = format!("core-{core}");
            match down[usize::from(core)] {
                Some(since) if since.elapsed() >= RESTART => {
                    fleet.start_core(core, false);
                    down[usize::from(core)] = None;
                }
                Some(_) => {}
                None => {
                    let used = memory(fleet.pid(&name));
                    if used > MEMORY_MB {
                        record.add(&format!("{name} uses {used} MiB and is killed"));
                        fleet.signal(&name, "-KILL");
                        fleet.wait_end(&name);
                        down[usize::from(core)] = Some(Instant::now());
                        kills[usize::from(core)] += 1;
                    }
                }
            }
        }
        thread::sleep(LOOK);
    }
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
    for at in 0..4 {
        let setup = Setup {
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
        let _ = Worker::start(setup, record, &events);
    }
    thread::sleep(Duration::from_secs(4));
    let limit = Duration::from_secs(3);
    let mut accepted = Vec::new();
    let (mut kills, mut down) = ([0; 3], [None; 3]);
    let times = if trouble { TIMES } else { USUAL_TIMES };
    // The first time is due in an hour.
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    let first = now + 3_600_000;
    for number in 0..JOBS {
        let id = format!("{:016x}", 0xe000 + number);
        let body = format!(
            r#"{{"task_spec":"run 880","steps":[{{"count":6,"cpu":1500,"mem_mb":2800,"estimated_ms":880}}],"repeat_count":{times},"first_ms":{first},"interval_ms":6000}}"#
        );
        let path = format!("/jobs/{id}");
        let front = fleet.front((number % 2) as u8);
        let told = http::ask(
            "POST",
            front,
            HOST,
            &path,
            "Deadline-Ms: 3000\r\n",
            &body,
            limit,
        );
        let used: Vec<u64> = (0..3)
            .filter(|&core: &u8| down[usize::from(core)].is_none())
            .map(|core| memory(fleet.pid(&format!("core-{core}"))))
            .collect();
        record.add(&format!("POST {id}: {told:?}; the cores use {used:?} MiB"));
        if matches!(told, Ok((200, _))) {
            accepted.push(id);
        }
        watch(&mut fleet, record, JOB_PAUSE, &mut down, &mut kills);
    }
    record.add("the traffic has ended");
    watch(&mut fleet, record, FINISH, &mut down, &mut kills);
    let mut unanswered = 0;
    for id in accepted.iter().step_by(15) {
        let mut answered = false;
        for attempt in 0..3 {
            let front = fleet.front(attempt % 2);
            let path = format!("/jobs/{id}");
            let told = http::ask(
                "GET",
                front,
                HOST,
                &path,
                "Deadline-Ms: 1000\r\n",
                "",
                limit,
            );
            record.add(&format!("GET {id}: {told:?}"));
            answered |= matches!(told, Ok((200, _)));
            if answered {
                break;
            }
            watch(
                &mut fleet,
                record,
                Duration::from_secs(1),
                &mut down,
                &mut kills,
            );
        }
        unanswered += usize::from(!answered);
    }
    let asked = accepted.iter().step_by(15).count();
    let line = format!(
        "{} jobs accepted; the cores were killed {kills:?} times for their memory; {unanswered} of {asked} jobs asked for got no answer",
        accepted.len()
    );
    record.add(&line);
    println!("{line}");
    // "On half of the core, processes end by themselves three times."
    let ended = kills.iter().filter(|&&kills| kills >= 3).count();
    match (ended, unanswered) {
        (0..2, 0) => Outcome::Held,
        _ => Outcome::Broken,
    }
}
