//! A server's stand-in, by the users' page on running tasks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Request};
use crate::json::Json;
use crate::record::Record;

/// How a task goes on a server.
#[derive(Clone, Copy, PartialEq)]
pub enum Work {
    /// It ends as done after this many milliseconds.
    Done(u64),
    /// It ends as failed after this many milliseconds.
    Failed(u64),
    /// It runs until it is stopped.
    Lasts,
}

/// Tells how a task goes, by its name.
pub type Plan = Arc<dyn Fn(&str) -> Work + Send + Sync>;

/// A start or an end, in the order in which they came.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: u64,
    pub worker: String,
    pub task: String,
    /// `start`, or how the run ended.
    pub what: &'static str,
}

/// A start that a server leaves unanswered, to be carried out late.
#[derive(Clone, Default)]
pub struct LateStarts {
    /// The beginning of the task's name; none before one is wanted.
    wanted: Arc<Mutex<Option<String>>>,
    kept: Arc<Mutex<Option<Request>>>,
}

impl LateStarts {
    /// Leaves the next start of such a task unanswered.
    pub fn want(&self, task: &str) {
        *self.wanted.lock().expect("the lock of late starts") = Some(task.to_owned());
    }

    /// The start that was left unanswered.
    pub fn kept(&self) -> Option<Request> {
        self.kept.lock().expect("the lock of late starts").clone()
    }

    /// Keeps a request if it is the one that is wanted.
    fn take(&self, request: &Request) -> bool {
        let mut wanted = self.wanted.lock().expect("the lock of late starts");
        let is_wanted = request.path == "/v1/run-start"
            && wanted
                .as_ref()
                .is_some_and(|task| request.body.contains(task));
        if is_wanted {
            *wanted = None;
            *self.kept.lock().expect("the lock of late starts") = Some(request.clone());
        }
        is_wanted
    }
}

/// The events of all servers.
pub type Events = Arc<Mutex<Vec<Event>>>;

#[derive(Clone)]
pub struct Profile {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub cpu: u64,
    pub mem_mb: u64,
    pub labels: String,
    /// The longest lease, in milliseconds.
    pub hold_max_ms: u64,
}

struct Run {
    task: String,
    run: u64,
    begun: Instant,
    work: Work,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    fence: u64,
    deadline: u64,
    running: Vec<Run>,
    ended: Vec<End>,
    ends: u64,
    /// The highest run that was stopped or has ended, by task.
    over: BTreeMap<String, u64>,
}

/// One boot of a server.
#[derive(Clone)]
pub struct Worker {
    pub profile: Profile,
    born: u64,
    started: Instant,
    open: Arc<AtomicBool>,
    /// Whether it is cut off: it gets nothing, and nothing of it arrives.
    cut: Arc<AtomicBool>,
    /// The starts that are left unanswered, to be carried out late.
    pub late: LateStarts,
    sequence: Arc<AtomicU64>,
    state: Arc<(Mutex<State>, Condvar)>,
    plan: Plan,
    events: Events,
    record: Record,
}

