//! A minion as PROTOCOL.md describes it: runs tasks on orders under a lease, and
//! reports about itself. A task's `task_spec` says what it does: `work=MS` ends `done`
//! after that time, `fail=MS` ends `failed`, `failfirst=MS` does so in the task's first
//! run on the minion, `failuntil=AT:MS` if it starts before that time since 1970, and
//! `lasts` runs until it is stopped.

use std::collections::HashMap;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::Json;
use crate::wall_ms;

/// How long a stop takes.
const STOP: Duration = Duration::from_millis(20);

/// How long after its start it sends its first report.
const FIRST_BEAT: Duration = Duration::from_millis(500);

/// For how long it goes on after its drain was acknowledged (`drain_ms`).
const DRAIN: Duration = Duration::from_millis(2_000);

/// After what time it ends if nothing confirms that it leaves.
const UNCONFIRMED_END: Duration = Duration::from_secs(4);

pub struct Setup {
    pub id: String,
    pub address: SocketAddr,
    /// The address that it reports: its own or that of a proxy before it.
    pub reported: SocketAddr,
    pub backend: String,
    pub zone: String,
    pub kind: String,
    pub rack: String,
    pub cpu: u64,
    pub controls: Vec<SocketAddr>,
    /// Where it sends that it leaves.
    pub leave_controls: Vec<SocketAddr>,
    pub log: String,
    pub hold_max_ms: u64,
    pub beat_ms: u64,
}

struct Run {
    task: String,
    run: u64,
    since: Instant,
    /// When it ends by itself, and whether it then has failed.
    ends: Option<(Duration, bool)>,
    stop_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_ms: u64,
    runs: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// The newest end that was listed.
    listed: u64,
    /// The highest run of each task that was stopped or has ended here.
    over: HashMap<String, u64>,
}

struct Minion {
    setup: Setup,
    born: u64,
    start: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

impl Minion {
    fn clock(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn log(&self, line: &str) {
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.setup.log);
        if let Ok(mut file) = file {
            let _ = file.write_all(
                format!("{} {} {line}\n", wall_ms(), self.setup.id).as_bytes(),
            );
        }
    }

    fn end(&self, state: &mut State, at: usize, how: &'static str) {
        let run = state.runs.remove(at);
        state.last_end += 1;
        let over = state.over.entry(run.task.clone()).or_default();
        *over = run.run.max(*over);
        self.log(&format!("end {} {} {how}", run.task, run.run));
        state.ended.push((state.last_end, run.task, run.run, how));
        self.changed.notify_all();
    }

