//! The cases: each starts a small deployment, brings about its disruption unless that is
//! switched off, and judges what clients and servers have seen.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{self, Bounds, Fleet, HANAFY_YARD, NORRVIK_PANNA};
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

fn profile(fleet: &Fleet, number: u8, cpu: u64, hold_max_ms: u64) -> Profile {
    let address = fleet.server_address(number);
    assert!(fleet::is_loopback(&address));
    Profile {
        id: format!("i-{number:04}"),
        service: "catalog".to_owned(),
        zone: format!("zone-{}", number % 3 + 1),
        address,
        cpu,
        mem_mb: 65_536,
        labels: format!(
            "\"{}\",\"r{}\"",
            if number == 0 { "big" } else { "a" },
            number % 3 + 1
        ),
        hold_max_ms,
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
        bounds: Bounds,
        sizes: &[u64],
        plan: Plan,
        record: &Record,
    ) -> io::Result<Site> {
        let fleet = Fleet::start(3, 1, bounds, record)?;
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
            let profile = profile(&site.fleet, number as u8, cpu, bounds.hold_max_ms);
            let worker = site.boot(profile, false)?;
            site.workers.push(worker);
        }
        Ok(site)
    }

    fn boot(&self, profile: Profile, cut: bool) -> io::Result<Worker> {
        let (plan, events) = (self.plan.clone(), self.events.clone());
        let (controls, record) = (self.controls.clone(), self.record.clone());
        Worker::boot(profile, controls, plan, events, record, cut)
    }

    /// The number of runs on all servers.
    fn running(&self) -> usize {
        let workers = self.workers.iter();
        workers.map(|worker| worker.running().len()).sum()
    }

    fn events(&self) -> Vec<Event> {
        self.events
            .lock()
            .map(|events| events.clone())
            .unwrap_or_default()
    }

    fn sleep(&self, millis: u64) {
        thread::sleep(Duration::from_millis(millis));
    }
}

fn fixed(work: Work) -> Plan {
    Arc::new(move |_| work)
}