impl Worker {
    /// Starts a boot, which reports to the control addresses.
    pub fn boot(
        profile: Profile,
        controls: Vec<SocketAddr>,
        plan: Plan,
        events: Events,
        record: Record,
        cut: bool,
    ) -> std::io::Result<Worker> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let worker = Worker {
            profile,
            born: born.as_millis() as u64,
            started: Instant::now(),
            open: Arc::new(AtomicBool::new(true)),
            cut: Arc::new(AtomicBool::new(cut)),
            late: LateStarts::default(),
            sequence: Arc::default(),
            state: Arc::default(),
            plan,
            events,
            record,
        };
        let handler = worker.clone();
        let address = worker.profile.address;
        // The listener of an earlier boot closes within milliseconds.
        let mut tries = 0;
        loop {
            let own = handler.clone();
            match http::serve(address, worker.open.clone(), move |it| own.handle(it)) {
                Ok(()) => break,
                Err(error) if tries >= 100 => return Err(error),
                Err(_) => tries += 1,
            }
            thread::sleep(Duration::from_millis(10));
        }
        let timer = worker.clone();
        thread::spawn(move || {
            while timer.open.load(Ordering::SeqCst) {
                timer.advance();
                thread::sleep(Duration::from_millis(5));
            }
        });
        let reporter = worker.clone();
        thread::spawn(move || reporter.report(&controls));
        worker
            .record
            .line(&format!("server {} boots at {address}", worker.profile.id));
        Ok(worker)
    }

    /// Ends the boot as a crash does: nothing is said, and all runs are gone.
    pub fn crash(&self) {
        self.open.store(false, Ordering::SeqCst);
        self.record
            .line(&format!("server {} crashes", self.profile.id));
        let (state, changed) = &*self.state;
        if let Ok(mut state) = state.lock() {
            for run in state.running.drain(..) {
                self.event(&run.task, run.run, "crashed");
            }
        }
        changed.notify_all();
    }

    /// Cuts the server off from all machines, or joins it to them again. It runs on.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
        let what = if cut { "is cut off" } else { "is joined again" };
        self.record
            .line(&format!("server {} {what}", self.profile.id));
    }

    /// Carries out an order that was sent long ago, whatever became of its sender.
    pub fn carry_out(&self, order: &Request) {
        let answer = match self.execute(order) {
            Answer::Respond(status, text) => format!("{status} {text}"),
            Answer::Close => "nothing".to_owned(),
        };
        self.record.line(&format!(
            "server {} carries out a late order: {answer}",
            self.profile.id
        ));
    }

    /// What runs here: task and run.
    pub fn running(&self) -> Vec<(String, u64)> {
        let (state, _) = &*self.state;
        let state = state.lock().expect("the lock of a server");
        state
            .running
            .iter()
            .map(|run| (run.task.clone(), run.run))
            .collect()
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn event(&self, task: &str, run: u64, what: &'static str) {
        let event = Event {
            at: self.record.now(),
            worker: self.profile.id.clone(),
            task: task.to_owned(),
            what,
        };
        if let Ok(mut events) = self.events.lock() {
            events.push(event);
        }
        self.record.line(&format!(
            "server {} {what} {task} run {run}",
            self.profile.id
        ));
    }

    /// Ends what is over by now.
    fn advance(&self) {
        let clock = self.clock();
        let (state, changed) = &*self.state;
        let Ok(mut state) = state.lock() else { return };
        let lapsed = clock > state.deadline;
        let mut at = 0;
        let mut any = false;
        while at < state.running.len() {
            let run = &state.running[at];
            let ran = run.begun.elapsed().as_millis() as u64;
            let how = match run.work {
                Work::Done(after) if ran >= after => Some("done"),
                Work::Failed(after) if ran >= after => Some("failed"),
                _ if lapsed => Some("lapsed"),
                _ => None,
            };
            match how {
                Some(how) => {
                    let run = state.running.swap_remove(at);
                    self.end(&mut state, run, how);
                    any = true;
                }
                None => at += 1,
            }
        }
        if any {
            changed.notify_all();
        }
    }

    fn end(&self, state: &mut State, run: Run, how: &'static str) {
        state.ends += 1;
        let over = state.over.entry(run.task.clone()).or_default();
        *over = (*over).max(run.run);
        self.event(&run.task, run.run, how);
        let number = state.ends;
        state.ended.push(End {
            number,
            task: run.task,
            run: run.run,
            how,
        });
    }

    fn report(&self, controls: &[SocketAddr]) {
        let mut at = 0;
        while self.open.load(Ordering::SeqCst) {
            if self.cut.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            let profile = &self.profile;
            let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let body = format!(
                "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\
                 \"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\"labels\":[{}],\
                 \"clock_ms\":{},\"call_seq\":{sequence},\"born\":{}}}",
                profile.service,
                profile.address,
                profile.zone,
                profile.cpu,
                profile.mem_mb,
                profile.labels,
                self.clock(),
                self.born
            );
            let path = format!("/v1/instances/{}/heartbeat", profile.id);
            let limit = Duration::from_secs(1);
            let answer = http::call(controls[at], "POST", "control", &path, &body, limit);
            match answer {
                Ok((status, _)) if status / 100 == 2 => {
                    thread::sleep(Duration::from_millis(1_500));
                }
                _ => {
                    at = (at + 1) % controls.len();
                    thread::sleep(Duration::from_millis(100));
                }
            }
        }
    }

    fn handle(&self, request: Request) -> Answer {
        if self.cut.load(Ordering::SeqCst) {
            // What is sent while the cut lasts is lost.
            thread::sleep(Duration::from_secs(3));
            return Answer::Close;
        }
        if self.late.take(&request) {
            self.record.line(&format!(
                "server {} leaves {} unanswered: {}",
                self.profile.id, request.path, request.body
            ));
            thread::sleep(Duration::from_secs(3));
            return Answer::Close;
        }
        let answer = self.execute(&request);
        match self.cut.load(Ordering::SeqCst) {
            true => Answer::Close,
            false => answer,
        }
    }

    /// Carries out a request.
    fn execute(&self, request: &Request) -> Answer {
        if request.method == "GET" {
            return Answer::Respond(200, "{}".to_owned());
        }
        if request
            .target
            .as_ref()
            .is_some_and(|target| *target != self.profile.id)
        {
            return Answer::Respond(421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return Answer::Respond(400, "{}".to_owned());
        };
        let int = |name: &str| body.get(name).and_then(Json::int);
        let text = |name: &str| body.get(name).and_then(Json::text).unwrap_or_default();
        let clock = self.clock();
        let plain = |status| Answer::Respond(status, format!("{{\"clock_ms\":{clock}}}"));
        let refuse = |reason: &str| {
            Answer::Respond(
                409,
                format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"),
            )
        };
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("the lock of a server");
        let fence = int("fencing_token").unwrap_or(0);
        if fence < state.fence {
            return refuse("fence");
        }
        state.fence = fence;
        if let Some(deadline) = int("deadline_ms") {
            let deadline = deadline.min(clock + self.profile.hold_max_ms);
            state.deadline = state.deadline.max(deadline);
        }
        let (task, run) = (text("task").to_owned(), int("run").unwrap_or(0));
        match request.path.as_str() {
            "/v1/run-start" => {
                if state
                    .running
                    .iter()
                    .any(|it| it.task == task && it.run == run)
                {
                    return plain(200);
                }
                if state.over.get(&task).is_some_and(|&over| run <= over) {
                    return refuse("old");
                }
                if int("deadline_ms").is_none_or(|deadline| deadline <= clock) {
                    return refuse("late");
                }
                self.event(&task, run, "start");
                let work = (self.plan)(&task);
                state.running.push(Run {
                    task,
                    run,
                    begun: Instant::now(),
                    work,
                });
                plain(200)
            }
            "/v1/run-stop" => {
                let over = state.over.entry(task.clone()).or_default();
                *over = (*over).max(run);
                let at = state
                    .running
                    .iter()
                    .position(|it| it.task == task && it.run == run);
                if let Some(at) = at {
                    let run = state.running.swap_remove(at);
                    self.end(&mut state, run, "stopped");
                    changed.notify_all();
                }
                plain(200)
            }
            "/v1/pace" => plain(200),
            "/v1/hold" => {
                let seen = int("last_seen").unwrap_or(0);
                state.ended.retain(|end| end.number > seen);
                let wait = Duration::from_millis(int("wait_ms").unwrap_or(0).min(2_000));
                let due = Instant::now() + wait;
                while state.ended.is_empty() && self.open.load(Ordering::SeqCst) {
                    let left = due.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    let left = left.min(Duration::from_millis(50));
                    state = changed
                        .wait_timeout(state, left)
                        .expect("the lock of a server")
                        .0;
                }
                Answer::Respond(200, self.lists(&state))
            }
            _ => Answer::Respond(404, "{}".to_owned()),
        }
    }

    fn lists(&self, state: &State) -> String {
        let running = state.running.iter().map(|run| {
            let ran = run.begun.elapsed().as_millis() as u64;
            let percent = match run.work {
                Work::Done(after) | Work::Failed(after) => {
                    (ran * 100 / after.max(1)).min(99)
                }
                Work::Lasts => 100,
            };
            format!("[\"{}\",{},\"\",{percent},0]", run.task, run.run)
        });
        let running: Vec<String> = running.collect();
        let ended = state.ended.iter().take(500).map(|end| {
            format!(
                "[{},\"{}\",{},\"{}\",\"\"]",
                end.number, end.task, end.run, end.how
            )
        });
        let ended: Vec<String> = ended.collect();
        format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
            self.clock(),
            self.born,
            running.join(","),
            ended.join(",")
        )
    }
}
