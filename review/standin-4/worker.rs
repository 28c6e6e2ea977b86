//! Workers as the platform's pages describe them, and the tasks that they run.

use std::collections::HashMap;
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::adviser::unix_ms;
use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::system::HOLD_MAX_MS;

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(10);
/// How long a stop takes; the pages allow `stop_ms`.
const STOP_TIME: Duration = Duration::from_millis(50);
const GANG_MS: Duration = Duration::from_millis(3_000);
/// From when on a task that lasts is at work.
const STARTUP: Duration = Duration::from_millis(300);

/// How a run of a task goes by itself.
#[derive(Debug, Clone, Copy)]
pub enum Course {
    /// It succeeds after this time.
    Done(Duration),
    /// It fails after this time, by its own fault.
    Failed(Duration),
    /// It runs until it is stopped.
    Lasts,
}

/// The tasks of a job's only step.
pub struct Job {
    pub count: u32,
    pub gang: bool,
    /// The course of a run, by the task's index and the number of its runs before.
    pub course: Box<dyn Fn(u32, u32) -> Course + Send + Sync>,
}

/// Something that has happened to a run.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: Duration,
    pub task: String,
    pub run: u64,
    /// `start`, or how it ended.
    pub kind: &'static str,
}

#[derive(Default)]
struct Gang {
    present: u32,
    broken: bool,
}

/// What the workers share: the jobs and their history.
pub struct Fleet {
    pub record: Arc<Record>,
    jobs: Mutex<HashMap<String, Job>>,
    starts: Mutex<HashMap<String, u32>>,
    gangs: Mutex<HashMap<(String, u64), Gang>>,
    events: Mutex<Vec<Event>>,
    /// The runs whose ends `last_seen` has reached.
    noted: Mutex<Vec<(String, u64)>>,
    over: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// The step's name and the index in it, of a task's name.
fn split_task(task: &str) -> (String, u32) {
    let (stage, index) = task.rsplit_once('.').unwrap_or((task, "0"));
    (stage.to_owned(), index.parse().unwrap_or_default())
}

impl Fleet {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            record,
            jobs: Mutex::default(),
            starts: Mutex::default(),
            gangs: Mutex::default(),
            events: Mutex::default(),
            noted: Mutex::default(),
            over: AtomicBool::new(false),
        })
    }

    /// Makes a job's tasks known, before it is submitted.
    pub fn add_job(&self, id: &str, job: Job) {
        lock(&self.jobs).insert(id.to_owned(), job);
    }

    pub fn events(&self) -> Vec<Event> {
        lock(&self.events).clone()
    }

    /// The runs whose ends were taken note of.
    pub fn noted(&self) -> Vec<(String, u64)> {
        lock(&self.noted).clone()
    }

    /// Ends all threads of the workers.
    pub fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn note(&self, worker: &str, task: &str, run: u64, kind: &'static str) {
        self.record
            .note(format!("{worker}: {kind} {task} run={run}"));
        lock(&self.events).push(Event {
            at: self.record.now(),
            task: task.to_owned(),
            run,
            kind,
        });
    }

    /// The course of a task's next run, and whether it is a gang's and of how many.
    fn begin(&self, task: &str, run: u64) -> (Course, Option<u32>) {
        let (stage, index) = split_task(task);
        let mut starts = lock(&self.starts);
        let before = starts.entry(task.to_owned()).or_default();
        let jobs = lock(&self.jobs);
        let Some(job) = jobs.get(task.split('.').next().unwrap_or_default()) else {
            return (Course::Lasts, None);
        };
        let course = (job.course)(index, *before);
        *before += 1;
        if job.gang {
            lock(&self.gangs).entry((stage, run)).or_default().present += 1;
        }
        (course, job.gang.then_some(job.count))
    }
}

struct Run {
    task: String,
    number: u64,
    started: Instant,
    course: Course,
    gang: Option<u32>,
    /// When it began to work; a gang's when all members were present.
    working: Option<Instant>,
    stops_at: Option<Instant>,
}

struct State {
    /// Counts the lives; zero while the worker is down.
    life: u64,
    lives: u64,
    born: u64,
    clock: Instant,
    fence: u64,
    deadline: u64,
    sequence: u64,
    runs: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    closed: HashMap<String, u64>,
    /// The open connections, by number.
    streams: Vec<(u64, TcpStream)>,
    connections: u64,
    /// The connection on which a `hold` waits, and since when.
    holding: Option<(u64, Instant)>,
    /// The answer to that `hold` which is still on its way as the process crashes, and when
    /// it arrives.
    on_its_way: Option<(String, Instant)>,
    /// No report is sent before.
    quiet_until: Instant,
}

