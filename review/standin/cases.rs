//! The cases: each gives 1 if its rule was broken, 0 if it held and 2 if it couldn't run.

use std::collections::{HashMap, HashSet};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Event, FAR_FACTOR, MinionSpec};
use crate::http;
use crate::keys;
use crate::late;
use crate::restarts;
use crate::wall_ms;

/// Routes without traffic in a configuration that has grown.
const IDLE_ROUTES: usize = 250;

/// Routes with a little traffic each, which are taken away and added again.
const SIDE_ROUTES: usize = 60;

const SECOND: Duration = Duration::from_secs(1);

/// Why a case couldn't run, or what it found.
pub type Verdict = Result<Option<String>, String>;

pub fn run(name: &str, record: &str, trouble: bool) -> i32 {
    let far_factor = if name == "rack" { 3.0 } else { FAR_FACTOR };
    let Some(cluster) = Cluster::start(far_factor) else {
        return 2;
    };
    let verdict = match name {
        "crashes" => crashes(&cluster, trouble),
        "foreign" => foreign(&cluster, trouble),
        "routes" => routes(&cluster, trouble),
        "probe" => probe(&cluster, trouble),
        "rack" => rack(&cluster, trouble),
        "avoid" => avoid(&cluster, trouble),
        "repeat" => repeat(&cluster, trouble),
        "leave" => leave(&cluster, trouble),
        "late" => late(&cluster, trouble),
        "reserve" => reserve(&cluster, trouble),
        "seen" => late::seen(&cluster, trouble),
        "renamed" => keys::renamed(&cluster, trouble),
        "suspects" => restarts::suspects(&cluster, trouble),
        "bound" => restarts::bound(&cluster, trouble),
        _ => Err("no such case".to_owned()),
    };
    let (code, text) = match verdict {
        Ok(None) => (0, "HELD".to_owned()),
        Ok(Some(found)) => (1, format!("BROKEN: {found}")),
        Err(reason) => (2, format!("COULD NOT RUN: {reason}")),
    };
    cluster.finish(record, &text);
    code
}

pub fn minion(host: u8, life: u32) -> MinionSpec {
    MinionSpec {
        name: format!("minion-{host}"),
        id: format!("i-{host:02}-{life:02}-{:x}", wall_ms() & 0xffff_ffff),
        host,
        backend: "catalog".to_owned(),
        kind: if host == 1 {
            "b".to_owned()
        } else {
            "a".to_owned()
        },
        cpu: 16_000,
    }
}

/// Brings up the operator's first configuration and some minions.
pub fn bring_up(cluster: &Cluster, minions: u8) -> Result<Vec<MinionSpec>, String> {
    if !cluster.configure(1, &[("r-main", "/main/", "catalog")]) {
        return Err("the first configuration wasn't acknowledged".to_owned());
    }
    let specs: Vec<MinionSpec> = (1..=minions).map(|host| minion(host, 0)).collect();
    for spec in &specs {
        cluster.start_minion(spec);
    }
    if !cluster.wait_ready() {
        return Err("the entries didn't become ready".to_owned());
    }
    Ok(specs)
}

pub fn job(step: &str, spec: &str) -> String {
    format!("{{\"task_spec\":\"{spec}\",\"steps\":[{step}]}}")
}

/// Waits until a task is started in a later run than `after`, and gives that start.
pub fn wait_start(
    cluster: &Cluster,
    task: &str,
    after: u64,
    limit: Duration,
) -> Option<Event> {
    let newest = || {
        let events = cluster.events().into_iter();
        let starts = events.filter(|it| it.what == "start" && it.task == task);
        starts.filter(|it| it.run > after).max_by_key(|it| it.run)
    };
    cluster.wait(limit, newest)
}

