//! The cases.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::adviser::{Adviser, Times};
use crate::client::{Client, HOST, Route, config};
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

const JOB: &str = "5c0e7a21d94b36f8";

pub fn run(case: &str, trouble: bool, record: &Arc<Record>) -> Verdict {
    if !is_built() {
        return Verdict::Void("target/release/gentianlaned isn't built".to_owned());
    }
    let play = match case {
        "gang" => gang,
        "advice" => advice,
        "places" => places,
        "percent" => percent,
        "forgotten" => forgotten,
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

/// A worker crashes and starts again under its id while its answer to a `hold` is on its
/// way, and a job comes meanwhile.
fn forgotten(scene: &mut Scene, trouble: bool) -> Verdict {
    // Best fit prefers the smaller one.
    scene.add_worker("catalog", &["a", "r1-1"], (8_000, 16_384, 0));
    for rack in 2..=8 {
        scene.add_worker("catalog", &["a", &format!("r1-{rack}")], CATALOG);
    }
    check!(scene.configure(1, &[Route::new("r-price", "/price/", "catalog", 4)]));
    seconds(3);
    let job = || Job {
        count: 4,
        gang: false,
        course: Box::new(|_, _| Course::Done(Duration::from_millis(100))),
    };
    let steps = "{\"count\":4,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":100}";
    check!(scene.submit("/price/", "00000000000000a1", job(), steps));
    seconds(3);
    let worker = Arc::clone(&scene.workers[0]);
    let limit = scene.record.now() + Duration::from_secs(10);
    loop {
        let waits = worker.holding_since().map(|since| since.elapsed());
        if waits.is_some_and(|waits| (50..150).contains(&waits.as_millis())) {
            break;
        }
        if scene.record.now() > limit {
            return Verdict::Void("no hold was waiting".to_owned());
        }
        thread::sleep(Duration::from_millis(5));
    }
    if trouble {
        worker.crash_after_answer(Duration::from_millis(600));
        thread::sleep(Duration::from_millis(200));
        worker.be_quiet(Duration::from_millis(800));
        worker.restart();
        thread::sleep(Duration::from_millis(100));
    }
    check!(scene.submit("/price/", "00000000000000b2", job(), steps));
    seconds(15);
    let events = scene.fleet.events();
    let noted = scene.fleet.noted();
    let is_noted = |event: &Event| noted.contains(&(event.task.clone(), event.run));
    let done = events.iter().filter(|it| it.kind == "done" && is_noted(it));
    let again = done.filter(|end| {
        let mut starts = events.iter().filter(|it| it.kind == "start");
        starts.any(|start| start.task == end.task && start.at > end.at)
    });
    let again: Vec<String> = again
        .map(|end| format!("{} run={}", end.task, end.run))
        .collect();
    let text =
        format!("started again after an end `done` that was taken note of: {again:?}");
    match again.is_empty() {
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    }
}

/// Both workers run a task of forty minutes, and a short job comes.
fn percent(scene: &mut Scene, trouble: bool) -> Verdict {
    for rack in ["r1-1", "r1-2"] {
        scene.add_worker("catalog", &["a", rack], CATALOG);
    }
    check!(scene.configure(1, &[Route::new("r-batch", "/batch/", "catalog", 3)]));
    seconds(2);
    let time = Duration::from_secs(if trouble { 2_400 } else { 20 });
    let long = Job {
        count: 2,
        gang: false,
        course: Box::new(move |_, _| Course::Done(time)),
    };
    let estimate = time.as_millis();
    let steps = format!(
        "{{\"count\":2,\"cpu\":2000,\"mem_mb\":512,\"estimated_ms\":{estimate},\
         \"anti_affinity\":1}}"
    );
    check!(scene.submit("/batch/", JOB, long, &steps));
    // The first percent takes 24 s.
    seconds(28);
    let short = Job {
        count: 1,
        gang: false,
        course: Box::new(|_, _| Course::Done(Duration::from_secs(1))),
    };
    let id = "00000000000000b2";
    let steps = "{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":1000}";
    check!(scene.submit("/batch/", id, short, steps));
    let submitted = scene.record.now();
    seconds(45);
    let start = scene.events_of(&format!("{id}.0.0.0")).into_iter().next();
    let waited = start.map(|start| start.at.saturating_sub(submitted));
    let text = format!(
        "the short task, for which 14 of 16 cores are free on both workers, has waited for \
         {waited:?} until its start"
    );
    match waited {
        Some(waited) if waited < FINISH + IDLE => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}

/// A config has two routes of different services at the same host, written differently,
/// and prefix.
fn places(scene: &mut Scene, trouble: bool) -> Verdict {
    scene.add_worker("catalog", &["a", "r1-1"], CATALOG);
    scene.add_worker("imaging", &["a", "r2-1"], IMAGING);
    let first = Route::new("r-price", "/price/", "catalog", 4);
    check!(scene.configure(1, &[first.clone()]));
    seconds(3);
    let second = Route {
        host: HOST.to_uppercase(),
        ..Route::new(
            "r-photo",
            if trouble { "/price/" } else { "/photo/" },
            "imaging",
            4,
        )
    };
    let body = config(2, &[first, second], &["catalog", "imaging"]);
    let acknowledged = scene
        .client
        .replace_config(&body, 0, Duration::from_secs(3));
    scene
        .record
        .note(format!("operator: config 2 acknowledged: {acknowledged}"));
    seconds(3);
    let job = Job {
        count: 1,
        gang: false,
        course: Box::new(|_, _| Course::Done(Duration::from_secs(1))),
    };
    let steps = "{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":1000}";
    check!(scene.submit("/price/", JOB, job, steps));
    seconds(3);
    let on_imaging = scene.workers[1].has_run();
    let text = format!(
        "config 2 acknowledged: {acknowledged}; the job of the first route's queue was run \
         by the second route's service: {on_imaging}"
    );
    match trouble && acknowledged || on_imaging {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}

/// Sixteen services run one task on each worker, one worker is gone for good, and a job
/// comes to a queue with `recommendation`, as theirs has.
fn advice(scene: &mut Scene, trouble: bool) -> Verdict {
    let adviser = Adviser::start(&scene.record, scene.system.adviser_address());
    let Ok(adviser) = adviser else {
        return Verdict::Void("the adviser can't listen".to_owned());
    };
    for rack in 1..=8 {
        scene.add_worker("catalog", &["a", &format!("r1-{rack}")], CATALOG);
    }
    // The figures of the example in PROTOCOL.md.
    let slow = Times {
        decision_ms: 560,
        each_ms: 8,
        validity_ms: 1_500,
    };
    let fast = Times {
        decision_ms: 19,
        each_ms: 0,
        validity_ms: 1_500,
    };
    let watch = Route {
        advice: Some(slow),
        ..Route::new("r-watch", "/watch/", "catalog", 4)
    };
    let price = Route {
        advice: Some(fast),
        ..Route::new("r-price", "/price/", "catalog", 4)
    };
    check!(scene.configure(1, &[watch, price]));
    seconds(3);
    for service in 0..16 {
        let id = format!("{:016x}", 0xc000 + service);
        adviser.add_job(&id, slow);
        let job = Job {
            count: 8,
            gang: false,
            course: Box::new(|_, _| Course::Lasts),
        };
        let steps = "{\"count\":8,\"cpu\":300,\"mem_mb\":128,\"estimated_ms\":600,\
                     \"anti_affinity\":1,\"long_running\":true}";
        check!(scene.submit("/watch/", &id, job, steps));
    }
    seconds(10);
    let running = scene.fleet.events().len();
    if running < 128 {
        return Verdict::Void(format!("only {running} of 128 tasks have started"));
    }
    if trouble {
        scene.workers[7].crash();
    }
    seconds(15);
    let id = "00000000000000b2";
    adviser.add_job(id, fast);
    let job = Job {
        count: 1,
        gang: false,
        course: Box::new(|_, _| Course::Done(Duration::from_secs(1))),
    };
    let steps = "{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimated_ms\":1000}";
    check!(scene.submit("/price/", id, job, steps));
    let submitted = scene.record.now();
    seconds(45);
    let start = scene.events_of(&format!("{id}.0.0.0")).into_iter().next();
    let waited = start.map(|start| start.at.saturating_sub(submitted));
    let state = scene.client.state("/price/", id);
    let text = format!(
        "the job's task has waited for {waited:?} until its start, with 11 of 16 cores free on each of \
         seven workers; the adviser was called {} times about it; after 45 s the job is \
         shown as {state:?}",
        adviser.calls(id)
    );
    match waited {
        Some(waited) if waited < FINISH + IDLE => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}
