//! A server that runs tasks on orders under a lease, as the users' pages say.
//!
//! A task's text says how long it takes: `run MS` ends done, and of `frail MS` the first run
//! of each task ends failed, while the others last. The tasks of `gang COUNT MS` work only
//! once as many of one run are there, and end together.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::fleet::HOST;
use crate::http::{self, Message};
use crate::json::{self, Value};
use crate::record::Record;

/// A run of a gang.
#[derive(Default)]
struct Gang {
    members: usize,
    complete: Option<Instant>,
    broken: bool,
}

/// The runs of gangs, by the step and the run's number.
static GANGS: Mutex<BTreeMap<(String, u64), Gang>> = Mutex::new(BTreeMap::new());

/// How long a member of a gang waits for the others.
const GANG_WAIT: Duration = Duration::from_secs(3);

/// The reading of a new process's steady clock, which starts anew with it.
fn born_clock(id: &str, record: &Record) -> u64 {
    let spread = id.bytes().map(u64::from).sum::<u64>() * 997 % 90_000;
    match record.now() < 3_000 {
        true => 400_000 + spread,
        false => 1_000,
    }
}

fn gang_of(task: &str, run: u64) -> (String, u64) {
    let (step, _) = task.rsplit_once('.').unwrap_or((task, ""));
    (step.to_owned(), run)
}

#[derive(Clone)]
pub struct Setup {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub cores: Vec<SocketAddr>,
    pub beat_ms: u64,
    pub hold_max_ms: u64,
    pub stop_ms: u64,
    /// The rate of its steady clock, in thousandths.
    pub rate: u64,
    /// After what time it reports for the first time.
    pub first_beat_ms: u64,
    /// Whether it starts cut off.
    pub is_cut: bool,
}

struct Run {
    task: String,
    run: u64,
    since: Instant,
    length: Option<Duration>,
    fails: bool,
    in_gang: bool,
    stop_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease: u64,
    runs: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    over: BTreeMap<String, u64>,
}

/// A start or an end of a run, for the check.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: u64,
    pub worker: String,
    pub task: String,
    pub run: u64,
    /// `start`, or how it ended.
    pub what: &'static str,
}

pub struct Worker {
    pub setup: Setup,
    born: u64,
    start: Instant,
    record: Arc<Record>,
    events: Arc<Mutex<Vec<Event>>>,
    state: Mutex<State>,
    changed: Condvar,
    over: AtomicBool,
    pub draining: AtomicBool,
    /// Nothing reaches it or leaves it, while it runs on.
    pub cut: AtomicBool,
    sequence: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
    /// How many of the next starts, on whichever server, are carried out and not answered.
    answers_to_lose: Arc<AtomicU64>,
    /// Where the next start is left that isn't answered, to be carried out late.
    pub late: Mutex<Option<LateStart>>,
    /// The reading of its steady clock at its start.
    clock_start: u64,
    /// When a renewal came last, by the record's clock.
    pub renewed_at: AtomicU64,
}

/// The place of a start that is to be carried out late, shared by all servers: the server's
/// id and the order, once there is one.
pub type LateStart = Arc<Mutex<Option<(String, String)>>>;

impl Worker {
    pub fn start(
        setup: Setup,
        record: &Arc<Record>,
        events: &Arc<Mutex<Vec<Event>>>,
    ) -> Arc<Self> {
        Self::start_losing(setup, record, events, Arc::default())
    }