/// A standing job's minion crashes, and its next one does too.
fn crashes(cluster: &Cluster, trouble: bool) -> Verdict {
    let mut specs = bring_up(cluster, 8)?;
    let id = cluster.new_job();
    let path = format!("/main/{id}");
    let step = "{\"count\":1,\"cpu\":4000,\"mem_mb\":4000,\"estimated_ms\":20000,\"long_running\":true}";
    if !cluster.submit(&path, &job(step, "lasts")) {
        return Err("the job wasn't accepted".to_owned());
    }
    let task = format!("{id}.0.0.0");
    let mut crashed = 0;
    let mut last_run = 0;
    for round in 1..=2 {
        let Some(place) = wait_start(cluster, &task, last_run, 15 * SECOND) else {
            break;
        };
        last_run = place.run;
        cluster.note(&format!(
            "{task} runs as run {} on {}",
            place.run, place.minion
        ));
        thread::sleep(5 * SECOND);
        if !trouble {
            break;
        }
        let Some(at) = specs.iter().position(|spec| spec.id == place.minion) else {
            return Err("an unknown minion".to_owned());
        };
        cluster.kill(&specs[at].name);
        crashed += 1;
        thread::sleep(2 * SECOND);
        specs[at] = minion(specs[at].host, round);
        cluster.start_minion(&specs[at]);
    }
    let end = Instant::now() + 25 * SECOND;
    let mut state = String::new();
    while Instant::now() < end {
        state = cluster.state(&path);
        cluster.note(&format!("consumer: GET {path}: {state}"));
        if state == "failed" {
            break;
        }
        thread::sleep(SECOND);
    }
    let failed = cluster
        .events()
        .iter()
        .filter(|it| it.what == "end" && it.rest == "failed")
        .count();
    Ok((state == "failed" && failed == 0).then(|| {
        format!(
            "LOST: the standing job {id} is shown as failed, though no run has ended failed; \
             its minions crashed {crashed} times"
        )
    }))
}

/// The pairs of runs of one task that overlapped in time on minions that were up.
fn overlaps(events: &[Event], now: u64) -> Vec<(Event, Event, u64)> {
    let starts: Vec<&Event> = events.iter().filter(|it| it.what == "start").collect();
    let end_of = |start: &Event| {
        let end = events.iter().find(|it| {
            it.what == "end"
                && it.task == start.task
                && it.run == start.run
                && it.minion == start.minion
                && it.at >= start.at
        });
        end.map_or(now, |it| it.at)
    };
    let mut found = Vec::new();
    for (index, first) in starts.iter().enumerate() {
        for second in &starts[index + 1..] {
            let same = first.task == second.task
                && (first.run != second.run || first.minion != second.minion);
            if same && second.at < end_of(first) {
                let together =
                    end_of(first).min(end_of(second)).saturating_sub(second.at);
                found.push(((*first).clone(), (*second).clone(), together));
            }
        }
    }
    found
}

/// A liveness report of another writer, for a service that isn't named in the
/// configuration, gives the address of a minion that runs tasks.
fn foreign(cluster: &Cluster, trouble: bool) -> Verdict {
    let specs = bring_up(cluster, 6)?;
    let step = "{\"count\":6,\"cpu\":4000,\"mem_mb\":4000,\"estimated_ms\":12000}";
    let mut jobs = Vec::new();
    for _ in 0..2 {
        let id = cluster.new_job();
        if !cluster.submit(&format!("/main/{id}"), &job(step, "work=12000")) {
            return Err("the job wasn't accepted".to_owned());
        }
        jobs.push(id);
    }
    let all_run = || {
        let events = cluster.events();
        (events.iter().filter(|it| it.what == "start").count() >= 12).then_some(())
    };
    if cluster.wait(10 * SECOND, all_run).is_none() {
        return Err("the tasks didn't start".to_owned());
    }
    thread::sleep(2 * SECOND);
    let busy = cluster
        .events()
        .iter()
        .find(|it| it.what == "start")
        .map(|it| it.minion.clone());
    let busy = specs
        .iter()
        .find(|it| Some(&it.id) == busy.as_ref())
        .ok_or("no minion")?;
    let address = cluster.minion_address(busy.host);
    if trouble {
        let body = format!(
            "{{\"backend\":\"mailer\",\"address\":\"{address}\",\"zone\":\"zone-1\",\
             \"version\":\"v9\",\"slots\":4,\"state\":\"ready\",\"cold_left_ms\":0,\
             \"capacity\":{{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":0}},\"labels\":[\"x\",\"r9\"],\
             \"clock_ms\":1000,\"born\":{},\"call_seq\":1}}",
            wall_ms()
        );
        let node = cluster.control(1);
        let path = "/v1/instances/x-other-writer/heartbeat";
        let answer =
            http::call(node, "POST", &node.to_string(), path, &[], &body, SECOND);
        let answer = answer.map(|it| it.status).unwrap_or(0);
        cluster.note(&format!(
            "another writer: POST {path} with {body}: {answer}"
        ));
    }
    let mut states = HashMap::new();
    let end = Instant::now() + 30 * SECOND;
    while Instant::now() < end {
        for id in &jobs {
            states.insert(id.clone(), cluster.state(&format!("/main/{id}")));
        }
        if states.values().all(|state| state == "completed") {
            break;
        }
        thread::sleep(SECOND);
    }
    cluster.note(&format!("states at the end: {states:?}"));
    let twice = overlaps(&cluster.events(), wall_ms());
    for (first, second, together) in &twice {
        cluster.note(&format!(
            "{} ran as run {} on {} and as run {} on {} for {together} ms together",
            first.task, first.run, first.minion, second.run, second.minion
        ));
    }
    Ok((!twice.is_empty()).then(|| {
        let longest = twice.iter().map(|it| it.2).max().unwrap_or(0);
        format!(
            "TWICE: {} tasks had two runs at the same time, for up to {longest} ms, on minions \
             that were up",
            twice.len()
        )
    }))
}

