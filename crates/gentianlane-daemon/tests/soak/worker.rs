//! A stand-in worker: a process of the platform that runs tasks on orders under a
//! lease, played by threads with sockets of their own, and the faults it can have.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use tokio::net::TcpSocket;

use crate::habit::Habits;
use crate::http::{self, Connection, Message};
use crate::record::{How, Record, What};

/// The millicores of each worker.
pub(crate) const CAPACITY: u64 = 8_000;

/// How long a stop takes at most, as the settings of the cores say.
pub(crate) const STOP_MS: u64 = 200;

/// How long a member of a gang waits for the others.
const GANG_WAIT: Duration = Duration::from_secs(3);

/// The connections that a listener holds before they are accepted.
const BACKLOG: u32 = 32;

/// The pause between two looks of a thread at its worker.
const PAUSE: Duration = Duration::from_millis(4);

const BEAT: Duration = Duration::from_millis(400);

/// What tells one incarnation of a worker from another.
#[derive(Clone)]
pub(crate) struct Setup {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) cores: Vec<SocketAddr>,
    /// The rate of its steady clock, in thousandths.
    pub(crate) rate: u64,
    /// Whether it lists runs that are being stopped among those that run. The platform's
    /// page says only that their ends are listed.
    pub(crate) lists_stopping: bool,
    /// The longest lease that it grants.
    pub(crate) lease_limit_ms: u64,
    pub(crate) habits: Habits,
}

struct Run {
    task: String,
    run: u64,
    since: Instant,
    cpu: u64,
    /// None for a task that lasts.
    length: Option<Duration>,
    /// How many of the task's runs fail, each after its length or, if it lasts, a second;
    /// of a gang only the first member's do.
    fails: u64,
    gang: usize,
    stop_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    fence: u64,
    /// The end of the lease on the worker's clock.
    lease: u64,
    holds_lease: bool,
    runs: Vec<Run>,
    ended: Vec<(u64, String, u64, How)>,
    last_end: u64,
    /// The highest run of each task that was stopped or has ended here.
    over: BTreeMap<String, u64>,
}

/// A server's connection.
struct Channel {
    stream: TcpStream,
    /// Silent for good; `executes` says whether what arrives is carried out.
    deaf: AtomicBool,
    executes: AtomicBool,
}

/// The conditions of a worker that end by themselves, as times since the soak began.
#[derive(Default)]
pub(crate) struct Until(AtomicU64);

impl Until {
    pub(crate) fn set(&self, at: Duration) {
        let at = u64::try_from(at.as_millis()).unwrap();
        self.0.fetch_max(at, Ordering::SeqCst);
    }

    fn has_not_come(&self, now: Duration) -> bool {
        now < self.end()
    }

    fn end(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::SeqCst))
    }
}

pub(crate) struct Worker {
    pub(crate) setup: Setup,
    pub(crate) name: String,
    born: u64,
    start: Instant,
    pub(crate) record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
    listener: Mutex<Option<TcpListener>>,
    channels: Mutex<Vec<Arc<Channel>>>,
    over: AtomicBool,
    pub(crate) draining: AtomicBool,
    pub(crate) drain_acknowledged: AtomicBool,
    pub(crate) mute: AtomicBool,
    pub(crate) postpones: AtomicBool,
    /// The orders that it hasn't carried out.
    pub(crate) postponed: Mutex<Vec<Message>>,
    /// The whole process stands still.
    pub(crate) stalled: Until,
    /// Nothing reaches it or leaves it.
    pub(crate) cut: Until,
    /// Its responses are cut off by a reset.
    pub(crate) resets: Until,
    /// It accepts no connections.
    pub(crate) full: Until,
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()?;
    let _context = runtime.enter();
    socket.listen(BACKLOG)?.into_std()
}

impl Worker {
    /// Starts a worker; waits while another process listens at its address.
    pub(crate) fn start(record: &Arc<Record>, setup: Setup) -> Arc<Self> {
        let listener =
            crate::common::until("a worker's address", || listen(setup.address).ok());
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let born = u64::try_from(born.as_millis()).unwrap();
        let worker = Arc::new(Self {
            name: format!("{}/{born}", setup.id),
            setup,
            born,
            start: Instant::now(),
            record: Arc::clone(record),
            state: Mutex::default(),
            changed: Condvar::new(),
            listener: Mutex::new(Some(listener)),
            channels: Mutex::default(),
            over: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            drain_acknowledged: AtomicBool::new(false),
            mute: AtomicBool::new(false),
            postpones: AtomicBool::new(false),
            postponed: Mutex::default(),
            stalled: Until::default(),
            cut: Until::default(),
            resets: Until::default(),
            full: Until::default(),
        });
        let habits = worker.setup.habits;
        record.fault(
            &worker.name,
            format!("starts at {}, {habits:?}", worker.setup.address),
        );
        for work in [Self::accept, Self::advance, Self::report] {
            let worker = Arc::clone(&worker);
            thread::spawn(move || work(&worker));
        }
        worker
    }