/// One worker: its name stays, and each life starts anew.
pub struct Worker {
    pub id: String,
    pub pool: String,
    pub address: SocketAddr,
    pub labels: Vec<String>,
    /// Thousandths of a core, MiB and GPUs.
    pub capacity: (u64, u64, u64),
    controls: Vec<SocketAddr>,
    fleet: Arc<Fleet>,
    state: Mutex<State>,
    changed: Condvar,
}

impl Worker {
    pub fn start(
        fleet: &Arc<Fleet>,
        id: &str,
        pool: &str,
        address: SocketAddr,
        labels: &[&str],
        capacity: (u64, u64, u64),
        controls: &[SocketAddr],
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            id: id.to_owned(),
            pool: pool.to_owned(),
            address,
            labels: labels.iter().map(|&label| label.to_owned()).collect(),
            capacity,
            controls: controls.to_vec(),
            fleet: Arc::clone(fleet),
            state: Mutex::new(State {
                life: 0,
                lives: 0,
                born: 0,
                clock: Instant::now(),
                fence: 0,
                deadline: 0,
                sequence: 0,
                runs: Vec::new(),
                ended: Vec::new(),
                last_end: 0,
                closed: HashMap::new(),
                streams: Vec::new(),
                connections: 0,
                holding: None,
                on_its_way: None,
                quiet_until: Instant::now(),
            }),
            changed: Condvar::new(),
        });
        worker.restart();
        for work in [Self::listen, Self::tick_all, Self::report_all] {
            let worker = Arc::clone(&worker);
            thread::spawn(move || work(&worker));
        }
        worker
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Begins a new life, which knows nothing of the earlier ones.
    pub fn restart(&self) {
        let mut state = self.lock();
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        state.lives += 1;
        state.life = state.lives;
        state.born = now.unwrap_or_default().as_millis() as u64;
        state.clock = Instant::now();
        (state.fence, state.deadline, state.sequence) = (0, 0, 0);
        state.last_end = 0;
        state.ended.clear();
        state.closed.clear();
        let (id, born) = (&self.id, state.born);
        self.fleet.record.note(format!("{id}: up, born={born}"));
    }

    /// Ends the process at once, with all that runs.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.life = 0;
        self.fleet.record.note(format!("{}: crash", self.id));
        for run in std::mem::take(&mut state.runs) {
            self.fleet.note(&self.id, &run.task, run.number, "crashed");
        }
        for (_, stream) in std::mem::take(&mut state.streams) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// Since when a `hold` waits here, if one does.
    pub fn holding_since(&self) -> Option<Instant> {
        self.lock().holding.map(|(_, since)| since)
    }

    /// Crashes right after it has answered the `hold` that waits; the answer arrives after a
    /// time.
    pub fn crash_after_answer(&self, time: Duration) {
        let mut state = self.lock();
        let lists = state.lists();
        let text = format!("{}: answers a hold, arrives in {time:?}: {lists}", self.id);
        self.fleet.record.note(text);
        if let Some((connection, _)) = state.holding {
            state.streams.retain(|(number, _)| *number != connection);
            state.on_its_way = Some((lists, Instant::now() + time));
        }
        drop(state);
        self.crash();
    }

    /// Whether anything has run here.
    pub fn has_run(&self) -> bool {
        let state = self.lock();
        state.last_end > 0 || !state.runs.is_empty()
    }

    fn listen(worker: &Arc<Self>) {
        let mut listener: Option<TcpListener> = None;
        while !worker.fleet.is_over() {
            thread::sleep(Duration::from_millis(2));
            let life = worker.lock().life;
            if life == 0 {
                listener = None;
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(worker.address).ok();
                if let Some(listener) = &listener {
                    let _ = listener.set_nonblocking(true);
                }
            }
            let accepted = listener.as_ref().map(TcpListener::accept);
            let Some(Ok((stream, _))) = accepted else {
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let connection = {
                let mut state = worker.lock();
                state.connections += 1;
                let connection = state.connections;
                if let Ok(clone) = stream.try_clone() {
                    state.streams.push((connection, clone));
                }
                connection
            };
            let worker = Arc::clone(worker);
            thread::spawn(move || worker.serve(stream, life, connection));
        }
    }

    fn serve(&self, mut stream: TcpStream, life: u64, connection: u64) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(clone);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if self.lock().life != life {
                return;
            }
            let is_hold = request.first.contains("/v1/hold");
            if is_hold {
                self.lock().holding = Some((connection, Instant::now()));
            }
            let (status, body) = self.handle(&request, life);
            let is_holding = |(number, _): &mut (u64, Instant)| *number == connection;
            let held = self.lock().holding.take_if(is_holding);
            if held.is_some() && self.lock().life != life {
                let Some((lists, at)) = self.lock().on_its_way.take() else {
                    return;
                };
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let _ = http::respond(&mut stream, 200, &lists);
                let text = format!("{}: the answer to the hold has arrived", self.id);
                return self.fleet.record.note(text);
            }
            if self.lock().life != life
                || http::respond(&mut stream, status, &body).is_err()
            {
                return;
            }
        }
    }

    /// Sends no report for a time.
    pub fn be_quiet(&self, time: Duration) {
        self.lock().quiet_until = Instant::now() + time;
    }

    fn handle(&self, request: &http::Message, life: u64) -> (u16, String) {
        if request.header("target-instance") != Some(self.id.as_str()) {
            return (421, "{}".to_owned());
        }
        let path = request
            .first
            .split(' ')
            .nth(1)
            .unwrap_or_default()
            .to_owned();
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.lock();
        let clock = state.clock.elapsed().as_millis() as u64;
        let answer = format!("{{\"clock_ms\":{clock}}}");
        let refuse = |reason| {
            (
                409,
                format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"),
            )
        };
        let token = body.number("fencing_token").unwrap_or_default();
        if token < state.fence {
            return refuse("fence");
        }
        state.fence = token;
        if let Some(deadline) = body.number("deadline_ms") {
            let deadline = deadline.min(clock + HOLD_MAX_MS);
            state.deadline = state.deadline.max(deadline);
        }
        let task = body.text("task").unwrap_or_default().to_owned();
        let run = body.number("run").unwrap_or_default();
        match path.as_str() {
            "/v1/run-start" => {
                if body.number("deadline_ms").unwrap_or_default() <= clock {
                    return refuse("late");
                }
                let is_same = |other: &Run| other.task == task && other.number == run;
                if state.runs.iter().any(is_same) {
                    return (200, answer);
                }
                let ticket = body.text("ticket").map(str::parse::<u64>);
                if ticket.is_some_and(|until| until.is_ok_and(|until| until < unix_ms()))
                {
                    return refuse("ticket");
                }
                if state.closed.get(&task).is_some_and(|&closed| run <= closed) {
                    return refuse("old");
                }
                let (course, gang) = self.fleet.begin(&task, run);
                self.fleet.note(&self.id, &task, run, "start");
                let now = Instant::now();
                state.runs.push(Run {
                    task,
                    number: run,
                    started: now,
                    course,
                    gang,
                    working: gang.is_none().then_some(now),
                    stops_at: None,
                });
                (200, answer)
            }
            "/v1/run-stop" => {
                let closed = state.closed.entry(task.clone()).or_default();
                *closed = run.max(*closed);
                self.fleet
                    .record
                    .note(format!("{}: stop {task} run={run}", self.id));
                let mut runs = state.runs.iter_mut();
                if let Some(open) = runs.find(|it| it.task == task && it.number == run) {
                    open.stops_at.get_or_insert(Instant::now() + STOP_TIME);
                }
                (200, answer)
            }
            "/v1/pace" => (200, answer),
            "/v1/hold" => {
                let seen = body.number("last_seen").unwrap_or_default();
                for (number, task, run, how) in &state.ended {
                    if *number <= seen {
                        let id = &self.id;
                        self.fleet.record.note(format!(
                            "{id}: end {number} ({how} {task} run={run}) forgotten, last_seen={seen}"
                        ));
                        lock(&self.fleet.noted).push((task.clone(), *run));
                    }
                }
                state.ended.retain(|(number, ..)| *number > seen);
                let wait =
                    Duration::from_millis(body.number("wait_ms").unwrap_or_default());
                let until = Instant::now() + wait;
                while state.ended.is_empty() && state.life == life {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    let waited = self.changed.wait_timeout(state, left);
                    state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
                }
                (200, state.lists())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn tick_all(worker: &Arc<Self>) {
        while !worker.fleet.is_over() {
            thread::sleep(TICK);
            worker.tick();
        }
    }

    /// Ends the runs whose time has come.
    fn tick(&self) {
        let mut state = self.lock();
        if state.life == 0 || state.runs.is_empty() {
            return;
        }
        let lapsed = state.clock.elapsed().as_millis() as u64 >= state.deadline;
        let mut ends = Vec::new();
        for run in &mut state.runs {
            if let Some(how) = self.outcome(run, lapsed) {
                ends.push((run.task.clone(), run.number, how));
            }
        }
        if ends.is_empty() {
            return;
        }
        for (task, number, how) in ends {
            state
                .runs
                .retain(|run| run.task != task || run.number != number);
            state.last_end += 1;
            let end = (state.last_end, task.clone(), number, how);
            state.ended.push(end);
            let closed = state.closed.entry(task.clone()).or_default();
            *closed = number.max(*closed);
            self.fleet.note(&self.id, &task, number, how);
        }
        self.changed.notify_all();
    }

    /// How a run ends now, if it does.
    fn outcome(&self, run: &mut Run, lapsed: bool) -> Option<&'static str> {
        let now = Instant::now();
        if lapsed {
            return Some("lapsed");
        }
        if run.stops_at.is_some_and(|at| at <= now) {
            return Some("stopped");
        }
        if let Some(count) = run.gang {
            let mut gangs = lock(&self.fleet.gangs);
            let (stage, _) = split_task(&run.task);
            let gang = gangs.entry((stage, run.number)).or_default();
            if gang.broken {
                return Some("broken");
            }
            if run.working.is_none() && gang.present >= count {
                run.working = Some(now);
            }
            if run.working.is_none() {
                return (run.started.elapsed() >= GANG_MS).then_some("alone");
            }
            if let Course::Failed(after) = run.course
                && run.working.is_some_and(|since| since.elapsed() >= after)
            {
                gang.broken = true;
                return Some("failed");
            }
        }
        let worked = run.working?.elapsed();
        match run.course {
            Course::Done(after) if worked >= after => Some("done"),
            Course::Failed(after) if worked >= after => Some("failed"),
            Course::Done(_) | Course::Failed(_) | Course::Lasts => None,
        }
    }

    fn report_all(worker: &Arc<Self>) {
        let mut target: Option<SocketAddr> = None;
        let mut next = 0;
        while !worker.fleet.is_over() {
            let Some(body) = worker.report() else {
                target = None;
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            let control = target.unwrap_or(worker.controls[next % worker.controls.len()]);
            let path = format!("/v1/instances/{}/heartbeat", worker.id);
            let limit = Duration::from_secs(1);
            let answer = http::call(control, "POST", &path, "control", "", &body, limit);
            let address = |text: &str| text.parse::<SocketAddr>().ok();
            match answer {
                Ok(answer) if answer.status() == 200 => {
                    let given = Json::parse(&answer.body);
                    let given =
                        given.as_ref().and_then(|body| body.text("heartbeat_addr"));
                    target = given.and_then(address).or(Some(control));
                    worker.pause(HEARTBEAT);
                }
                Ok(answer) if answer.status() == 307 => {
                    let location = answer.header("location").unwrap_or_default();
                    let host = location.trim_start_matches("http://");
                    target = host.split('/').next().and_then(address);
                    thread::sleep(Duration::from_millis(20));
                }
                Ok(_) | Err(_) => {
                    target = None;
                    next += 1;
                    thread::sleep(Duration::from_millis(200));
                }
            }
        }
    }

    /// Waits for as long, or until the life ends.
    fn pause(&self, time: Duration) {
        let life = self.lock().life;
        let until = Instant::now() + time;
        while Instant::now() < until && self.lock().life == life && !self.fleet.is_over()
        {
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// The body of the next liveness report; none while the worker is down.
    fn report(&self) -> Option<String> {
        let mut state = self.lock();
        if state.life == 0 || Instant::now() < state.quiet_until {
            return None;
        }
        state.sequence += 1;
        let (cpu, memory, gpu) = self.capacity;
        let labels: Vec<String> = self
            .labels
            .iter()
            .map(|label| format!("\"{label}\""))
            .collect();
        Some(format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"cairo-a\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{cpu},\
             \"mem_mb\":{memory},\"gpu\":{gpu}}},\"labels\":[{}],\"clock_ms\":{},\
             \"call_seq\":{},\"born\":{}}}",
            self.pool,
            self.address,
            labels.join(","),
            state.clock.elapsed().as_millis(),
            state.sequence,
            state.born,
        ))
    }
}

impl State {
    /// The lists of runs.
    fn lists(&self) -> String {
        let running = self.runs.iter().map(|run| {
            let worked = run.working.map_or(Duration::ZERO, |since| since.elapsed());
            let percent = match run.course {
                Course::Done(time) => worked.as_millis() * 100 / time.as_millis().max(1),
                // It fails half-way.
                Course::Failed(after) if run.gang.is_some() => {
                    worked.as_millis() * 50 / after.as_millis().max(1)
                }
                Course::Failed(_) | Course::Lasts if worked >= STARTUP => 100,
                Course::Failed(_) | Course::Lasts => 0,
            };
            let percent = percent.min(100);
            format!("[\"{}\",{},\"\",{percent},500]", run.task, run.number)
        });
        let running: Vec<String> = running.collect();
        let ended = self.ended.iter().take(500);
        let ended = ended.map(|(number, task, run, how)| {
            format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
        });
        let ended: Vec<String> = ended.collect();
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock.elapsed().as_millis(),
            self.born,
            running.join(","),
            ended.join(",")
        )
    }
}