/// The last digits of a job's id as a number.
fn number_of(id: &str) -> usize {
    usize::from_str_radix(&id[8..], 16).unwrap_or(0)
}

/// Routes are taken away and added again while jobs are handed in on it.
fn routes(cluster: &Cluster, trouble: bool) -> Verdict {
    bring_up(cluster, 6)?;
    let names =
        (0..SIDE_ROUTES).map(|at| (format!("r-side-{at}"), format!("/side-{at}/")));
    let names: Vec<(String, String)> = names.collect();
    let mut both = vec![("r-main", "/main/", "catalog")];
    both.extend(
        names
            .iter()
            .map(|(name, prefix)| (name.as_str(), prefix.as_str(), "catalog")),
    );
    let mut version = 2;
    if !cluster.configure_with(version, &both, IDLE_ROUTES) {
        return Err("a configuration wasn't acknowledged".to_owned());
    }
    thread::sleep(3 * SECOND);
    let step = "{\"count\":1,\"cpu\":500,\"mem_mb\":100,\"estimated_ms\":50}";
    let body = job(step, "work=1");
    let end = Instant::now() + 45 * SECOND;
    let accepted: Vec<String> = thread::scope(|scope| {
        let senders: Vec<_> = (0..12u8)
            .map(|sender| {
                let body = &body;
                scope.spawn(move || {
                    let mut accepted = Vec::new();
                    let mut pause = u64::from(sender) * 17;
                    while Instant::now() < end {
                        // 60 to 139 ms, in no step with the other senders.
                        pause = (pause * 7 + 13) % 80;
                        thread::sleep(Duration::from_millis(60 + pause));
                        let id = cluster.new_job();
                        let path = format!("/side-{}/{id}", number_of(&id) % SIDE_ROUTES);
                        let (status, _) =
                            cluster.consume(sender % 2 + 1, "POST", &path, body);
                        cluster.note(&format!("consumer: POST {path}: {status}"));
                        if (200..300).contains(&status) {
                            accepted.push(id);
                        }
                    }
                    accepted
                })
            })
            .collect();
        while Instant::now() + 3 * SECOND < end {
            for routes in [&both[..1], &both[..]] {
                thread::sleep(Duration::from_millis(500));
                if trouble {
                    version += 5;
                    cluster.configure_with(version, routes, IDLE_ROUTES);
                }
            }
        }
        senders
            .into_iter()
            .flat_map(|it| it.join().unwrap())
            .collect()
    });
    cluster.note(&format!("{} jobs were accepted", accepted.len()));
    // finish_s after the end of the traffic; the route is there, and the minions are idle.
    thread::sleep(14 * SECOND);
    let started: HashSet<String> = cluster
        .events()
        .iter()
        .filter(|it| it.what == "start")
        .map(|it| it.task.split('.').next().unwrap_or_default().to_owned())
        .collect();
    let never: Vec<&String> = accepted
        .iter()
        .filter(|id| !started.contains(*id))
        .collect();
    for id in &never {
        let state = cluster.state(&format!("/side-{}/{id}", number_of(id) % SIDE_ROUTES));
        cluster.note(&format!(
            "job {id} was accepted and has never run: GET says {state}"
        ));
    }
    Ok((!never.is_empty()).then(|| {
        format!(
            "LOST: {} of {} accepted jobs never ran, 14 s after the traffic, with idle minions",
            never.len(),
            accepted.len()
        )
    }))
}