    pub(crate) fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    /// Ends the process, and with it all that runs.
    pub(crate) fn kill(&self, why: &str) {
        let mut state = self.state.lock().unwrap();
        if self.over.swap(true, Ordering::SeqCst) {
            return;
        }
        self.pass(&mut state);
        while !state.runs.is_empty() {
            self.end(&mut state, 0, How::Gone, self.record.now());
        }
        drop(state);
        self.record.fault(&self.name, format!("ends: {why}"));
        self.close_listener();
        self.close_channels();
        self.changed.notify_all();
    }

    pub(crate) fn close_listener(&self) {
        self.listener.lock().unwrap().take();
    }

    /// Listens again at the address, unless another process does.
    pub(crate) fn open_listener(&self) {
        *self.listener.lock().unwrap() = listen(self.setup.address).ok();
    }

    pub(crate) fn close_channels(&self) {
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.stream.shutdown(Shutdown::Both);
        }
    }

    /// Silences the open connections for good; new ones work.
    pub(crate) fn deafen_channels(&self, executes: bool) {
        for channel in self.channels.lock().unwrap().iter() {
            channel.executes.store(executes, Ordering::SeqCst);
            channel.deaf.store(true, Ordering::SeqCst);
        }
    }

    /// Fills the listener's backlog, so that further connections hang.
    pub(crate) fn fill_backlog(&self) -> Vec<TcpStream> {
        let wait = Duration::from_millis(30);
        let connect = |_| TcpStream::connect_timeout(&self.setup.address, wait).ok();
        (0..=BACKLOG + 2).map_while(connect).collect()
    }

    fn clock(&self) -> u64 {
        let elapsed = u64::try_from(self.start.elapsed().as_millis()).unwrap();
        self.setup.habits.clock_at_start + elapsed * self.setup.rate / 1_000
    }

    /// Waits while the process stands still, or, if it communicates, while it is cut off.
    fn pause(&self, communicates: bool) {
        let now = || self.record.now();
        while !self.is_over()
            && (self.stalled.has_not_come(now())
                || communicates && self.cut.has_not_come(now()))
        {
            thread::sleep(PAUSE);
        }
    }

    fn accept(self: &Arc<Self>) {
        while !self.is_over() {
            thread::sleep(PAUSE);
            self.pause(true);
            if self.full.has_not_come(self.record.now()) {
                continue;
            }
            let listener = self.listener.lock().unwrap();
            let accepted = listener.as_ref().and_then(|it| it.accept().ok());
            drop(listener);
            let Some((stream, _)) = accepted else {
                continue;
            };
            let channel = Arc::new(Channel {
                stream,
                deaf: AtomicBool::new(false),
                executes: AtomicBool::new(false),
            });
            self.channels.lock().unwrap().push(Arc::clone(&channel));
            let worker = Arc::clone(self);
            thread::spawn(move || {
                let _ = worker.serve(&channel);
                let _ = channel.stream.shutdown(Shutdown::Both);
                let mut channels = worker.channels.lock().unwrap();
                channels.retain(|it| !Arc::ptr_eq(it, &channel));
            });
        }
    }

    fn serve(&self, channel: &Channel) -> std::io::Result<()> {
        channel.stream.set_nonblocking(false)?;
        channel.stream.set_nodelay(true)?;
        let mut reader = BufReader::new(&channel.stream);
        while !self.is_over() {
            let request = Message::read(&mut reader)?;
            self.pause(true);
            if self.postpone(&request) {
                continue;
            }
            let deaf = channel.deaf.load(Ordering::SeqCst);
            if deaf && !channel.executes.load(Ordering::SeqCst) {
                continue;
            }
            let (status, body) = self.answer(&request);
            self.pause(true);
            if self.is_over() || channel.deaf.load(Ordering::SeqCst) {
                continue;
            }
            let response = http::response(status, &body);
            let mut writer = &channel.stream;
            if self.resets.has_not_come(self.record.now()) {
                writer.write_all(&response.as_bytes()[..response.len() / 2])?;
                return TcpSocket::from_std_stream(channel.stream.try_clone()?)
                    .set_zero_linger();
            }
            writer.write_all(response.as_bytes())?;
        }
        Ok(())
    }

    /// Ends what is due, all the time.
    fn advance(self: &Arc<Self>) {
        while !self.is_over() {
            thread::sleep(PAUSE);
            self.pause(false);
            let mut state = self.state.lock().unwrap();
            if !self.is_over() && !self.stalled.has_not_come(self.record.now()) {
                self.pass(&mut state);
            }
        }
    }

    fn pass(&self, state: &mut State) {
        if state.holds_lease && self.clock() >= state.lease {
            state.holds_lease = false;
            // A process that stood still when its lease ended has run nothing since.
            let lasted = state.lease - self.setup.habits.clock_at_start;
            let lasted = Duration::from_millis(lasted * 1_000 / self.setup.rate);
            let over = (self.start + lasted).duration_since(self.record.began);
            let at = match self.stalled.end() > over {
                true => over,
                false => self.record.now(),
            };
            self.record
                .event_at(at, &self.name, "-", 0, What::LeaseOver);
            while !state.runs.is_empty() {
                self.end(state, 0, How::Lapsed, at);
            }
        }
        let mut at = 0;
        while at < state.runs.len() {
            match self.due(&state.runs[at]) {
                Some(how) => self.end(state, at, how, self.record.now()),
                None => at += 1,
            }
        }
    }

    /// How a run ends now, if it does.
    fn due(&self, run: &Run) -> Option<How> {
        if run.stop_at.is_some_and(|at| Instant::now() >= at) {
            return Some(How::Stopped);
        }
        let fails_after = run.length.unwrap_or(Duration::from_secs(1));
        if run.fails > 0
            && run.since.elapsed() >= fails_after
            && !self.has_ended(run)
            && self.record.fails(&run.task, run.fails)
        {
            return Some(How::Failed);
        }
        let length = run.length?;
        if run.gang == 0 {
            return (run.since.elapsed() >= length).then_some(How::Done);
        }
        let mut gangs = self.record.gangs();
        let gang = gangs.entry(gang_of(run)).or_default();
        match gang.complete {
            _ if gang.done => Some(How::Done),
            _ if gang.broken => Some(How::Broken),
            Some(at) if at.elapsed() >= length => Some(How::Done),
            None if run.since.elapsed() >= GANG_WAIT => Some(How::Alone),
            Some(_) | None => None,
        }
    }

    /// Whether another member of a run's gang has ended.
    fn has_ended(&self, run: &Run) -> bool {
        let gangs = self.record.gangs();
        let gang = gangs.get(&gang_of(run));
        run.gang > 0 && gang.is_some_and(|gang| gang.done || gang.broken)
    }

    fn end(&self, state: &mut State, index: usize, how: How, at: Duration) {
        let run = state.runs.remove(index);
        if run.gang > 0 {
            let mut gangs = self.record.gangs();
            let gang = gangs.entry(gang_of(&run)).or_default();
            match how {
                How::Done => gang.done = true,
                _ => gang.broken = true,
            }
        }
        let over = state.over.entry(run.task.clone()).or_default();
        *over = run.run.max(*over);
        self.record
            .event_at(at, &self.name, &run.task, run.run, What::End(how));
        state.last_end += match state.last_end {
            0 => 1,
            _ => self.setup.habits.end_step,
        };
        state.ended.push((state.last_end, run.task, run.run, how));
        self.changed.notify_all();
    }

    pub(crate) fn answer(&self, request: &Message) -> (u16, Value) {
        let target = request.header("target-instance");
        if let Some(other) = target.filter(|id| *id != self.setup.id) {
            self.record.fault(&self.name, format!("421 for {other}"));
            return (421, self.told(None));
        }
        let body = request.json();
        let mut state = self.state.lock().unwrap();
        if self.is_over() {
            return (503, self.told(None));
        }
        self.pass(&mut state);
        let fence = body["fencing_token"].as_u64().unwrap_or(0);
        if fence < state.fence {
            return (409, self.told(Some("fence")));
        }
        state.fence = fence;
        match request.first.get(1).map(String::as_str) {
            Some("/v1/run-start") => self.start_run(&mut state, &body),
            Some("/v1/run-stop") => self.stop_run(&mut state, &body),
            Some("/v1/hold") => (200, self.hold(state, &body)),
            Some("/v1/pace") => (200, self.told(None)),
            Some(_) | None => (404, self.told(None)),
        }
    }

    fn told(&self, reason: Option<&str>) -> Value {
        let mut told = json!({ "clock_ms": self.clock(), "born": self.born });
        if let Some(reason) = reason {
            told["reason"] = reason.into();
        }
        told
    }

    fn extend(&self, state: &mut State, body: &Value) {
        let Some(deadline) = body["deadline_ms"].as_u64() else {
            return;
        };
        let now = self.clock();
        state.lease = state
            .lease
            .max(deadline.min(now + self.setup.lease_limit_ms));
        state.holds_lease = state.lease > now;
    }

    fn start_run(&self, state: &mut State, body: &Value) -> (u16, Value) {
        let (Some(task), Some(run), Some(deadline), Some(spec)) = (
            body["task"].as_str(),
            body["run"].as_u64(),
            body["deadline_ms"].as_u64(),
            body["task_spec"].as_str(),
        ) else {
            return (400, self.told(None));
        };
        if state.runs.iter().any(|it| it.task == task && it.run == run) {
            self.extend(state, body);
            return (200, self.told(None));
        }
        if state.over.get(task).is_some_and(|over| run <= *over) {
            self.extend(state, body);
            return (409, self.told(Some("old")));
        }
        if deadline <= self.clock() {
            return (409, self.told(Some("late")));
        }
        self.extend(state, body);
        let word = |name: &str| {
            let mut words = spec.split(' ').filter_map(|word| word.split_once('='));
            words.find(|(key, _)| *key == name)?.1.parse::<u64>().ok()
        };
        let gang = usize::try_from(word("gang").unwrap_or(0)).unwrap();
        // Of a gang the first member fails, and breaks the others.
        let may_fail = gang == 0 || task.ends_with(".0");
        let begun = Run {
            task: task.to_owned(),
            run,
            since: Instant::now(),
            cpu: word("cpu").unwrap_or(0),
            length: word("work").map(Duration::from_millis),
            fails: word("fails").filter(|_| may_fail).unwrap_or(0),
            gang,
            stop_at: None,
        };
        if begun.gang > 0 {
            let mut gangs = self.record.gangs();
            let gang = gangs.entry(gang_of(&begun)).or_default();
            gang.members.insert(begun.task.clone());
            if gang.members.len() == begun.gang && !gang.broken {
                gang.complete.get_or_insert_with(Instant::now);
            }
        }
        let held_up = [&self.stalled, &self.cut, &self.full].map(Until::end);
        let now = self.record.now();
        let late = held_up
            .iter()
            .any(|end| now < *end + Duration::from_millis(300) && !end.is_zero());
        let used: u64 = state.runs.iter().map(|run| run.cpu).sum();
        let over_capacity = used + begun.cpu > CAPACITY;
        let what = What::Start {
            late,
            over_capacity,
        };
        self.record.event(&self.name, task, run, what);
        state.runs.push(begun);
        (200, self.told(None))
    }

    fn stop_run(&self, state: &mut State, body: &Value) -> (u16, Value) {
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run"].as_u64())
        else {
            return (400, self.told(None));
        };
        let over = state.over.entry(task.to_owned()).or_default();
        *over = run.max(*over);
        let mut runs = state.runs.iter_mut();
        if let Some(found) = runs.find(|it| it.task == task && it.run == run) {
            found
                .stop_at
                .get_or_insert_with(|| Instant::now() + stop_length(task));
        }
        (200, self.told(None))
    }

    /// Extends the lease, forgets the ends that were seen, and waits for others.
    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Value) -> Value {
        self.extend(&mut state, body);
        let seen = body["last_seen"].as_u64().unwrap_or(0);
        let noted = state.ended.iter().filter(|end| end.0 <= seen);
        for (_, task, run, _) in noted {
            self.record.event(&self.name, task, *run, What::Noted);
        }
        state.ended.retain(|end| end.0 > seen);
        let wait = body["wait_ms"].as_u64().unwrap_or(0).min(2_000);
        let end = Instant::now() + Duration::from_millis(wait);
        while state.ended.is_empty() && !self.is_over() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        // A process that stood still lists what it finds on waking.
        drop(state);
        self.pause(false);
        let mut state = self.state.lock().unwrap();
        self.pass(&mut state);
        let runs = state.runs.iter();
        let listed =
            runs.filter(|run| self.setup.lists_stopping || run.stop_at.is_none());
        let running: Vec<Value> = listed
            .map(|run| json!([run.task, run.run, "", 100, 500]))
            .collect();
        let ends = state.ended.iter().take(500);
        let ended: Vec<Value> = ends
            .map(|(number, task, run, how)| {
                json!([number, task, run, how.to_string(), ""])
            })
            .collect();
        let mut told = self.told(None);
        told["running"] = running.into();
        told["ended"] = ended.into();
        told
    }

    /// Reports to the cores in turn, and to the address that one has named.
    fn report(self: &Arc<Self>) {
        let habits = self.setup.habits;
        let mut number = habits.first_call;
        let mut at = usize::try_from(self.born).unwrap();
        let mut named: Option<SocketAddr> = None;
        while !self.is_over() {
            number += habits.call_step;
            let draining = self.draining.load(Ordering::SeqCst);
            let mut report = json!({
                "backend": "pool", "address": self.setup.address.to_string(),
                "zone": "d", "version": "v1", "slots": 8,
                "state": if draining { "draining" } else { "ready" },
                "cold_left_ms": 0, "clock_ms": self.clock(),
                "capacity": {"cpu": CAPACITY, "mem_mb": 8_000, "gpu": 0},
                "labels": ["a", "r1"], "call_seq": number, "born": self.born,
            });
            if draining {
                report["remaining_ms"] = json!(2_000);
            }
            for _ in 0..self.setup.cores.len() {
                if self.mute.load(Ordering::SeqCst) {
                    break;
                }
                let core = named.unwrap_or(self.setup.cores[at % self.setup.cores.len()]);
                match self.ask(core, "heartbeat", &report) {
                    Some((200..300, told)) => {
                        named = told["heartbeat_addr"]
                            .as_str()
                            .and_then(|it| it.parse().ok());
                        if draining {
                            self.drain_acknowledged.store(true, Ordering::SeqCst);
                        }
                        break;
                    }
                    Some(_) | None => {
                        named = None;
                        at += 1;
                    }
                }
            }
            let next = Instant::now() + BEAT;
            while Instant::now() < next && !self.is_over() {
                thread::sleep(PAUSE);
            }
        }
    }

    /// One call to a core; none without a whole answer within a second.
    fn ask(&self, core: SocketAddr, what: &str, body: &Value) -> Option<(u16, Value)> {
        self.pause(true);
        if self.is_over() {
            return None;
        }
        let path = format!("/v1/instances/{}/{what}", self.setup.id);
        let mut connection = Connection::open(core, Duration::from_secs(1)).ok()?;
        let told = connection.ask("POST", &path, &body.to_string()).ok()?;
        self.pause(true);
        Some(told)
    }

    /// Announces its end to the cores in turn, and says whether one has confirmed it. If
    /// the confirmation is lost, it reaches one core and hears nothing.
    pub(crate) fn announce(&self, is_lost: bool) -> bool {
        let body = json!({ "born": self.born });
        for core in &self.setup.cores {
            self.pause(true);
            if is_lost {
                let path = format!("/v1/instances/{}/deregister", self.setup.id);
                let connection = Connection::open(*core, Duration::from_secs(1));
                let sent = connection
                    .and_then(|mut it| it.ask("POST", &path, &body.to_string()));
                if sent.is_ok_and(|(status, _)| (200..300).contains(&status)) {
                    return false;
                }
            } else if let Some((200..300, _)) = self.ask(*core, "deregister", &body) {
                return true;
            }
        }
        false
    }
}

/// How long it takes to stop a task: longer for those with a higher index, so that runs
/// that are stopped together end one after another.
fn stop_length(task: &str) -> Duration {
    let index = task
        .rsplit('.')
        .next()
        .and_then(|it| it.parse::<u64>().ok());
    let part = index.unwrap_or(0) % 4 + 1;
    Duration::from_millis((STOP_MS - 10) * part / 4)
}

fn gang_of(run: &Run) -> (String, u64) {
    let step = run.task.rsplit_once('.').map_or("", |(step, _)| step);
    (step.to_owned(), run.run)
}