    /// Ends what is due; runs all the time.
    fn advance(&self) {
        loop {
            thread::sleep(Duration::from_millis(1));
            let mut state = self.state.lock().unwrap();
            let expired = self.clock() >= state.lease_ms;
            let mut at = 0;
            while at < state.runs.len() {
                let run = &state.runs[at];
                let how = match run.ends {
                    _ if expired => Some("lapsed"),
                    _ if run.stop_at.is_some_and(|stop| Instant::now() >= stop) => {
                        Some("stopped")
                    }
                    Some((after, failed)) if run.since.elapsed() >= after => {
                        Some(if failed { "failed" } else { "done" })
                    }
                    _ => None,
                };
                match how {
                    Some(how) => self.end(&mut state, at, how),
                    None => at += 1,
                }
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.path.split('?').next().unwrap_or_default();
        if request.method == "GET" {
            // For the test alone: how many ends nobody has been told.
            let state = self.state.lock().unwrap();
            let unlisted = state.last_end - state.listed;
            return (200, format!("{{\"unlisted\":{unlisted}}}"));
        }
        if request
            .header("Target-Instance")
            .is_some_and(|id| id != self.setup.id)
        {
            return (421, "{}".to_owned());
        }
        let Some(body) = Json::parse(&request.body) else {
            return (400, self.clock_body(None));
        };
        let fence = body.number("fencing_token").unwrap_or(0);
        let mut state = self.state.lock().unwrap();
        if fence < state.fence {
            return (409, self.clock_body(Some("fence")));
        }
        state.fence = fence;
        match path {
            "/v1/run-start" => self.start(state, &body),
            "/v1/run-stop" => self.stop(state, &body),
            "/v1/hold" => {
                self.extend(&mut state, &body);
                let seen = body.number("last_seen").unwrap_or(0);
                for (number, task, run, _) in &state.ended {
                    if *number <= seen {
                        self.log(&format!("forget {task} {run} {number}"));
                    }
                }
                state.ended.retain(|(number, ..)| *number > seen);
                let wait =
                    Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
                let end = Instant::now() + wait;
                while state.ended.is_empty() {
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
                state.listed = state.ended.last().map_or(state.listed, |it| it.0);
                (200, self.lists(&state))
            }
            "/v1/pace" => (200, self.clock_body(None)),
            _ => (404, self.clock_body(None)),
        }
    }

    fn extend(&self, state: &mut State, body: &Json) {
        if let Some(deadline) = body.number("deadline_ms") {
            let limit = self.clock() + self.setup.hold_max_ms;
            state.lease_ms = state.lease_ms.max(deadline.min(limit));
        }
    }

    fn start(
        &self,
        mut state: std::sync::MutexGuard<'_, State>,
        body: &Json,
    ) -> (u16, String) {
        let (Some(task), Some(run), Some(deadline)) = (
            body.text("task"),
            body.number("run"),
            body.number("deadline_ms"),
        ) else {
            return (400, self.clock_body(None));
        };
        let spec = body.text("task_spec").unwrap_or_default();
        if state.runs.iter().any(|it| it.task == task && it.run == run) {
            self.extend(&mut state, body);
            return (200, self.clock_body(None));
        }
        if state.over.get(task).is_some_and(|over| run <= *over) {
            self.extend(&mut state, body);
            return (409, self.clock_body(Some("old")));
        }
        if deadline <= self.clock() {
            return (409, self.clock_body(Some("late")));
        }
        self.extend(&mut state, body);
        let after =
            |text: &str| text.parse().map(Duration::from_millis).unwrap_or_default();
        let mut ends = None;
        for word in spec.split(' ') {
            match word.split_once('=') {
                Some(("work", time)) => ends = Some((after(time), false)),
                Some(("failuntil", text)) => {
                    let (until, time) = text.split_once(':').unwrap_or((text, "0"));
                    if until.parse().is_ok_and(|until: u64| wall_ms() < until) {
                        ends = Some((after(time), true));
                    }
                }
                Some(("fail", time)) => ends = Some((after(time), true)),
                Some(("failfirst", time)) if !state.over.contains_key(task) => {
                    ends = Some((after(time), true));
                }
                _ => {}
            }
        }
        self.log(&format!(
            "start {task} {run} fence={} spec={spec:?}",
            state.fence
        ));
        state.runs.push(Run {
            task: task.to_owned(),
            run,
            since: Instant::now(),
            ends,
            stop_at: None,
        });
        (200, self.clock_body(None))
    }

    fn stop(
        &self,
        mut state: std::sync::MutexGuard<'_, State>,
        body: &Json,
    ) -> (u16, String) {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return (400, self.clock_body(None));
        };
        self.log(&format!("stop {task} {run}"));
        let over = state.over.entry(task.to_owned()).or_default();
        *over = run.max(*over);
        let found = state
            .runs
            .iter_mut()
            .find(|it| it.task == task && it.run == run);
        if let Some(found) = found {
            found.stop_at.get_or_insert(Instant::now() + STOP);
        }
        (200, self.clock_body(None))
    }

    fn clock_body(&self, reason: Option<&str>) -> String {
        let reason = reason
            .map(|it| format!(",\"reason\":\"{it}\""))
            .unwrap_or_default();
        format!(
            "{{\"clock_ms\":{},\"born\":{}{reason}}}",
            self.clock(),
            self.born
        )
    }

    fn lists(&self, state: &State) -> String {
        let running = state.runs.iter().map(|run| {
            let percent = match run.ends {
                Some((after, _)) => {
                    let share =
                        run.since.elapsed().as_millis() * 100 / after.as_millis().max(1);
                    share.min(99)
                }
                None => 100,
            };
            format!("[\"{}\",{},\"\",{percent},500]", run.task, run.run)
        });
        let running: Vec<String> = running.collect();
        let ended = state.ended.iter().take(500);
        let ended = ended.map(|(number, task, run, how)| {
            format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
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

    /// Whether the platform has told the minion to leave, by a file.
    fn is_leaving(&self) -> bool {
        std::fs::exists(format!("{}.leave-{}", self.setup.log, self.setup.id))
            .unwrap_or(false)
    }

    /// Goes on for a while after the drain was acknowledged, says that it leaves, and ends;
    /// without a confirmation some seconds later.
    fn leave(&self) -> ! {
        thread::sleep(DRAIN + Duration::from_millis(300));
        let path = format!("/v1/instances/{}/deregister", self.setup.id);
        let body = format!("{{\"born\":{}}}", self.born);
        let since = Instant::now();
        self.log("leaves - 0");
        for node in &self.setup.leave_controls {
            let host = node.to_string();
            let answer = http::call(
                *node,
                "POST",
                &host,
                &path,
                &[],
                &body,
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|answer| (200..300).contains(&answer.status)) {
                self.finish();
            }
            thread::sleep(Duration::from_millis(500));
        }
        thread::sleep(UNCONFIRMED_END.saturating_sub(since.elapsed()));
        self.finish()
    }

    fn finish(&self) -> ! {
        let mut state = self.state.lock().unwrap();
        while !state.runs.is_empty() {
            self.end(&mut state, 0, "gone");
        }
        std::process::exit(0);
    }

    /// Sends a report every interval, to the next node after a failure.
    fn report(&self) {
        let setup = &self.setup;
        let mut sequence = 0;
        let mut at = self.born as usize;
        let mut preferred: Option<SocketAddr> = None;
        thread::sleep(FIRST_BEAT);
        loop {
            sequence += 1;
            let leaving = self.is_leaving();
            let state = match leaving {
                true => "\"draining\",\"remaining_ms\":2300",
                false => "\"ready\"",
            };
            let mut confirmed = false;
            let body = format!(
                "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":{state},\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{},\
                 \"mem_mb\":32768,\"gpu\":0}},\"labels\":[\"{}\",\"{}\"],\"clock_ms\":{},\
                 \"born\":{},\"call_seq\":{sequence}}}",
                setup.backend,
                setup.reported,
                setup.zone,
                setup.cpu,
                setup.kind,
                setup.rack,
                self.clock(),
                self.born
            );
            let path = format!("/v1/instances/{}/heartbeat", setup.id);
            for _ in 0..setup.controls.len() {
                let node = preferred.unwrap_or(setup.controls[at % setup.controls.len()]);
                let answer = http::call(
                    node,
                    "POST",
                    &node.to_string(),
                    &path,
                    &[],
                    &body,
                    Duration::from_secs(1),
                );
                match answer {
                    Ok(answer) if (200..300).contains(&answer.status) => {
                        let body = Json::parse(answer.body.as_bytes());
                        let next =
                            body.as_ref().and_then(|body| body.text("heartbeat_addr"));
                        preferred = next.and_then(|next| next.parse().ok());
                        confirmed = true;
                        break;
                    }
                    _ => {
                        preferred = None;
                        at += 1;
                    }
                }
            }
            if leaving && confirmed {
                self.leave();
            }
            thread::sleep(Duration::from_millis(setup.beat_ms));
        }
    }
}

/// Runs a minion until the process is killed.
pub fn run(setup: Setup) {
    let listener = loop {
        match TcpListener::bind(setup.address) {
            Ok(listener) => break listener,
            Err(_) => thread::sleep(Duration::from_millis(100)),
        }
    };
    let minion = Arc::new(Minion {
        born: wall_ms(),
        start: Instant::now(),
        setup,
        state: Mutex::default(),
        changed: Condvar::new(),
    });
    minion.log(&format!("born {}", minion.born));
    for work in [Minion::advance as fn(&Minion), Minion::report] {
        let minion = Arc::clone(&minion);
        thread::spawn(move || work(&minion));
    }
    http::serve(listener, move |request| minion.answer(&request));
}