/// A standing task fails once on the only minion with its label, and then runs on.
fn probe(cluster: &Cluster, trouble: bool) -> Verdict {
    bring_up(cluster, 5)?;
    let standing = |id: &str, spec: &str| {
        let step = "{\"count\":1,\"cpu\":2000,\"mem_mb\":2000,\"estimated_ms\":20000,\
            \"long_running\":true,\"required_label\":\"b\"}";
        cluster.submit(&format!("/main/{id}"), &job(step, spec))
    };
    let first = cluster.new_job();
    if !standing(&first, if trouble { "failfirst=3000" } else { "lasts" }) {
        return Err("the job wasn't accepted".to_owned());
    }
    let task = format!("{first}.0.0.0");
    let Some(start) = wait_start(cluster, &task, 0, 10 * SECOND) else {
        return Err("the standing task didn't start".to_owned());
    };
    if trouble && wait_start(cluster, &task, start.run, 15 * SECOND).is_none() {
        return Err("the standing task wasn't started again".to_owned());
    }
    thread::sleep(5 * SECOND);
    cluster.note(&format!(
        "{task} runs again, on a minion with 14 of 16 cores free"
    ));
    let (second, third) = (cluster.new_job(), cluster.new_job());
    let step = "{\"count\":2,\"cpu\":1000,\"mem_mb\":500,\"estimated_ms\":500,\
        \"required_label\":\"b\"}";
    if !standing(&second, "lasts")
        || !cluster.submit(&format!("/main/{third}"), &job(step, "work=500"))
    {
        return Err("a job wasn't accepted".to_owned());
    }
    let begun = || {
        let events = cluster.events();
        let ran = |id: &str| {
            events
                .iter()
                .any(|it| it.what == "start" && it.task.starts_with(id))
        };
        (ran(&second) && ran(&third)).then_some(())
    };
    let waited = cluster.wait(30 * SECOND, begun).is_none();
    for id in [&first, &second, &third] {
        let path = format!("/main/{id}");
        cluster.note(&format!("consumer: GET {path}: {}", cluster.state(&path)));
    }
    Ok(waited.then(|| {
        "LOST: a standing job and a batch job had nothing running for 30 s, with 14 of the 16 \
         cores of their minion free".to_owned()
    }))
}

/// A job's data is on a rack whose minion has a long task; the other racks are idle.
fn rack(cluster: &Cluster, trouble: bool) -> Verdict {
    bring_up(cluster, 10)?;
    if trouble {
        let id = cluster.new_job();
        let step = "{\"count\":1,\"cpu\":16000,\"mem_mb\":4000,\"estimated_ms\":20000,\
            \"required_label\":\"r1-1\"}";
        if !cluster.submit(&format!("/main/{id}"), &job(step, "work=20000")) {
            return Err("the job wasn't accepted".to_owned());
        }
        let Some(place) = wait_start(cluster, &format!("{id}.0.0.0"), 0, 10 * SECOND)
        else {
            return Err("the task didn't start".to_owned());
        };
        cluster.note(&format!("the rack's minion is full: {}", place.minion));
    }
    thread::sleep(Duration::from_millis(4_300));
    let id = cluster.new_job();
    let path = format!("/main/{id}");
    let step = "{\"count\":1,\"cpu\":2000,\"mem_mb\":2000,\"estimated_ms\":16000,\
        \"affinity\":\"r1-1\"}";
    if !cluster.submit(&path, &job(step, "work=16000")) {
        return Err("the job wasn't accepted".to_owned());
    }
    let accepted = Instant::now();
    let started = wait_start(cluster, &format!("{id}.0.0.0"), 0, 40 * SECOND);
    let waited = accepted.elapsed().as_millis();
    cluster.note(&format!("the job first ran after {waited} ms: {started:?}"));
    // The traffic ends with the last job. It is judged from 3 s before finish_s on.
    Ok((waited > 14_000).then(|| {
        format!(
            "LOST: {waited} ms passed until the job had anything running, while 9 of 10 minions \
             were idle: also in the 3 s before finish_s (14 s) after the end of the traffic"
        )
    }))
}