/// A caller that has left before its job was accepted cancels it, while the leader is
/// replaced.
pub fn cancelled_job(trouble: bool, record: &Record) -> io::Result<Verdict> {
    const LEAVES_AFTER: Duration = Duration::from_millis(150);
    let mut site =
        Site::start(HANAFY_YARD, &[64_000; 3], fixed(Work::Done(4_000)), record)?;
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

/// The server of one of eight spread replicas crashes and starts again.
pub fn crashed_replica(trouble: bool, record: &Record) -> io::Result<Verdict> {
    const TASKS: u32 = 8;
    let mut site = Site::start(
        HANAFY_YARD,
        &[16_000; TASKS as usize],
        fixed(Work::Lasts),
        record,
    )?;
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
    site.sleep(6_000);
    let before = site.running();
    if trouble {
        let last = TASKS as usize - 1;
        let profile = site.workers[last].profile.clone();
        site.workers[last].crash();
        site.sleep(2_000);
        site.workers[last] = site.boot(profile, false)?;
    }
    // Four calm seconds after the server's return, three in which nothing runs, and two of
    // tolerance.
    let returned = record.now();
    site.sleep(4_000 + 3_000 + 2_000);
    let first = site.running();
    let mut most = first;
    while most < TASKS as usize && record.now() < returned + 30_000 {
        site.sleep(100);
        most = most.max(site.running());
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

/// A wide step, one task of which fails twice; the leader is killed meanwhile.
pub fn wide_step(trouble: bool, record: &Record) -> io::Result<Verdict> {
    const TASKS: u32 = 5_000;
    const ATTEMPTS: u32 = 3;
    let failing = format!("0123456789abcdef.0.0.{}", TASKS - 1);
    let name = failing.clone();
    let plan: Plan = Arc::new(move |task| match task == name {
        true => Work::Failed(3_000),
        false => Work::Done(500),
    });
    let mut site = Site::start(HANAFY_YARD, &[64_000; 4], plan, record)?;
    send_config(&site.fleet, 1, &[Route::new("base", ATTEMPTS)], record)?;
    site.sleep(4_000);
    let path = "/base/0123456789abcdef";
    let step =
        format!("{{\"count\":{TASKS},\"cpu\":20,\"mem_mb\":8,\"estimated_ms\":500}}");
    let front = site.fleet.front(0);
    let answer = ask(
        front,
        "POST",
        path,
        &job(&[step]),
        Duration::from_secs(3),
        record,
    );
    if !matches!(answer, Some((200, _))) {
        return Err(io::Error::other("the job isn't accepted"));
    }
    let of_task = |site: &Site, what: &str| {
        let events = site.events();
        events
            .iter()
            .filter(|it| it.task == failing && it.what == what)
            .count()
    };
    let mut waited = 0;
    while of_task(&site, "start") < 2 {
        site.sleep(50);
        waited += 1;
        if waited > 600 {
            return Err(io::Error::other("the task hasn't started again after 30 s"));
        }
    }
    if trouble {
        site.sleep(500);
        let leader = site
            .fleet
            .leader()
            .ok_or_else(|| io::Error::other("no core leads"))?;
        let leader = format!("core-{}", leader + 1);
        site.fleet.kill(&leader, record);
        site.sleep(500);
        site.fleet.restart(&leader, record)?;
    }
    // The traffic has ended. The rule asks for something to run within 3 s from then on.
    site.sleep(FINISH_MS);
    let finish = record.now();
    let mut idle_since = None;
    let mut shown = String::new();
    let mut idle = 0;
    for _ in 0..100 {
        site.sleep(100);
        shown = state(&site.fleet, path, record).unwrap_or_default();
        if matches!(shown.as_str(), "completed" | "failed") {
            break;
        }
        let is_running = site.workers.iter().any(|it| !it.running().is_empty());
        let since = *idle_since.get_or_insert(record.now());
        match is_running {
            true => idle_since = None,
            false => idle = idle.max(record.now() - since),
        }
    }
    let (starts, failed) = (of_task(&site, "start"), of_task(&site, "failed"));
    if starts > ATTEMPTS as usize && failed >= ATTEMPTS as usize {
        return Ok(Verdict::Broken(format!(
            "BUDGET: the task was started {starts} times and has failed {failed} times, with \
             max_attempts {ATTEMPTS}; the job is shown as {shown}"
        )));
    }
    Ok(match idle > 3_000 {
        false => Verdict::Held(format!(
            "the task was started {starts} times, failed {failed} times; the job is shown as \
             {shown}"
        )),
        true => Verdict::Broken(format!(
            "LOST: from {finish} ms on, {FINISH_MS} ms after the traffic, nothing of the job ran \
             for {idle} ms, with {failed} of {ATTEMPTS} attempts of its last task used and all \
             servers idle; it is shown as {shown}"
        )),
    })
}

/// The server of a service of twenty replicas crashes and starts again, twice.
pub fn crashed_service(trouble: bool, record: &Record) -> io::Result<Verdict> {
    const TASKS: u32 = 20;
    let sizes = [
        32_000, 16_000, 16_000, 16_000, 16_000, 16_000, 16_000, 16_000,
    ];
    let mut site = Site::start(HANAFY_YARD, &sizes, fixed(Work::Lasts), record)?;
    send_config(&site.fleet, 1, &[Route::new("base", 4)], record)?;
    site.sleep(4_000);
    let path = "/base/0123456789abcdef";
    // Only the first server has the label.
    let more = ",\"long_running\":true,\"required_label\":\"big\"";
    let body = job(&[step(TASKS, 1_000, 500, more)]);
    let front = site.fleet.front(0);
    let answer = ask(front, "POST", path, &body, Duration::from_secs(3), record);
    if !matches!(answer, Some((200, _))) {
        return Err(io::Error::other("the job isn't accepted"));
    }
    let mut before = 0;
    for after in [15_000, 12_000] {
        site.sleep(after);
        before = site.running();
        record.line(&format!("{before} of {TASKS} tasks run"));
        if trouble {
            let profile = site.workers[0].profile.clone();
            site.workers[0].crash();
            site.sleep(1_500);
            site.workers[0] = site.boot(profile, false)?;
        }
    }
    // Four calm seconds after the server's return, three in which nothing runs, and two of
    // tolerance.
    site.sleep(4_000 + 3_000 + 2_000);
    let first = site.running();
    record.line(&format!(
        "{first} of {TASKS} tasks run 9 s after the return"
    ));
    site.sleep(20_000);
    let second = site.running();
    Ok(match first == TASKS as usize {
        true => Verdict::Held(format!("all {TASKS} tasks run")),
        false => Verdict::Broken(format!(
            "LOST: {before} of {TASKS} tasks ran before the second crash, {first} run 9 s after \
             the server's return and {second} after 29 s, with nothing else to run"
        )),
    })
}

/// A start gets no answer and is carried out 11.9 s later. Meanwhile its server is cut off,
/// crashes behind the cut and starts again.
pub fn late_start(trouble: bool, record: &Record) -> io::Result<Verdict> {
    const LATE_MS: u64 = 11_900;
    const CUT_AFTER_MS: u64 = 6_400;
    const CUT_MS: u64 = 8_000;
    let task = "0123456789abcdef.";
    let plan: Plan = Arc::new(move |name| match name.starts_with(task) {
        true => Work::Done(60_000),
        false => Work::Done(100),
    });
    let sizes = [
        4_000, 64_000, 64_000, 64_000, 64_000, 64_000, 64_000, 64_000, 64_000,
    ];
    let mut site = Site::start(NORRVIK_PANNA, &sizes, plan, record)?;
    send_config(&site.fleet, 1, &[Route::new("base", 4)], record)?;
    site.sleep(12_000);
    // The task goes where it leaves the least room, to the first server.
    let server = site.workers[0].clone();
    if trouble {
        server.late.want(task);
    }
    let path = "/base/0123456789abcdef";
    let front = site.fleet.front(0);
    let body = job(&[step(1, 3_000, 60_000, "")]);
    let sent = record.now();
    let answer = ask(front, "POST", path, &body, Duration::from_secs(3), record);
    if !matches!(answer, Some((200, _))) {
        return Err(io::Error::other("the job isn't accepted"));
    }
    if trouble {
        site.sleep(CUT_AFTER_MS);
        server.set_cut(true);
        site.sleep(500);
        server.crash();
        let reborn = site.boot(server.profile.clone(), true)?;
        site.workers[0] = reborn.clone();
        let Some(order) = server.late.kept() else {
            return Err(io::Error::other("the server got no start"));
        };
        site.sleep((sent + LATE_MS).saturating_sub(record.now()));
        reborn.carry_out(&order);
        site.sleep((sent + CUT_AFTER_MS + CUT_MS).saturating_sub(record.now()));
        reborn.set_cut(false);
    }
    site.sleep(12_000);
    let mut active: Vec<(String, u64)> = Vec::new();
    let mut most = 0;
    let mut since = 0;
    let mut overlap = 0;
    for event in site.events().iter().filter(|it| it.task.starts_with(task)) {
        if active.len() > 1 {
            overlap += event.at - since;
        }
        match event.what {
            "start" => active.push((event.worker.clone(), event.at)),
            _ => active.retain(|(worker, _)| *worker != event.worker),
        }
        most = most.max(active.len());
        since = event.at;
    }
    Ok(match most {
        0 | 1 => Verdict::Held("the task had one run at a time".to_owned()),
        _ => Verdict::Broken(format!(
            "TWICE: the task had {most} runs at the same time, on servers that are up, for \
             {overlap} ms"
        )),
    })
}
