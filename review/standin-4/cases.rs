//! The cases.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{Client, Route, config};
use crate::record::Record;
use crate::system::{System, is_built};
use crate::worker::{Course, Event, Fleet, Job, Worker};

/// What a case has found.
pub enum Verdict {
    Broken(String),
    Held(String),
    /// The case couldn't be played as meant.
    Void(String),
}

/// The processes, the workers and the clients of one test.
struct Scene {
    record: Arc<Record>,
    system: System,
    fleet: Arc<Fleet>,
    client: Client,
    workers: Vec<Arc<Worker>>,
}

const CATALOG: (u64, u64, u64) = (16_000, 32_768, 0);
const IMAGING: (u64, u64, u64) = (64_000, 131_072, 8);

/// `finish_s`: how long after the end of the traffic jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);
/// For how long nothing may run while a task's turn has come.
const IDLE: Duration = Duration::from_secs(3);
/// From when on, after its last run, that holds for a task that lasts.
const LASTING: Duration = Duration::from_secs(6);

const JOB: &str = "5c0e7a21d94b36f8";

pub fn run(case: &str, trouble: bool, record: &Arc<Record>) -> Verdict {
    if !is_built() {
        return Verdict::Void("target/release/gentianlaned isn't built".to_owned());
    }
    let play = match case {
        "lasting" => lasting,
        "gang" => gang,
        "renamed" => renamed,
        "crashes" => crashes,
        "reserved" => reserved,
        "late" => late,
        "probe" => probe,
        "dark" => dark,
        _ => return Verdict::Void("no such case".to_owned()),
    };
    let mut scene = match Scene::begin(record) {
        Ok(scene) => scene,
        Err(why) => return Verdict::Void(why),
    };
    let verdict = play(&mut scene, trouble);
    scene.fleet.end();
    let ended = scene.system.ended();
    match ended.is_empty() {
        true => verdict,
        false => Verdict::Void(format!("processes ended by themselves: {ended:?}")),
    }
}

fn seconds(seconds: u64) {
    thread::sleep(Duration::from_secs(seconds));
}

impl Scene {
    fn begin(record: &Arc<Record>) -> Result<Self, String> {
        let system = System::start(record).map_err(|error| error.to_string())?;
        if !system.wait_ready(Duration::from_secs(20)) {
            return Err("the entries weren't ready".to_owned());
        }
        record.note("entries are ready");
        let client = Client {
            record: Arc::clone(record),
            fronts: system.fronts(),
            controls: system.controls(),
        };
        Ok(Self {
            record: Arc::clone(record),
            fleet: Fleet::new(Arc::clone(record)),
            system,
            client,
            workers: Vec::new(),
        })
    }

    fn add_worker(&mut self, pool: &str, labels: &[&str], capacity: (u64, u64, u64)) {
        let number = self.workers.len() as u8 + 1;
        let address = self.system.worker_address(number);
        let id = format!("i-{number}");
        let controls = self.system.controls();
        let worker =
            Worker::start(&self.fleet, &id, pool, address, labels, capacity, &controls);
        self.workers.push(worker);
    }

    /// Puts the first config into force.
    fn configure(&self, version: u64, routes: &[Route]) -> Result<(), Verdict> {
        let body = config(version, routes, &["catalog", "imaging"]);
        let done = self
            .client
            .replace_config(&body, 0, Duration::from_secs(15));
        self.record
            .note(format!("operator: config {version} acknowledged: {done}"));
        let missing = || Verdict::Void("the config wasn't acknowledged".to_owned());
        done.then_some(()).ok_or_else(missing)
    }

    fn submit(
        &self,
        prefix: &str,
        id: &str,
        job: Job,
        steps: &str,
    ) -> Result<(), Verdict> {
        self.fleet.add_job(id, job);
        let body = format!("{{\"task_spec\":\"work\",\"steps\":[{steps}]}}");
        let accepted = self.client.submit(prefix, id, &body);
        let refused = || Verdict::Void(format!("job {id} wasn't accepted"));
        accepted.then_some(()).ok_or_else(refused)
    }