/// A standing task fails once on a minion that is idle otherwise, while all other minions
/// are full. A small job shows that this minion takes work.
fn avoid(cluster: &Cluster, trouble: bool) -> Verdict {
    bring_up(cluster, 3)?;
    let standing = |id: &str, count: u8, cpu: u16, spec: &str| {
        let step = format!(
            "{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":2000,\"estimated_ms\":20000,\
             \"long_running\":true}}"
        );
        cluster.submit(&format!("/main/{id}"), &job(&step, spec))
    };
    let (others, id) = (cluster.new_job(), cluster.new_job());
    if !standing(&others, 2, 16_000, "lasts") {
        return Err("the job wasn't accepted".to_owned());
    }
    for index in 0..2 {
        if wait_start(cluster, &format!("{others}.0.0.{index}"), 0, 10 * SECOND).is_none()
        {
            return Err("a standing task didn't start".to_owned());
        }
    }
    if !standing(
        &id,
        1,
        4_000,
        if trouble { "failfirst=3000" } else { "lasts" },
    ) {
        return Err("the job wasn't accepted".to_owned());
    }
    let task = format!("{id}.0.0.0");
    let Some(start) = wait_start(cluster, &task, 0, 10 * SECOND) else {
        return Err("the standing task didn't start".to_owned());
    };
    thread::sleep(5 * SECOND);
    let small = cluster.new_job();
    let step = "{\"count\":1,\"cpu\":1000,\"mem_mb\":500,\"estimated_ms\":500}";
    if !cluster.submit(&format!("/main/{small}"), &job(step, "work=500")) {
        return Err("the job wasn't accepted".to_owned());
    }
    thread::sleep(30 * SECOND);
    let again = wait_start(cluster, &task, start.run, SECOND / 10).is_some();
    let small_ran =
        wait_start(cluster, &format!("{small}.0.0.0"), 0, SECOND / 10).is_some();
    for id in [&others, &id, &small] {
        let path = format!("/main/{id}");
        cluster.note(&format!("consumer: GET {path}: {}", cluster.state(&path)));
    }
    if !small_ran {
        return Err("the small job wasn't started on the idle minion".to_owned());
    }
    Ok((trouble && !again).then(|| {
        format!(
            "LOST: the standing task {task} has nothing running for over 30 s after its only \
             failure, while its minion is idle"
        )
    }))
}

/// A standing job has more tasks than can run with its limit for each minion.
fn reserve(cluster: &Cluster, trouble: bool) -> Verdict {
    if !cluster.configure(1, &[("r-main", "/main/", "catalog")]) {
        return Err("the first configuration wasn't acknowledged".to_owned());
    }
    for host in 1..=5 {
        let mut spec = minion(host, 0);
        if host == 5 {
            spec.cpu = 8_000;
        }
        cluster.start_minion(&spec);
    }
    if !cluster.wait_ready() {
        return Err("the entries didn't become ready".to_owned());
    }
    thread::sleep(2 * SECOND);
    let standing = cluster.new_job();
    let count = if trouble { 12 } else { 5 };
    let step = format!(
        "{{\"count\":{count},\"cpu\":5000,\"mem_mb\":2000,\"estimated_ms\":20000,\
         \"anti_affinity\":1,\"long_running\":true}}"
    );
    if !cluster.submit(&format!("/main/{standing}"), &job(&step, "lasts")) {
        return Err("the job wasn't accepted".to_owned());
    }
    thread::sleep(3 * SECOND);
    let small = cluster.new_job();
    let step = "{\"count\":2,\"cpu\":4000,\"mem_mb\":500,\"estimated_ms\":500}";
    if !cluster.submit(&format!("/main/{small}"), &job(step, "work=500")) {
        return Err("the job wasn't accepted".to_owned());
    }
    let ran = wait_start(cluster, &format!("{small}.0.0.0"), 0, 30 * SECOND).is_some();
    for id in [&standing, &small] {
        let path = format!("/main/{id}");
        cluster.note(&format!("consumer: GET {path}: {}", cluster.state(&path)));
    }
    Ok((!ran).then(|| {
        "LOST: a job of 2 tasks of 4 cores had nothing running for 30 s, while 47 of the 72 cores \
         were free, 11 on each of four minions".to_owned()
    }))
}

