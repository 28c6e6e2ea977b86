//! The cases: each starts a small deployment, brings about its disruption unless that is
//! switched off, and judges what clients and servers have seen.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{self, Fleet};
use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::worker::{Event, Events, Plan, Profile, Work, Worker};

/// The bounds of a small deployment, in milliseconds.
const CANCEL_MS: u64 = 3_000;
const CONTACT_MS: u64 = 3_000;
const FINISH_MS: u64 = 14_000;

/// What a case has found.
pub enum Verdict {
    Held(String),
    Broken(String),
}

pub struct Route {
    pub name: String,
    pub prefix: String,
    pub attempts: u32,
}

impl Route {
    fn new(name: &str, attempts: u32) -> Route {
        Route {
            name: name.to_owned(),
            prefix: format!("/{name}/"),
            attempts,
        }
    }
}

const HOST: &str = "jobs.example";

/// A configuration with one service, whose routes need no advice.
fn config(version: u64, routes: &[Route]) -> String {
    let routes = routes.iter().map(|route| {
        format!(
            "{{\"name\":\"{}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"{}\",\
             \"route_type\":\"non_idempotent\",\"timeout_ms\":3000,\
             \"target_latency_ms\":1000,\"priority\":1,\"backend\":\"catalog\",\
             \"max_attempts\":{},\"stretch\":2.2}}",
            route.name, route.prefix, route.attempts
        )
    });
    let routes: Vec<String> = routes.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"catalog\",\
         \"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"enforces_capacity\":false,\"standby\":false}}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

/// Sends a configuration, to one core after the other, until it is confirmed.
fn send_config(
    fleet: &Fleet,
    version: u64,
    routes: &[Route],
    record: &Record,
) -> io::Result<()> {
    let body = config(version, routes);
    for turn in 0..40 {
        let limit = Duration::from_secs(1);
        let path = "/v1/config/replace";
        let answer =
            http::call(fleet.control(turn), "POST", "control", path, &body, limit);
        if matches!(answer, Ok((200, _))) {
            let names = routes.len();
            record.line(&format!(
                "operator: config {version} with {names} routes is confirmed"
            ));
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err(io::Error::other("a configuration isn't confirmed"))
}

/// A caller's request; what came back is recorded. None if nothing did in time.
fn ask(
    front: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
    record: &Record,
) -> Option<(u16, String)> {
    let sent = record.now();
    let budget = Duration::from_secs(3);
    let answer =
        http::call_with_budget(front, method, HOST, path, body, budget, limit).ok();
    let shown = match &answer {
        Some((status, text)) => format!("{status} {text}"),
        None => format!(
            "no answer; the caller has left after {} ms",
            limit.as_millis()
        ),
    };
    record.line(&format!(
        "caller: {method} {path} (sent at {sent} ms) -> {shown}"
    ));
    answer
}

/// A job's state, asked for until there is a clear answer.
fn state(fleet: &Fleet, path: &str, record: &Record) -> Option<String> {
    for turn in 0..20 {
        let limit = Duration::from_secs(3);
        match ask(fleet.front(turn), "GET", path, "", limit, record) {
            Some((200, text)) => {
                let json = Json::parse(&text)?;
                return json.get("state").and_then(Json::text).map(str::to_owned);
            }
            Some((status @ (404 | 410), _)) => return Some(status.to_string()),
            _ => thread::sleep(Duration::from_millis(100)),
        }
    }
    None
}

fn step(count: u32, cpu: u64, millis: u64, more: &str) -> String {
    format!(
        "{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":64,\"estimated_ms\":{millis}{more}}}"
    )
}

fn job(steps: &[String]) -> String {
    format!("{{\"task_spec\":\"work\",\"steps\":[{}]}}", steps.join(","))
}

fn profile(fleet: &Fleet, number: u8, cpu: u64) -> Profile {
    let address = fleet.server_address(number);
    assert!(fleet::is_loopback(&address));
    Profile {
        id: format!("i-{number:04}"),
        service: "catalog".to_owned(),
        zone: format!("zone-{}", number % 3 + 1),
        address,
        cpu,
        mem_mb: 65_536,
        labels: format!("\"a\",\"r{}\"", number % 3 + 1),
    }
}

/// A deployment with its servers.
struct Site {
    fleet: Fleet,
    controls: Vec<SocketAddr>,
    workers: Vec<Worker>,
    plan: Plan,
    events: Events,
    record: Record,
}

impl Site {
    fn start(
        entries: u8,
        sizes: &[u64],
        plan: Plan,
        record: &Record,
    ) -> io::Result<Site> {
        let fleet = Fleet::start(3, entries, record)?;
        let controls: Vec<SocketAddr> = (0..3).map(|core| fleet.control(core)).collect();
        let events = Events::default();
        let mut site = Site {
            fleet,
            controls,
            workers: Vec::new(),
            plan,
            events,
            record: record.clone(),
        };
        for (number, &cpu) in sizes.iter().enumerate() {
            let profile = profile(&site.fleet, number as u8, cpu);
            let worker = site.boot(profile)?;
            site.workers.push(worker);
        }
        Ok(site)
    }

    fn boot(&self, profile: Profile) -> io::Result<Worker> {
        let (plan, events) = (self.plan.clone(), self.events.clone());
        Worker::boot(
            profile,
            self.controls.clone(),
            plan,
            events,
            self.record.clone(),
        )
    }

    fn events(&self) -> Vec<Event> {
        self.events
            .lock()
            .map(|events| events.clone())
            .unwrap_or_default()
    }

    /// Runs a job of one short task, by which all servers are known to be in use.
    fn warm_up(&self, route: &str, jobs: u64) -> io::Result<()> {
        for number in 0..jobs {
            let path = format!("/{route}/{:016x}", 0xaaaa_0000 + number);
            let body = job(&[step(3, 100, 100, "")]);
            let limit = Duration::from_secs(3);
            let mut tries = 0;
            while !matches!(
                ask(
                    self.fleet.front(0),
                    "POST",
                    &path,
                    &body,
                    limit,
                    &self.record
                ),
                Some((200, _))
            ) {
                tries += 1;
                if tries > 20 {
                    return Err(io::Error::other("a first job isn't accepted"));
                }
                thread::sleep(Duration::from_millis(100));
            }
            let mut tries = 0;
            while state(&self.fleet, &path, &self.record).as_deref() != Some("completed")
            {
                tries += 1;
                if tries > 100 {
                    return Err(io::Error::other("a first job isn't completed"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }

    fn sleep(&self, millis: u64) {
        thread::sleep(Duration::from_millis(millis));
    }
}

fn fixed(work: Work) -> Plan {
    Arc::new(move |_| work)
}

/// A route is removed while jobs are handed in for it, and comes back later.
pub fn removed_route(trouble: bool, record: &Record) -> io::Result<Verdict> {
    const ROUTES: usize = 60;
    const IDLE_ROUTES: usize = 1_000;
    const ROUNDS: u64 = 5;
    let site = Site::start(2, &[64_000; 3], fixed(Work::Done(200)), record)?;
    let base = || {
        let idle =
            (0..IDLE_ROUTES).map(|number| Route::new(&format!("idle-{number}"), 3));
        [Route::new("base", 3)]
            .into_iter()
            .chain(idle)
            .collect::<Vec<Route>>()
    };
    let all = || {
        let more = (0..ROUTES).map(|number| Route::new(&format!("extra-{number}"), 3));
        base().into_iter().chain(more).collect::<Vec<Route>>()
    };
    let mut version = 1;
    send_config(&site.fleet, version, &all(), record)?;
    site.warm_up("base", 1)?;
    let accepted: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    for round in 0..ROUNDS {
        site.sleep(1_500);
        let mut callers = Vec::new();
        for number in 0..ROUTES {
            let front = site.fleet.front(number);
            let (accepted, record) = (accepted.clone(), record.clone());
            // The callers' requests are spread over the time around the change.
            let wait = Duration::from_micros(20_000 + 600 * number as u64);
            callers.push(thread::spawn(move || {
                thread::sleep(wait);
                let id = 0xbbbb_0000 + round * 256 + number as u64;
                let path = format!("/extra-{number}/{id:016x}");
                let body = job(&[step(1, 100, 200, "")]);
                let answer =
                    ask(front, "POST", &path, &body, Duration::from_secs(3), &record);
                if matches!(answer, Some((200..=299, _)))
                    && let Ok(mut accepted) = accepted.lock()
                {
                    accepted.push((path, id));
                }
            }));
        }
        thread::sleep(Duration::from_millis(20));
        version += 1;
        let routes = if trouble { base() } else { all() };
        send_config(&site.fleet, version, &routes, record)?;
        for caller in callers {
            let _ = caller.join();
        }
        site.sleep(1_500);
        version += 1;
        send_config(&site.fleet, version, &all(), record)?;
    }
    record.line("the traffic has ended");
    site.sleep(FINISH_MS + 3_000);
    let events = site.events();
    let accepted = accepted.lock().map(|it| it.clone()).unwrap_or_default();
    let mut lost = Vec::new();
    for (path, id) in &accepted {
        let name = format!("{id:016x}.");
        let has_run = events.iter().any(|it| it.task.starts_with(&name));
        if !has_run {
            let shown = state(&site.fleet, path, record).unwrap_or_default();
            lost.push(format!("{path} ({shown})"));
        }
    }
    let total = accepted.len();
    Ok(match lost.is_empty() {
        true => Verdict::Held(format!("all of {total} accepted jobs have run")),
        false => Verdict::Broken(format!(
            "LOST: of {total} accepted jobs {} have never run, 17 s after the end of the \
             traffic and with idle servers: {}",
            lost.len(),
            lost.join(", ")
        )),
    })
}

/// A caller that has left before its job was accepted cancels it, while the leader is
/// replaced.
pub fn cancelled_job(trouble: bool, record: &Record) -> io::Result<Verdict> {
    const LEAVES_AFTER: Duration = Duration::from_millis(250);
    let mut site = Site::start(1, &[64_000; 3], fixed(Work::Done(4_000)), record)?;
    send_config(
        &site.fleet,
        1,
        &[Route::new("base", 3), Route::new("first", 3)],
        record,
    )?;
    site.sleep(4_000);
    let leader = site
        .fleet
        .leader()
        .ok_or_else(|| io::Error::other("no core leads"))?;
    let leader = format!("core-{}", leader + 1);
    record.line(&format!("{leader} leads"));
    if trouble {
        site.fleet.kill(&leader, record);
    }
    site.sleep(20);
    let id = "0123456789abcdef";
    let path = format!("/base/{id}");
    let body = job(&[
        step(1, 1_000, 4_000, ""),
        step(1, 1_000, 4_000, ",\"depends_on\":[0]"),
        step(1, 1_000, 4_000, ",\"depends_on\":[1]"),
    ]);
    let front = site.fleet.front(0);
    let mut others = Vec::new();
    for number in 0..3 {
        let record = record.clone();
        others.push(thread::spawn(move || {
            let path = format!("/first/{number:016x}");
            let body = job(&[step(1, 1_000, 500, "")]);
            ask(front, "POST", &path, &body, Duration::from_secs(3), &record)
        }));
    }
    ask(front, "POST", &path, &body, LEAVES_AFTER, record);
    let mut confirmed = None;
    for _ in 0..10 {
        let answer = ask(front, "DELETE", &path, "", Duration::from_secs(3), record);
        if let Some((status @ (200..=299 | 410), _)) = answer {
            confirmed = Some((status, record.now()));
            break;
        }
        site.sleep(100);
    }
    for other in others {
        let _ = other.join();
    }
    let Some((status, at)) = confirmed else {
        return Err(io::Error::other("the cancelling isn't answered"));
    };
    if trouble {
        site.fleet.restart(&leader, record)?;
    }
    site.sleep(18_000);
    let events = site.events();
    let name = format!("{id}.");
    let late = events.iter().filter(|it| {
        it.what == "start"
            && it.task.starts_with(&name)
            && it.at > at + CANCEL_MS + CONTACT_MS
    });
    let late: Vec<String> = late
        .map(|it| format!("{} {} ms later", it.task, it.at - at))
        .collect();
    let shown = state(&site.fleet, &path, record).unwrap_or_default();
    Ok(match late.is_empty() {
        true => Verdict::Held(format!(
            "DELETE was answered {status}, and no task has started later than {} ms after that",
            CANCEL_MS + CONTACT_MS
        )),
        false => Verdict::Broken(format!(
            "UNASKED: DELETE was answered {status}, but tasks of the job were started after \
             that: {}; the job is shown as {shown}",
            late.join(", ")
        )),
    })
}

/// One of three spread replicas of a service fails once.
pub fn failed_replica(trouble: bool, record: &Record) -> io::Result<Verdict> {
    const TASKS: u32 = 3;
    const FAILS_AFTER_MS: u64 = 5_000;
    let failing = "0123456789abcdef.0.0.1";
    let fails = Arc::new(AtomicBool::new(trouble));
    let plan: Plan = Arc::new(move |task| {
        match task == failing && fails.swap(false, Ordering::SeqCst) {
            true => Work::Failed(FAILS_AFTER_MS),
            false => Work::Lasts,
        }
    });
    let site = Site::start(1, &[16_000; TASKS as usize], plan, record)?;
    send_config(&site.fleet, 1, &[Route::new("base", 4)], record)?;
    site.sleep(4_000);
    let path = "/base/0123456789abcdef";
    let body = job(&[step(
        TASKS,
        1_000,
        500,
        ",\"long_running\":true,\"anti_affinity\":1",
    )]);
    let front = site.fleet.front(0);
    let answer = ask(front, "POST", path, &body, Duration::from_secs(3), record);
    if !matches!(answer, Some((200, _))) {
        return Err(io::Error::other("the job isn't accepted"));
    }
    let running = |site: &Site| {
        let workers = site.workers.iter();
        workers.map(|worker| worker.running().len()).sum::<usize>()
    };
    site.sleep(FAILS_AFTER_MS - 1_000);
    let before = running(&site);
    // From 6 s after its last run a task that lasts may have nothing running for 3 s at
    // most; the calm time before lies within these 6 s.
    site.sleep(1_000 + 6_000 + 3_000);
    let mut most = 0;
    for _ in 0..600 {
        site.sleep(100);
        most = most.max(running(&site));
        if most == TASKS as usize {
            break;
        }
    }
    let shown = state(&site.fleet, path, record).unwrap_or_default();
    let at = record.now();
    let events = site.events();
    let ended = events
        .iter()
        .find(|it| it.what == "failed")
        .map_or(at, |it| it.at);
    Ok(match most == TASKS as usize {
        true => Verdict::Held(format!("all {TASKS} tasks run")),
        false => Verdict::Broken(format!(
            "LOST: {before} of {TASKS} tasks ran before one of them failed once; {most} run until \
             {} s after that, with a server of {TASKS} without any task; the job is shown as \
             {shown}",
            (at - ended) / 1_000
        )),
    })
}

/// A task that lasts fails once on each of two servers; a short job is handed in later.
pub fn closed_server(trouble: bool, record: &Record) -> io::Result<Verdict> {
    let failed: Arc<Mutex<Vec<String>>> = Arc::default();
    let plan: Plan = Arc::new(move |task| {
        if !task.starts_with("0123456789abcdef.") {
            return Work::Done(200);
        }
        let mut failed = failed.lock().expect("the lock of the plan");
        match trouble && !failed.iter().any(|it| it == task) {
            true => {
                failed.push(task.to_owned());
                Work::Failed(4_000)
            }
            false => Work::Lasts,
        }
    });
    let site = Site::start(1, &[16_000; 2], plan, record)?;
    send_config(&site.fleet, 1, &[Route::new("base", 4)], record)?;
    site.sleep(4_000);
    let front = site.fleet.front(0);
    let limit = Duration::from_secs(3);
    let service = "/base/0123456789abcdef";
    let body = job(&[step(
        2,
        1_000,
        500,
        ",\"long_running\":true,\"anti_affinity\":1",
    )]);
    let answer = ask(front, "POST", service, &body, limit, record);
    if !matches!(answer, Some((200, _))) {
        return Err(io::Error::other("the service isn't accepted"));
    }
    site.sleep(12_000);
    let short = "/base/00000000000000aa";
    let answer = ask(
        front,
        "POST",
        short,
        &job(&[step(1, 500, 200, "")]),
        limit,
        record,
    );
    if !matches!(answer, Some((200, _))) {
        return Err(io::Error::other("the short job isn't accepted"));
    }
    record.line("the traffic has ended");
    site.sleep(FINISH_MS + 3_000);
    let used: usize = site
        .workers
        .iter()
        .map(|worker| worker.running().len())
        .sum();
    let shown = state(&site.fleet, short, record).unwrap_or_default();
    let events = site.events();
    let started = events
        .iter()
        .any(|it| it.task.starts_with("00000000000000aa."));
    Ok(match started {
        true => Verdict::Held(format!("the short job has run, and is shown as {shown}")),
        false => Verdict::Broken(format!(
            "LOST: the short job hasn't started {} s after the traffic and is shown as {shown}; \
             the two servers run {used} tasks of 1 core on 32 cores",
            (FINISH_MS + 3_000) / 1_000
        )),
    })
}

/// The server of one of eight spread replicas crashes and starts again.
pub fn crashed_replica(trouble: bool, record: &Record) -> io::Result<Verdict> {
    const TASKS: u32 = 8;
    let mut site = Site::start(1, &[16_000; TASKS as usize], fixed(Work::Lasts), record)?;
    send_config(&site.fleet, 1, &[Route::new("base", 4)], record)?;
    site.sleep(4_000);
    let path = "/base/0123456789abcdef";
    let body = job(&[step(
        TASKS,
        1_000,
        500,
        ",\"long_running\":true,\"anti_affinity\":1",
    )]);
    let front = site.fleet.front(0);
    let answer = ask(front, "POST", path, &body, Duration::from_secs(3), record);
    if !matches!(answer, Some((200, _))) {
        return Err(io::Error::other("the job isn't accepted"));
    }
    let running = |site: &Site| {
        let workers = site.workers.iter();
        workers.map(|worker| worker.running().len()).sum::<usize>()
    };
    site.sleep(6_000);
    let before = running(&site);
    if trouble {
        let last = TASKS as usize - 1;
        let profile = site.workers[last].profile.clone();
        site.workers[last].crash();
        site.sleep(2_000);
        site.workers[last] = site.boot(profile)?;
    }
    // Four calm seconds after the server's return, three in which nothing runs, and two of
    // tolerance.
    let returned = record.now();
    site.sleep(4_000 + 3_000 + 2_000);
    let first = running(&site);
    let mut most = first;
    while most < TASKS as usize && record.now() < returned + 60_000 {
        site.sleep(100);
        most = most.max(running(&site));
    }
    let after = record.now() - returned;
    let shown = state(&site.fleet, path, record).unwrap_or_default();
    Ok(match first == TASKS as usize {
        true => Verdict::Held(format!("all {TASKS} tasks run")),
        false => Verdict::Broken(format!(
            "LOST: {before} of {TASKS} tasks ran before the server crashed, {first} run 9 s after \
             its return and {most} after {} s, with a server without any task; the job is shown \
             as {shown}",
            after / 1_000
        )),
    })
}