    /// The events of a task.
    fn events_of(&self, task: &str) -> Vec<Event> {
        let events = self.fleet.events().into_iter();
        events.filter(|event| event.task == task).collect()
    }

    /// How long no run of a task has been active by now; zero while one is, none if it
    /// has never run.
    fn idle_for(&self, task: &str) -> Option<Duration> {
        let last = self.events_of(task).into_iter().next_back()?;
        Some(match last.kind {
            "start" => Duration::ZERO,
            _ => self.record.now().saturating_sub(last.at),
        })
    }

    /// Waits until a task has ended so often in one of these ways.
    fn wait_ends(&self, task: &str, kind: &str, count: usize, limit: Duration) -> bool {
        let until = self.record.now() + limit;
        while self.record.now() < until {
            let events = self.events_of(task);
            if events.iter().filter(|event| event.kind == kind).count() >= count {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

/// Returns early with the verdict of a step that failed.
macro_rules! check {
    ($step:expr) => {
        if let Err(verdict) = $step {
            return verdict;
        }
    };
}

/// One task of a lasting step with `anti_affinity` fails on two of three workers.
fn lasting(scene: &mut Scene, trouble: bool) -> Verdict {
    for rack in ["r1-1", "r1-2", "r1-3"] {
        scene.add_worker("catalog", &["a", rack], CATALOG);
    }
    check!(scene.configure(1, &[Route::new("r-watch", "/watch/", "catalog", 4)]));
    seconds(3);
    let job = Job {
        count: 2,
        gang: false,
        course: Box::new(move |index, before| match (index, before) {
            (0, 0 | 1) if trouble => Course::Failed(Duration::from_secs(4)),
            _ => Course::Lasts,
        }),
    };
    let steps = "{\"count\":2,\"cpu\":1000,\"mem_mb\":512,\"estimated_ms\":600,\
                 \"anti_affinity\":1,\"long_running\":true}";
    check!(scene.submit("/watch/", JOB, job, steps));
    let task = format!("{JOB}.0.0.0");
    if trouble && !scene.wait_ends(&task, "failed", 2, Duration::from_secs(40)) {
        return Verdict::Void("the task didn't fail twice".to_owned());
    }
    seconds(40);
    let state = scene.client.state("/watch/", JOB);
    let idle = scene.idle_for(&task);
    let other = scene.idle_for(&format!("{JOB}.0.0.1"));
    let text = format!(
        "task {task}: no run for {idle:?} (the other one: {other:?}), two of three \
         workers have nothing to run; the job is shown as {state:?}"
    );
    match idle {
        Some(idle) if idle <= LASTING + IDLE => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}

/// A gang fails once on the only worker that has its label.
fn gang(scene: &mut Scene, trouble: bool) -> Verdict {
    scene.add_worker("imaging", &["big", "r2-1"], IMAGING);
    scene.add_worker("imaging", &["a", "r2-2"], IMAGING);
    check!(scene.configure(1, &[Route::new("r-photo", "/photo/", "imaging", 4)]));
    seconds(3);
    let job = Job {
        count: 2,
        gang: true,
        course: Box::new(move |index, before| match (index, before) {
            (0, 0) if trouble => Course::Failed(Duration::from_secs(2)),
            _ => Course::Done(Duration::from_secs(3)),
        }),
    };
    let steps = "{\"count\":2,\"cpu\":8000,\"mem_mb\":4096,\"gpu\":2,\"estimated_ms\":3000,\
                 \"gang\":true,\"required_label\":\"big\"}";
    check!(scene.submit("/photo/", JOB, job, steps));
    let submitted = scene.record.now();
    let task = format!("{JOB}.0.0.0");
    if trouble && !scene.wait_ends(&task, "failed", 1, Duration::from_secs(12)) {
        return Verdict::Void("the gang didn't fail".to_owned());
    }
    let mut idle = Duration::ZERO;
    let end = submitted + FINISH + Duration::from_secs(26);
    while scene.record.now() < end {
        thread::sleep(Duration::from_millis(100));
        idle = scene.idle_for(&task).unwrap_or_default().max(idle);
    }
    let state = scene.client.state("/photo/", JOB);
    let text = format!(
        "gang {JOB}.0.0 on its only worker, which has room for it twice: no run for \
         {idle:?}; the job is shown as {state:?}"
    );
    match state.as_deref() {
        Some("completed") => Verdict::Held(text),
        _ if idle >= FINISH + IDLE => Verdict::Broken(text),
        _ => Verdict::Held(text),
    }
}

/// The operator replaces a queue by another one at the same place, again and again, while
/// a consumer submits jobs.
fn renamed(scene: &mut Scene, trouble: bool) -> Verdict {
    for rack in ["r1-1", "r1-2"] {
        scene.add_worker("catalog", &["a", rack], CATALOG);
    }
    let routes = |version: u64| {
        let name = format!("r-price-{}", if trouble { version } else { 0 });
        let mut routes = vec![Route::new(&name, "/price/", "catalog", 3)];
        for idle in 0..8 {
            let (name, prefix) = (format!("r-idle-{idle}"), format!("/idle-{idle}/"));
            routes.push(Route::new(&name, &prefix, "catalog", 3));
        }
        routes
    };
    check!(scene.configure(1, &routes(1)));
    seconds(3);
    let mut accepted = Vec::new();
    for round in 0..60u64 {
        let version = 2 + round;
        let body = config(version, &routes(version), &["catalog", "imaging"]);
        let client = scene.client.clone();
        let operator = thread::spawn(move || {
            let done =
                client.replace_config(&body, round as usize, Duration::from_secs(5));
            client
                .record
                .note(format!("operator: config {version} acknowledged: {done}"));
        });
        // Any time while the config is on its way or being stored.
        thread::sleep(Duration::from_micros(round * 50));
        let id = format!("{:016x}", 0xa000 + round);
        let job = Job {
            count: 1,
            gang: false,
            course: Box::new(|_, _| Course::Done(Duration::from_millis(20))),
        };
        scene.fleet.add_job(&id, job);
        let steps = "{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":20}";
        let body = format!("{{\"task_spec\":\"work\",\"steps\":[{steps}]}}");
        let path = format!("/price/{id}");
        let (status, _) = scene.client.send(round as usize, "POST", &path, &body);
        if status == 200 {
            accepted.push(id);
        }
        let _ = operator.join();
        thread::sleep(Duration::from_millis(330));
    }
    let ended = scene.record.now();
    thread::sleep(FINISH + IDLE);
    let events = scene.fleet.events();
    let has_run = |id: &String| {
        events
            .iter()
            .any(|event| event.task.starts_with(id.as_str()))
    };
    let lost: Vec<&String> = accepted.iter().filter(|id| !has_run(id)).collect();
    let states: Vec<String> = lost
        .iter()
        .take(5)
        .map(|id| format!("{id} {:?}", scene.client.state("/price/", id)))
        .collect();
    let text = format!(
        "{} of {} accepted jobs haven't run {:?} after the end of the traffic: {states:?}",
        lost.len(),
        accepted.len(),
        scene.record.now() - ended
    );
    match lost.is_empty() {
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    }
}

/// Two workers crash one after the other, each while it runs a service's only task.
fn crashes(scene: &mut Scene, trouble: bool) -> Verdict {
    for rack in 1..=8 {
        scene.add_worker("catalog", &["a", &format!("r1-{rack}")], CATALOG);
    }
    check!(scene.configure(1, &[Route::new("r-watch", "/watch/", "catalog", 4)]));
    seconds(3);
    let job = Job {
        count: 1,
        gang: false,
        course: Box::new(|_, _| Course::Lasts),
    };
    let steps = "{\"count\":1,\"cpu\":1000,\"mem_mb\":512,\"estimated_ms\":600,\
                 \"long_running\":true}";
    check!(scene.submit("/watch/", JOB, job, steps));
    let task = format!("{JOB}.0.0.0");
    for number in 0..2 {
        // Until the task runs, and for ten seconds more.
        let limit = scene.record.now() + Duration::from_secs(20);
        let host = loop {
            let host = scene.workers.iter().find(|it| it.running().contains(&task));
            if host.is_some() || scene.record.now() > limit {
                break host;
            }
            thread::sleep(Duration::from_millis(20));
        };
        let Some(host) = host.cloned() else {
            let state = scene.client.state("/watch/", JOB);
            let text = format!("the task doesn't run after {number} crashes: {state:?}");
            return Verdict::Broken(text);
        };
        seconds(10);
        if trouble {
            host.crash();
            seconds(3);
            host.restart();
        }
    }
    seconds(12);
    let state = scene.client.state("/watch/", JOB);
    let idle = scene.idle_for(&task);
    let failed = scene
        .events_of(&task)
        .iter()
        .filter(|it| it.kind == "failed")
        .count();
    let text = format!(
        "the service's job is shown as {state:?}, with {failed} ends `failed`; no run for \
         {idle:?}"
    );
    match state.as_deref() {
        Some("running" | "pending") => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}

/// A service asks for more tasks than may run, and other jobs come.
fn reserved(scene: &mut Scene, trouble: bool) -> Verdict {
    for rack in 1..=7 {
        scene.add_worker("catalog", &["a", &format!("r1-{rack}")], CATALOG);
    }
    // The smallest one; the service's task takes more than half of it.
    scene.add_worker("catalog", &["a", "r1-8"], (8_000, 16_384, 0));
    let watch = Route::new("r-watch", "/watch/", "catalog", 4);
    let price = Route::new("r-price", "/price/", "catalog", 4);
    check!(scene.configure(1, &[watch, price]));
    seconds(3);
    let count = if trouble { 24 } else { 8 };
    let service = Job {
        count,
        gang: false,
        course: Box::new(|_, _| Course::Lasts),
    };
    let steps = format!(
        "{{\"count\":{count},\"cpu\":5000,\"mem_mb\":512,\"estimated_ms\":600,\
         \"anti_affinity\":1,\"long_running\":true}}"
    );
    check!(scene.submit("/watch/", JOB, service, &steps));
    seconds(5);
    let running = scene.fleet.events().len();
    if running != 8 {
        return Verdict::Void(format!("{running} tasks of the service have started"));
    }
    let ids: Vec<String> = (0..5).map(|job| format!("{:016x}", 0xb0 + job)).collect();
    for id in &ids {
        let job = Job {
            count: 1,
            gang: false,
            course: Box::new(|_, _| Course::Done(Duration::from_secs(1))),
        };
        let steps = "{\"count\":1,\"cpu\":4000,\"mem_mb\":256,\"estimated_ms\":1000}";
        check!(scene.submit("/price/", id, job, steps));
    }
    let submitted = scene.record.now();
    seconds(60);
    let mut late = Vec::new();
    for id in &ids {
        let start = scene.events_of(&format!("{id}.0.0.0")).into_iter().next();
        let waited = start.map(|start| start.at.saturating_sub(submitted));
        if waited.is_none_or(|waited| waited >= FINISH + IDLE) {
            late.push((id.as_str(), waited, scene.client.state("/price/", id)));
        }
    }
    let text = format!(
        "{} of {} jobs haven't started within {:?}, with 11 of 16 cores free on each of \
         seven workers: {late:?}",
        late.len(),
        ids.len(),
        FINISH + IDLE
    );
    match late.is_empty() {
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    }
}

/// A worker leaves a start unanswered, drains, ends and starts again under its id, and
/// carries the start out before its first report.
fn late(scene: &mut Scene, trouble: bool) -> Verdict {
    // Best fit prefers the smaller one.
    scene.add_worker("catalog", &["a", "r1-1"], (8_000, 16_384, 0));
    scene.add_worker("catalog", &["a", "r1-2"], CATALOG);
    check!(scene.configure(1, &[Route::new("r-price", "/price/", "catalog", 4)]));
    seconds(4);
    let worker = Arc::clone(&scene.workers[0]);
    if trouble {
        worker.delay_starts();
    }
    let job = Job {
        count: 1,
        gang: false,
        course: Box::new(|_, _| Course::Done(Duration::from_secs(15))),
    };
    let steps = "{\"count\":1,\"cpu\":1000,\"mem_mb\":512,\"estimated_ms\":15000}";
    check!(scene.submit("/price/", JOB, job, steps));
    thread::sleep(Duration::from_millis(200));
    if !worker.drain() {
        return Verdict::Void("the drain wasn't acknowledged".to_owned());
    }
    thread::sleep(Duration::from_millis(2_200));
    worker.deregister();
    worker.crash();
    thread::sleep(Duration::from_millis(500));
    worker.be_quiet(Duration::from_millis(700));
    worker.restart();
    worker.carry_out_delayed();
    seconds(20);
    let task = format!("{JOB}.0.0.0");
    let mut active = 0;
    let mut most = 0;
    for event in scene.events_of(&task) {
        match event.kind {
            "start" => active += 1,
            _ => active -= 1,
        }
        most = active.max(most);
    }
    let text = format!("at most {most} runs of {task} were active at a time");
    match most {
        0 | 1 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}

/// A task fails on the only worker that has its label, a service of one task comes to that
/// worker next, and then another job.
fn probe(scene: &mut Scene, trouble: bool) -> Verdict {
    scene.add_worker("catalog", &["b", "r1-1"], CATALOG);
    scene.add_worker("catalog", &["a", "r1-2"], CATALOG);
    check!(scene.configure(1, &[Route::new("r-price", "/price/", "catalog", 2)]));
    seconds(3);
    let step = |more: &str| {
        format!(
            "{{\"count\":1,\"cpu\":1000,\"mem_mb\":512,\"estimated_ms\":500,\
             \"required_label\":\"b\"{more}}}"
        )
    };
    let job = |course: Course| Job {
        count: 1,
        gang: false,
        course: Box::new(move |_, _| course),
    };
    let half = Duration::from_millis(500);
    let first = if trouble {
        Course::Failed(half)
    } else {
        Course::Done(half)
    };
    check!(scene.submit("/price/", "00000000000000a1", job(first), &step("")));
    seconds(5);
    let lasting = step(",\"long_running\":true");
    check!(scene.submit("/price/", JOB, job(Course::Lasts), &lasting));
    seconds(3);
    if scene.idle_for(&format!("{JOB}.0.0.0")) != Some(Duration::ZERO) {
        return Verdict::Void("the service doesn't run".to_owned());
    }
    let id = "00000000000000b2";
    check!(scene.submit("/price/", id, job(Course::Done(half)), &step("")));
    let submitted = scene.record.now();
    seconds(50);
    let start = scene.events_of(&format!("{id}.0.0.0")).into_iter().next();
    let waited = start.map(|start| start.at.saturating_sub(submitted));
    let state = scene.client.state("/price/", id);
    let text = format!(
        "the job's task, for which 15 of 16 cores are free, has waited for {waited:?} until \
         its start; after 50 s the job is shown as {state:?}"
    );
    match waited {
        Some(waited) if waited < FINISH + IDLE => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}

/// A worker goes dark for good, and a job comes right then.
fn dark(scene: &mut Scene, trouble: bool) -> Verdict {
    // Best fit prefers the smaller one.
    scene.add_worker("catalog", &["a", "r1-1"], (8_000, 16_384, 0));
    for rack in 2..=8 {
        scene.add_worker("catalog", &["a", &format!("r1-{rack}")], CATALOG);
    }
    check!(scene.configure(1, &[Route::new("r-price", "/price/", "catalog", 4)]));
    seconds(5);
    if trouble {
        scene.workers[0].go_dark();
    }
    let job = Job {
        count: 1,
        gang: false,
        course: Box::new(|_, _| Course::Done(Duration::from_secs(1))),
    };
    let steps = "{\"count\":1,\"cpu\":1000,\"mem_mb\":512,\"estimated_ms\":1000}";
    check!(scene.submit("/price/", JOB, job, steps));
    let submitted = scene.record.now();
    seconds(40);
    let start = scene.events_of(&format!("{JOB}.0.0.0")).into_iter().next();
    let waited = start.map(|start| start.at.saturating_sub(submitted));
    let text = format!("the task has waited for {waited:?} until its start");
    match waited {
        Some(waited) if waited < FINISH + IDLE => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}