    /// Starts a server that loses as many answers to starts, together with the others that
    /// share the number.
    pub fn start_losing(
        setup: Setup,
        record: &Arc<Record>,
        events: &Arc<Mutex<Vec<Event>>>,
        answers_to_lose: Arc<AtomicU64>,
    ) -> Arc<Self> {
        let is_cut = setup.is_cut;
        let clock_start = born_clock(&setup.id, record);
        let listener = TcpListener::bind(setup.address).unwrap();
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        let worker = Arc::new(Self {
            setup,
            born,
            start: Instant::now(),
            record: Arc::clone(record),
            events: Arc::clone(events),
            state: Mutex::default(),
            changed: Condvar::new(),
            over: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            cut: AtomicBool::new(is_cut),
            sequence: AtomicU64::new(0),
            streams: Mutex::default(),
            answers_to_lose,
            late: Mutex::default(),
            clock_start,
            renewed_at: AtomicU64::new(0),
        });
        let this = Arc::clone(&worker);
        thread::spawn(move || this.accept(&listener));
        let this = Arc::clone(&worker);
        thread::spawn(move || this.beat());
        let this = Arc::clone(&worker);
        thread::spawn(move || this.advance());
        worker
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::SeqCst)
    }

    fn clock(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 * self.setup.rate / 1_000
            + self.clock_start
    }

    fn has_ended(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        listener.set_nonblocking(true).unwrap();
        while !self.has_ended() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                self.streams.lock().unwrap().push(copy);
            }
            let this = Arc::clone(self);
            thread::spawn(move || this.serve(stream));
        }
    }

    /// Leaves a start to be carried out late, if there is a free place for it.
    fn postpones(&self, message: &Message) -> bool {
        let late = self.late.lock().unwrap().clone();
        let is_start = message
            .first
            .get(1)
            .is_some_and(|path| path == "/v1/run-start");
        let Some(late) = late.filter(|_| is_start) else {
            return false;
        };
        let mut late = late.lock().unwrap();
        if late.is_some() {
            return false;
        }
        self.record.add(&format!(
            "{}: a start isn't answered: {}",
            self.setup.id,
            message.text()
        ));
        *late = Some((self.setup.id.clone(), message.text()));
        true
    }

    /// Carries out a start that arrived before, whatever became of the one it was sent to.
    pub fn carry_out(&self, order: &str) {
        let message = Message {
            first: vec!["POST".to_owned(), "/v1/run-start".to_owned()],
            headers: Vec::new(),
            body: order.as_bytes().to_vec(),
        };
        let told = self.handle(&message);
        self.record.add(&format!(
            "{}: the late start is carried out: {told:?}",
            self.setup.id
        ));
    }

    fn loses_answer(&self, message: &Message) -> bool {
        let is_start = message
            .first
            .get(1)
            .is_some_and(|path| path == "/v1/run-start");
        let fewer = |left: u64| left.checked_sub(1);
        let loses = is_start
            && self
                .answers_to_lose
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, fewer)
                .is_ok();
        if loses {
            let task = json::parse(&message.text()).map(|body| body.text("task"));
            self.record.add(&format!(
                "{}: the answer to the start of {task:?} is lost",
                self.setup.id
            ));
        }
        loses
    }

    /// Crashes the process: all that runs ends, and nothing is said.
    pub fn crash(&self) {
        self.over.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let mut state = self.state.lock().unwrap();
        for run in std::mem::take(&mut state.runs) {
            if run.in_gang {
                GANGS
                    .lock()
                    .unwrap()
                    .entry(gang_of(&run.task, run.run))
                    .or_default()
                    .broken = true;
            }
            self.note(&run.task, run.run, "crashed");
        }
        drop(state);
        self.record.add(&format!("{} crashes", self.setup.id));
        self.changed.notify_all();
        // The listener closes with its thread.
        thread::sleep(Duration::from_millis(5));
    }

    /// Loses its power, so that its connections fall silent. Another process may take its
    /// address.
    pub fn fall_silent(&self) {
        self.over.store(true, Ordering::SeqCst);
        self.record
            .add(&format!("{} loses its power", self.setup.id));
        thread::sleep(Duration::from_millis(5));
    }

    /// Loses its power for good: all that runs ends, and nothing answers at its address any
    /// more, nor is refused.
    pub fn lose_power(&self) {
        self.cut.store(true, Ordering::SeqCst);
        let mut state = self.state.lock().unwrap();
        for run in std::mem::take(&mut state.runs) {
            if run.in_gang {
                GANGS
                    .lock()
                    .unwrap()
                    .entry(gang_of(&run.task, run.run))
                    .or_default()
                    .broken = true;
            }
            self.note(&run.task, run.run, "crashed");
        }
        self.record
            .add(&format!("{} has lost its power", self.setup.id));
    }

    /// The task of each run that is at work.
    pub fn tasks(&self) -> Vec<String> {
        self.state
            .lock()
            .unwrap()
            .runs
            .iter()
            .map(|run| run.task.clone())
            .collect()
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(message) = Message::read(&mut reader) {
            if self.is_cut() {
                // What a cut holds up is lost.
                http::drain(&mut reader);
                return;
            }
            if self.has_ended() {
                return;
            }
            if self.postpones(&message) {
                http::drain(&mut reader);
                return;
            }
            let (status, body) = self.handle(&message);
            if self.is_cut() {
                http::drain(&mut reader);
                return;
            }
            if self.has_ended() {
                // The next process knows nothing of the connection and resets it.
                let _ = reader.fill_buf();
                return;
            }
            if self.loses_answer(&message) {
                return;
            }
            if writer.write_all(&http::response(status, &body)).is_err() {
                return;
            }
        }
    }

    fn beat(&self) {
        let mut at = 0;
        thread::sleep(Duration::from_millis(self.setup.first_beat_ms));
        while !self.has_ended() {
            if !self.is_cut() {
                let state = match self.draining.load(Ordering::SeqCst) {
                    true => "draining",
                    false => "ready",
                };
                let body = format!(
                    r#"{{"backend":"{}","address":"{}","zone":"{}","version":"v1","slots":8,"state":"{state}","cold_left_ms":0,"capacity":{{"cpu":{},"mem_mb":65536,"gpu":0}},"labels":["a","{}"],"clock_ms":{},"call_seq":{},"born":{}}}"#,
                    self.setup.service,
                    self.setup.address,
                    self.setup.zone,
                    self.setup.cpu,
                    self.setup.rack,
                    self.clock(),
                    self.sequence.fetch_add(1, Ordering::SeqCst) + 1,
                    self.born,
                );
                let path = format!("/v1/instances/{}/heartbeat", self.setup.id);
                for _ in 0..3 {
                    let core = self.setup.cores[at % self.setup.cores.len()];
                    let limit = Duration::from_secs(1);
                    if matches!(
                        http::ask("POST", core, HOST, &path, "", &body, limit),
                        Ok((200, _))
                    ) {
                        break;
                    }
                    at += 1;
                }
            }
            thread::sleep(Duration::from_millis(self.setup.beat_ms));
        }
    }

    fn advance(&self) {
        while !self.has_ended() {
            thread::sleep(Duration::from_millis(3));
            let mut state = self.state.lock().unwrap();
            let now = Instant::now();
            let lapsed = self.clock() >= state.lease;
            let mut ends = Vec::new();
            let mut gangs = GANGS.lock().unwrap();
            state.runs.retain(|run| {
                let gang = run
                    .in_gang
                    .then(|| gangs.entry(gang_of(&run.task, run.run)).or_default());
                let complete = gang.as_ref().and_then(|gang| gang.complete);
                let how = if lapsed {
                    "lapsed"
                } else if run.stop_at.is_some_and(|at| at <= now) {
                    "stopped"
                } else if gang.as_ref().is_some_and(|gang| gang.broken) {
                    "broken"
                } else if run.in_gang && complete.is_none() {
                    if now < run.since + GANG_WAIT {
                        return true;
                    }
                    "alone"
                } else if let (Some(at), Some(length)) = (complete, run.length) {
                    if now < at + length {
                        return true;
                    }
                    "done"
                } else if run.length.is_some_and(|length| now >= run.since + length) {
                    if run.fails { "failed" } else { "done" }
                } else {
                    return true;
                };
                if let Some(gang) = gang.filter(|_| how != "done") {
                    gang.broken = true;
                }
                ends.push((run.task.clone(), run.run, how));
                false
            });
            drop(gangs);
            if ends.is_empty() {
                continue;
            }
            for (task, run, how) in ends {
                self.end(&mut state, task, run, how);
            }
            drop(state);
            self.changed.notify_all();
        }
    }

    fn end(&self, state: &mut State, task: String, run: u64, how: &'static str) {
        state.last_end += 1;
        let number = state.last_end;
        let highest = state.over.entry(task.clone()).or_default();
        *highest = (*highest).max(run);
        self.note(&task, run, how);
        state.ended.push((number, task, run, how));
    }

    fn note(&self, task: &str, run: u64, what: &'static str) {
        let worker = self.setup.id.clone();
        self.record
            .add(&format!("{worker}: {what} {task} run {run}"));
        let at = self.record.now();
        let event = Event {
            at,
            worker,
            task: task.to_owned(),
            run,
            what,
        };
        self.events.lock().unwrap().push(event);
    }

    fn handle(&self, message: &Message) -> (u16, String) {
        let path = message.first.get(1).map(String::as_str).unwrap_or_default();
        if path == "/health" {
            return (200, "{}".to_owned());
        }
        let target = message.header("target-instance");
        if target.is_some_and(|target| target != self.setup.id) {
            return (421, "{}".to_owned());
        }
        let Some(body) = json::parse(&message.text()) else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        let fence = body.number("fencing_token").unwrap_or(0);
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        let extend = |state: &mut State| {
            if let Some(deadline) = body.number("deadline_ms") {
                let limit = self.clock() + self.setup.hold_max_ms;
                state.lease = state.lease.max(deadline.min(limit));
            }
        };
        match path {
            "/v1/run-start" => self.start_run(&mut state, &body, extend),
            "/v1/run-stop" => {
                let (task, number) = (body.text("task"), body.number("run").unwrap_or(0));
                let highest = state.over.entry(task.clone()).or_default();
                *highest = (*highest).max(number);
                let stop_at =
                    Instant::now() + Duration::from_millis(self.setup.stop_ms / 2);
                for run in state
                    .runs
                    .iter_mut()
                    .filter(|run| run.task == task && run.run == number)
                {
                    run.stop_at.get_or_insert(stop_at);
                }
                self.done()
            }
            "/v1/pace" => self.done(),
            "/v1/hold" => {
                self.renewed_at.store(self.record.now(), Ordering::SeqCst);
                extend(&mut state);
                let seen = body.number("last_seen").unwrap_or(0);
                state.ended.retain(|(number, ..)| *number > seen);
                let wait = body.number("wait_ms").unwrap_or(0).min(2_000);
                let end = Instant::now() + Duration::from_millis(wait);
                while state.ended.is_empty() {
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                (200, self.status(&state))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn start_run(
        &self,
        state: &mut State,
        body: &Value,
        extend: impl Fn(&mut State),
    ) -> (u16, String) {
        let (task, number) = (body.text("task"), body.number("run").unwrap_or(0));
        let deadline = body.number("deadline_ms").unwrap_or(0);
        if deadline <= self.clock() {
            return self.refuse("late");
        }
        extend(state);
        if state
            .runs
            .iter()
            .any(|run| run.task == task && run.run == number)
        {
            return self.done();
        }
        if state.over.get(&task).is_some_and(|&over| number <= over) {
            return self.refuse("old");
        }
        let text = body.text("task_spec");
        let mut words = text.split(' ');
        let kind = words.next().unwrap_or("run").to_owned();
        let members = match kind.as_str() {
            "gang" => words.next().and_then(|it| it.parse().ok()).unwrap_or(0),
            _ => 0,
        };
        let length = words
            .next()
            .and_then(|it| it.parse().ok())
            .map(Duration::from_millis);
        if members > 0 {
            let mut gangs = GANGS.lock().unwrap();
            let gang = gangs.entry(gang_of(&task, number)).or_default();
            gang.members += 1;
            if gang.members == members {
                gang.complete = Some(Instant::now());
            }
        }
        let ran_before = {
            let events = self.events.lock().unwrap();
            events
                .iter()
                .any(|event| event.task == task && event.what == "start")
        };
        let length = length.filter(|_| kind != "frail" || !ran_before);
        self.note(&task, number, "start");
        state.runs.push(Run {
            task,
            run: number,
            since: Instant::now(),
            length,
            fails: kind == "frail",
            in_gang: kind == "gang",
            stop_at: None,
        });
        self.done()
    }

    fn done(&self) -> (u16, String) {
        (200, format!(r#"{{"clock_ms":{}}}"#, self.clock()))
    }

    fn refuse(&self, reason: &str) -> (u16, String) {
        (
            409,
            format!(r#"{{"clock_ms":{},"reason":"{reason}"}}"#, self.clock()),
        )
    }

    fn status(&self, state: &State) -> String {
        let progress = |run: &Run| {
            run.length.map_or(100, |length| {
                (run.since.elapsed().as_millis() * 100 / length.as_millis().max(1))
                    .min(99)
            })
        };
        let running: Vec<String> = state
            .runs
            .iter()
            .map(|run| format!(r#"["{}",{},"",{},0]"#, run.task, run.run, progress(run)))
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| {
                format!(r#"[{number},"{task}",{run},"{how}",""]"#)
            })
            .collect();
        format!(
            r#"{{"clock_ms":{},"born":{},"running":[{}],"ended":[{}]}}"#,
            self.clock(),
            self.born,
            running.join(","),
            ended.join(",")
        )
    }
}
