//! Clients that don't behave: each crowd leaves the processes alive and within the
//! memory and descriptors of their settings, and an ordinary caller is answered.
#![allow(clippy::unwrap_used, clippy::panic, reason = "a test ends at a fault")]
#![cfg(target_os = "linux")]

mod common;
#[path = "clients/crowd.rs"]
mod crowd;

use std::fs;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use common::Process;
use common::system::{self, System, ask};
use crowd::{Crowd, Script};
use serde_json::json;

/// The memory in the processes' settings, which no process may exceed.
const MEMORY_MB: u64 = 64;

/// The descriptors for callers in the processes' settings; more than a crowd has clients,
/// unless a test says otherwise.
const CALLERS: usize = 512;

/// How long an ordinary caller tries before its request counts as unanswered.
const PATIENCE: Duration = Duration::from_secs(60);

/// The pause of an ordinary caller before it tries again, unless it was told one.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// How long the peak has to stay the same before what was sent counts as arrived, and
/// how long that may take.
const SETTLED: Duration = Duration::from_secs(1);
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// A caller's body within the limit of 262,144 bytes.
const CALLER_BODY: usize = 261_000;

/// The longest body that a core takes, which is a report or a plan, in bytes.
const LARGE_BODY: usize = 4 << 20;

/// A job's path, and its body.
const JOB: &str = "/q/00000000000000aa";
const STEPS: &str =
    r#"{"task_spec":"t","steps":[{"count":1,"cpu":5,"mem_mb":1,"estimated_ms":100}]}"#;

/// A crowd loads the machine, so that the tests run one after another.
static ALONE: Mutex<()> = Mutex::new(());

/// Where a crowd goes to, and what an ordinary caller asks there.
#[derive(Clone, Copy)]
enum Port {
    Front,
    Control,
    Ready,
    Metrics,
}

impl Port {
    fn address(self) -> SocketAddr {
        match self {
            Self::Front => system::front(),
            Self::Control => system::control(),
            Self::Ready => system::ready(),
            Self::Metrics => system::metrics("entry"),
        }
    }

    /// Whether an ordinary request is answered within [`PATIENCE`]. It is tried again if
    /// its connection is closed, or after the delay that a refusal names.
    fn answers(self) -> bool {
        let plan = system::plan_of(1, 1_000);
        let (method, path, body) = match self {
            Self::Front => ("POST", JOB, STEPS),
            Self::Control => ("POST", "/v1/config/replace", plan.as_str()),
            Self::Ready => ("GET", "/v1/ready", ""),
            Self::Metrics => ("GET", "/metrics", ""),
        };
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            let told = ask(method, self.address(), path, body);
            if told.as_ref().is_some_and(|told| told.status == 200) {
                return true;
            }
            let delay = told.and_then(|told| told.retry_after);
            thread::sleep(delay.unwrap_or(RETRY_DELAY).min(PATIENCE / 10));
        }
        false
    }
}

/// A system that a crowd comes to.
struct Trial {
    system: System,
    /// The descriptors in the processes' settings, which no process may exceed.
    budget: usize,
    /// The most descriptors that each process was seen to have open.
    descriptors: [usize; 2],
    _alone: MutexGuard<'static, ()>,
}

impl Trial {
    fn start() -> Self {
        Self::start_with_callers(CALLERS)
    }

    fn start_with_callers(callers: usize) -> Self {
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let trial = Self {
            system: System::start(&json!({
                "memory_mb": MEMORY_MB,
                "descriptors": {
                    "workers": 64, "callers": callers, "links": 32, "reserve": 32,
                },
            })),
            budget: 64 + callers + 32 + 32,
            descriptors: [0; 2],
            _alone: alone,
        };
        println!("before: {:?} KiB at their peak", trial.peaks());
        trial
    }