/// A minion drains and leaves, and the confirmations of that are lost.
fn leave(cluster: &Cluster, trouble: bool) -> Verdict {
    if !cluster.configure(1, &[("r-main", "/main/", "catalog")]) {
        return Err("the first configuration wasn't acknowledged".to_owned());
    }
    let mut by = Vec::new();
    for index in 1..=3 {
        let target = cluster.control(index);
        if !trouble {
            by.push(target);
            continue;
        }
        let address = cluster.proxy_address(index);
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        thread::spawn(move || http::serve_losing_responses(listener, target));
        by.push(address);
    }
    let leaver = minion(1, 0);
    cluster.start_minion_leaving_by(&leaver, &by);
    if !cluster.wait_ready() {
        return Err("the entries didn't become ready".to_owned());
    }
    let id = cluster.new_job();
    let step = "{\"count\":3,\"cpu\":4000,\"mem_mb\":4000,\"estimated_ms\":20000}";
    if !cluster.submit(&format!("/main/{id}"), &job(step, "work=20000")) {
        return Err("the job wasn't accepted".to_owned());
    }
    let task = format!("{id}.0.0.2");
    if wait_start(cluster, &task, 0, 10 * SECOND).is_none() {
        return Err("the task didn't start".to_owned());
    }
    for host in 2..=16 {
        cluster.start_minion(&minion(host, 0));
    }
    thread::sleep(3 * SECOND);
    cluster.tell_to_leave(&leaver);
    thread::sleep(12 * SECOND);
    let twice = overlaps(&cluster.events(), wall_ms());
    for (first, second, together) in &twice {
        cluster.note(&format!(
            "{} ran as run {} on {} and as run {} on {} for {together} ms together",
            first.task, first.run, first.minion, second.run, second.minion
        ));
    }
    // Processes that log in the same moment may do so in either order.
    let longest = twice.iter().map(|it| it.2).max().unwrap_or(0);
    Ok((longest >= 100).then(|| {
        format!(
            "TWICE: {} tasks had two runs at the same time, for up to {longest} ms, on minions \
             that were up",
            twice.len()
        )
    }))
}

