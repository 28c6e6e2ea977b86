//! Callers: they submit jobs over connections that they keep, repeat what was refused
//! or lost, ask for states and cancel.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::fleet::{ATTEMPTS, ENTRIES, Fleet};
use crate::http::Connection;
use crate::record::{Job, Kind, Record};

const LIMIT: Duration = Duration::from_secs(4);

pub(crate) struct Caller<'a> {
    fleet: &'a Fleet,
    record: &'a Record,
    rng: ChaCha8Rng,
    connections: Vec<Option<Connection>>,
    number: u64,
    submitted: u64,
    /// The accepted jobs whose end it hasn't seen.
    open: Vec<String>,
}

impl<'a> Caller<'a> {
    pub(crate) fn new(
        fleet: &'a Fleet,
        record: &'a Record,
        seed: u64,
        number: u64,
    ) -> Self {
        Self {
            fleet,
            record,
            rng: ChaCha8Rng::seed_from_u64(seed << 8 | number),
            connections: (0..ENTRIES).map(|_| None).collect(),
            number,
            submitted: 0,
            open: Vec::new(),
        }
    }

    /// Calls until it is told to stop.
    pub(crate) fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(self.rng.random_range(20..120)));
            let some = (!self.open.is_empty())
                .then(|| self.rng.random_range(0..self.open.len()));
            match (self.rng.random_range(0..10), some) {
                (0..4, Some(at)) => self.look(at),
                (4, Some(at)) => self.cancel(at),
                _ if self.open.len() < 20 => self.submit(stop),
                (_, Some(at)) => self.look(at),
                (_, None) => {}
            }
        }
    }

    /// One call at an entry; none without an answer.
    fn ask(&mut self, method: &str, job: &str, body: &str) -> Option<(u16, Value)> {
        let at = self.rng.random_range(0..ENTRIES);
        let address: SocketAddr = self.fleet.front(at);
        let kept = &mut self.connections[usize::from(at)];
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => Connection::open(address, LIMIT).ok()?,
        };
        let told = connection.ask(method, &format!("/q/{job}"), body).ok()?;
        *kept = Some(connection);
        Some(told)
    }

    fn submit(&mut self, stop: &AtomicBool) {
        self.submitted += 1;
        let job = format!("{:06x}{:010x}", self.number, self.submitted);
        let cpu = self.rng.random_range(2..=8) * 250;
        let (kind, tasks, work) = match self.rng.random_range(0..20) {
            0..9 => (Kind::Plain, 1..=6, 100..=900),
            9..15 => (Kind::Plain, 1..=4, 2_000..=6_000),
            15..18 => (Kind::Gang, 2..=4, 300..=3_000),
            _ => (Kind::Lasting, 1..=2, 0..=0),
        };
        let (tasks, work) = (self.rng.random_range(tasks), self.rng.random_range(work));
        let mut step = json!({
            "count": tasks, "cpu": cpu, "mem_mb": 10, "estimated_ms": work,
        });
        let fails = match self.rng.random_range(0..4) {
            0 if work < 1_000 => self.rng.random_range(1..ATTEMPTS),
            _ => 0,
        };
        let mut count = 1;
        let spec = match kind {
            Kind::Plain => {
                let most = if work < 1_000 { 3 } else { 1 };
                count = self.rng.random_range(1..=most);
                format!("cpu={cpu} work={work} fails={fails}")
            }
            Kind::Gang => {
                step["gang"] = true.into();
                format!("cpu={cpu} work={work} gang={tasks} fails={fails}")
            }
            Kind::Lasting => {
                step["long_running"] = true.into();
                format!("cpu={cpu} fails={fails}")
            }
        };
        // Each step follows the one before.
        let mut steps = vec![step];
        for before in 0..count - 1 {
            let mut next = steps[0].clone();
            next["depends_on"] = json!([before]);
            steps.push(next);
        }
        let body = json!({ "task_spec": spec, "steps": steps }).to_string();
        self.post(&job, kind, tasks * count, &body, stop);
    }

    /// Submits a job whose tasks run until it is cancelled.
    pub(crate) fn submit_lasting(&mut self, tasks: u64) {
        self.submitted += 1;
        let job = format!("{:06x}{:010x}", self.number, self.submitted);
        let step = json!({
            "count": tasks, "cpu": 500, "mem_mb": 10, "estimated_ms": 1_000,
            "long_running": true,
        });
        let body = json!({ "task_spec": "cpu=500", "steps": [step] }).to_string();
        self.post(&job, Kind::Lasting, tasks, &body, &AtomicBool::new(false));
    }

    /// Submits a job until it is accepted.
    fn post(&mut self, job: &str, kind: Kind, tasks: u64, body: &str, stop: &AtomicBool) {
        let new = Job {
            kind,
            tasks,
            accepted: false,
            in_doubt: false,
            cancel_sent: false,
            cancelled: None,
            completed: None,
            failed: None,
        };
        self.record.jobs().insert(job.to_owned(), new);
        while !stop.load(Ordering::SeqCst) {
            let told = self.ask("POST", job, body);
            let mut jobs = self.record.jobs();
            let entry = jobs.get_mut(job).unwrap();
            match told {
                Some((200..300, _)) => {
                    entry.accepted = true;
                    self.open.push(job.to_owned());
                    return;
                }
                Some((429 | 503, _)) => {}
                Some((404, _)) => panic!("no queue for job {job}"),
                Some(_) | None => entry.in_doubt = true,
            }
            drop(jobs);
            thread::sleep(Duration::from_millis(self.rng.random_range(50..300)));
        }
    }

    /// Asks for a job's state.
    fn look(&mut self, at: usize) {
        let job = self.open[at].clone();
        if self.see(&job) {
            self.open.swap_remove(at);
        }
    }

    /// Asks for a job's state; whether it is over.
    pub(crate) fn see(&mut self, job: &str) -> bool {
        let told = self.ask("GET", job, "");
        let now = self.record.now();
        let mut jobs = self.record.jobs();
        let entry = jobs.get_mut(job).unwrap();
        match told.as_ref().and_then(|(_, body)| body["state"].as_str()) {
            Some("completed") => entry.completed.get_or_insert(now),
            Some("failed") => entry.failed.get_or_insert(now),
            Some("cancelled") => return true,
            Some(_) | None => return false,
        };
        true
    }

    fn cancel(&mut self, at: usize) {
        let job = self.open[at].clone();
        if self.end(&job) {
            self.open.swap_remove(at);
        }
    }

    /// Cancels a job; whether that is confirmed.
    pub(crate) fn end(&mut self, job: &str) -> bool {
        self.record.jobs().get_mut(job).unwrap().cancel_sent = true;
        let told = self.ask("DELETE", job, "");
        let is_confirmed = matches!(told, Some((200..300 | 410, _)));
        if is_confirmed {
            let now = self.record.now();
            let mut jobs = self.record.jobs();
            jobs.get_mut(job).unwrap().cancelled.get_or_insert(now);
        }
        is_confirmed
    }
}