    fn processes(&self) -> [(&'static str, &Process); 2] {
        [("core", &self.system.core), ("entry", &self.system.entry)]
    }

    /// The processes' peaks of resident memory, in KiB; fails if one has ended.
    fn peaks(&self) -> [u64; 2] {
        self.processes().map(|(role, process)| {
            let status = fs::read_to_string(format!("/proc/{}/status", process.id()));
            let status = status.unwrap();
            let mut lines = status.lines();
            let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
            let Some(peak) = peak else {
                panic!("{role} has ended: {}", self.system.log(role));
            };
            peak.split_whitespace().next().unwrap().parse().unwrap()
        })
    }

    /// Notes how many descriptors the processes have open.
    fn look(&mut self) {
        let open = self.processes().map(|(_, process)| {
            let entries = fs::read_dir(format!("/proc/{}/fd", process.id()));
            entries.map_or(0, Iterator::count)
        });
        for (most, open) in self.descriptors.iter_mut().zip(open) {
            *most = open.max(*most);
        }
    }

    /// Waits until the peaks stay the same, as the processes may still read what was sent.
    fn settle(&mut self) {
        let end = Instant::now() + SETTLE_TIME;
        let mut last = (self.peaks(), Instant::now());
        while last.1.elapsed() < SETTLED && Instant::now() < end {
            thread::sleep(RETRY_DELAY);
            self.look();
            let peaks = self.peaks();
            if peaks != last.0 {
                last = (peaks, Instant::now());
            }
        }
    }

    /// Sends a crowd to a port and checks all that has to hold while it stays open, and
    /// that an ordinary request is answered after it.
    fn withstands(&mut self, port: Port, clients: usize, scripts: &[Script]) {
        let crowd = Crowd::send(port.address(), clients, scripts, || self.look());
        let answered = port.answers();
        self.settle();
        let peaks = self.peaks();
        println!(
            "{} clients, {} bytes; core, entry: {peaks:?} KiB at their peak, {:?} \
             descriptors; an ordinary request is answered: {answered}",
            crowd.clients(),
            crowd.bytes(),
            self.descriptors,
        );
        assert!(answered, "no answer beside the crowd");
        for (peak, open) in peaks.into_iter().zip(self.descriptors) {
            assert!(peak < MEMORY_MB << 10, "{peak} KiB at its peak");
            assert!(open < self.budget, "{open} descriptors");
        }
        drop(crowd);
        assert!(port.answers(), "no answer after the crowd");
        self.peaks();
    }
}

/// The start of a request's head.
const HEAD: &str = "GET /q/00000000000000ab HTTP/1.1\r\nHost: a\r\n";

/// A header line of as many bytes.
fn header(length: usize) -> String {
    format!("X-Crowd: {}\r\n", "a".repeat(length - 11))
}

#[test]
fn heads_without_end_exhaust_no_memory() {
    let scripts = [96, 96, 96, 256].map(|lines| Script::new(HEAD, header(4_096), lines));
    Trial::start().withstands(Port::Front, 400, &scripts);
}

#[test]
fn empty_lines_without_end_exhaust_no_memory() {
    let scripts =
        [24, 24, 24, 64].map(|many| Script::new("", "\r\n".repeat(8_192), many));
    Trial::start().withstands(Port::Front, 400, &scripts);
}

#[test]
fn heads_over_the_limit_exhaust_no_memory() {
    let whole = format!("{HEAD}{}\r\n", header(64 << 10));
    let short = format!("{HEAD}{}\r", header(256 << 10));
    let scripts = [whole, short.clone(), short.clone(), short];
    let scripts = scripts.map(|head| Script::new(head, "", 0));
    Trial::start().withstands(Port::Front, 400, &scripts);
}

#[test]
fn legal_bodies_a_byte_short_exhaust_no_memory() {
    let scripts = [Script::short_body(JOB, CALLER_BODY)];
    Trial::start().withstands(Port::Front, 400, &scripts);
}

#[test]
fn large_bodies_at_an_entry_exhaust_no_memory() {
    let scripts = [Script::short_body(JOB, LARGE_BODY)];
    Trial::start().withstands(Port::Front, 100, &scripts);
}

#[test]
fn large_bodies_at_a_core_exhaust_no_memory() {
    let scripts = [Script::short_body("/v1/config/replace", LARGE_BODY)];
    Trial::start().withstands(Port::Control, 100, &scripts);
}

#[test]
fn bodies_in_large_chunks_exhaust_no_memory() {
    let scripts = [Script::chunked(JOB, 4_096, 1, 63)];
    Trial::start().withstands(Port::Front, 400, &scripts);
}

#[test]
fn bodies_in_chunks_of_a_byte_exhaust_no_memory() {
    let scripts = [Script::chunked(JOB, 1, 1_024, 16)];
    Trial::start().withstands(Port::Front, 400, &scripts);
}

#[test]
fn bodies_piece_by_piece_exhaust_no_memory() {
    let scripts = [Script::body_in_pieces(JOB, CALLER_BODY, 300)];
    Trial::start().withstands(Port::Front, 400, &scripts);
}

#[test]
fn large_bodies_at_the_metrics_exhaust_no_memory() {
    let scripts = [Script::short_body("/metrics", LARGE_BODY)];
    Trial::start().withstands(Port::Metrics, 60, &scripts);
}

#[test]
fn large_bodies_at_the_readiness_check_exhaust_no_memory() {
    let scripts = [Script::short_body("/v1/ready", LARGE_BODY)];
    Trial::start().withstands(Port::Ready, 60, &scripts);
}

#[test]
fn a_second_crowd_uses_the_memory_of_the_first() {
    let scripts = [Script::short_body(JOB, CALLER_BODY)];
    let mut trial = Trial::start();
    trial.withstands(Port::Front, 400, &scripts);
    trial.withstands(Port::Front, 400, &scripts);
}

/// Requests that are sent one after another, without reading an answer.
fn requests(path: &str, count: usize) -> Script {
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
    Script::new("", request, count)
}

/// Has a trial's core take a plan whose text is long, so that answers with it are.
fn take_long_plan() {
    let plan = system::plan_of(2, 2_000);
    let told = ask("POST", system::control(), "/v1/config/replace", &plan);
    assert_eq!(told.map(|told| told.status), Some(200));
}

#[test]
fn clients_that_read_no_answers_exhaust_no_memory() {
    let mut trial = Trial::start();
    take_long_plan();
    println!("with the plan: {:?} KiB at their peak", trial.peaks());
    trial.withstands(Port::Control, 200, &[requests("/v1/config/read", 100)]);
}

/// More clients than a core has descriptors for callers.
#[test]
fn clients_that_read_no_answers_keep_no_caller_out() {
    let mut trial = Trial::start_with_callers(100);
    take_long_plan();
    trial.withstands(Port::Control, 150, &[requests("/v1/config/read", 100)]);
}

/// More clients than an entry has descriptors for callers.
#[test]
fn silent_clients_keep_no_caller_out() {
    let mut trial = Trial::start_with_callers(100);
    trial.withstands(Port::Front, 150, &[Script::new("", "", 0)]);
}