/// A start gets no answer and is carried out late, by the next life of a minion that has
/// drained and left, and comes back under its name.
fn late(cluster: &Cluster, trouble: bool) -> Verdict {
    if !cluster.configure(1, &[("r-main", "/main/", "catalog")]) {
        return Err("the first configuration wasn't acknowledged".to_owned());
    }
    let leaver = minion(1, 0);
    let inner = cluster.inner_address(1);
    let listener =
        TcpListener::bind(cluster.minion_address(1)).map_err(|it| it.to_string())?;
    let held: Arc<Mutex<Option<http::Request>>> = Arc::default();
    let armed = Arc::new(AtomicBool::new(trouble));
    {
        let (held, armed) = (Arc::clone(&held), Arc::clone(&armed));
        thread::spawn(move || {
            http::serve_some(listener, move |request| {
                if request.path == "/v1/run-start" && armed.swap(false, Ordering::SeqCst)
                {
                    *held.lock().unwrap() = Some(request);
                    thread::sleep(15 * SECOND);
                    return None;
                }
                http::pass_on(inner, &request)
            });
        });
    }
    cluster.start_minion_behind_proxy(&leaver);
    if !cluster.wait_ready() {
        return Err("the entries didn't become ready".to_owned());
    }
    let id = cluster.new_job();
    let step = "{\"count\":1,\"cpu\":4000,\"mem_mb\":4000,\"estimated_ms\":20000}";
    if !cluster.submit(&format!("/main/{id}"), &job(step, "work=20000")) {
        return Err("the job wasn't accepted".to_owned());
    }
    let task = format!("{id}.0.0.0");
    let Some(first) = wait_start(cluster, &task, 0, 10 * SECOND) else {
        return Err("the task didn't start".to_owned());
    };
    cluster.start_minion(&minion(2, 0));
    cluster.tell_to_leave(&leaver);
    let left = || {
        cluster
            .events()
            .into_iter()
            .find(|it| it.rest == "gone" && it.task == task)
    };
    let Some(gone) = cluster.wait(8 * SECOND, left) else {
        return Err("the minion didn't leave".to_owned());
    };
    cluster.note(&format!(
        "{} left at {}, {} ms after the start",
        leaver.id,
        gone.at,
        gone.at.saturating_sub(first.at)
    ));
    cluster.forget_leave(&leaver);
    thread::sleep(Duration::from_millis(500));
    cluster.start_minion_behind_proxy(&leaver);
    let up = || {
        let answer = http::call(inner, "GET", "m", "/health", &[], "", SECOND);
        answer.is_ok().then_some(())
    };
    if cluster.wait(5 * SECOND, up).is_none() {
        return Err("the minion didn't start again".to_owned());
    }
    if let Some(request) = held.lock().unwrap().take() {
        let age = wall_ms().saturating_sub(first.at);
        let answer = http::pass_on(inner, &request).map(|it| it.0);
        cluster.note(&format!(
            "the start that got no answer is carried out {age} ms after its next try: {} {answer:?}",
            String::from_utf8_lossy(&request.body)
        ));
    }
    thread::sleep(6 * SECOND);
    let twice = overlaps(&cluster.events(), wall_ms());
    for (first, second, together) in &twice {
        cluster.note(&format!(
            "{} ran as run {} on {} and as run {} on {} for {together} ms together",
            first.task, first.run, first.minion, second.run, second.minion
        ));
    }
    let longest = twice.iter().map(|it| it.2).max().unwrap_or(0);
    Ok((longest >= 100).then(|| {
        format!("TWICE: {task} had two runs at the same time, for {longest} ms, on minions that \
            were up")
    }))
}

/// The memory of a core of the site, in kB.
const CORE_MEMORY_KB: u64 = 256 * 1_024;

/// A job is scheduled for every 4.5 s of a year.
fn repeat(cluster: &Cluster, trouble: bool) -> Verdict {
    bring_up(cluster, 3)?;
    let step = "{\"count\":1,\"cpu\":500,\"mem_mb\":100,\"estimated_ms\":100}";
    let early = cluster.new_job();
    if !cluster.submit(&format!("/main/{early}"), &job(step, "work=100")) {
        return Err("the job wasn't accepted".to_owned());
    }
    thread::sleep(2 * SECOND);
    cluster.note(&format!(
        "consumer: GET /main/{early}: {}",
        cluster.state(&format!("/main/{early}"))
    ));
    let times = if trouble { 7_008_000 } else { 8 };
    let id = cluster.new_job();
    let body = format!(
        "{{\"task_spec\":\"work=100\",\"repeat_count\":{times},\"first_ms\":{},\
         \"interval_ms\":4500,\"steps\":[{step}]}}",
        wall_ms() + 5_000
    );
    let stop = AtomicBool::new(false);
    let (state, killed) = thread::scope(|scope| {
        let platform = scope.spawn(|| {
            let mut killed = 0;
            while !stop.load(Ordering::Relaxed) {
                killed += cluster.enforce_memory(CORE_MEMORY_KB);
                thread::sleep(Duration::from_millis(50));
            }
            killed
        });
        cluster.submit(&format!("/main/{id}"), &body);
        thread::sleep(20 * SECOND);
        let state = cluster.state(&format!("/main/{early}"));
        stop.store(true, Ordering::Relaxed);
        (state, platform.join().unwrap_or(0))
    });
    cluster.note(&format!(
        "consumer: GET /main/{early}: {state}; {killed} kills for memory"
    ));
    Ok((state != "completed").then(|| {
        format!(
            "LOST: an accepted job gets no answer 20 s later ({state}); the cores were killed \
             {killed} times for using more than 256 MB"
        )
    }))
}
