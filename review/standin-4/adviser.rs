//! The service that knows which workers may run a step; here all of them may.

use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::json::Json;
use crate::record::Record;

/// How long an answer takes, by the queue's `recommendation`.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    pub decision_ms: u64,
    pub each_ms: u64,
    pub validity_ms: u64,
}

/// The adviser. A caller sends one request at a time, so that each connection is served by
/// itself.
pub struct Adviser {
    record: Arc<Record>,
    jobs: Mutex<HashMap<String, Times>>,
    calls: Mutex<HashMap<String, u32>>,
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

impl Adviser {
    pub fn start(
        record: &Arc<Record>,
        address: SocketAddr,
    ) -> std::io::Result<Arc<Self>> {
        let adviser = Arc::new(Self {
            record: Arc::clone(record),
            jobs: Mutex::default(),
            calls: Mutex::default(),
        });
        let listener = TcpListener::bind(address)?;
        let server = Arc::clone(&adviser);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(adviser)
    }

    /// Makes a job's times known, before it is submitted.
    pub fn add_job(&self, id: &str, times: Times) {
        let mut jobs = self.jobs.lock().unwrap_or_else(PoisonError::into_inner);
        jobs.insert(id.to_owned(), times);
    }

    /// How often it was called about a job.
    pub fn calls(&self, id: &str) -> u32 {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.get(id).copied().unwrap_or_default()
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(clone);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let (status, body) = self.answer(&request.body);
            if http::respond(&mut stream, status, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, body: &str) -> (u16, String) {
        let body = Json::parse(body);
        let step = body.as_ref().and_then(|body| body.text("step"));
        let workers = body.as_ref().and_then(|body| body.get("workers"));
        let (Some(step), Some(Json::List(workers))) = (step, workers) else {
            return (400, "{}".to_owned());
        };
        let job = step.split('.').next().unwrap_or_default().to_owned();
        let jobs = self.jobs.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(times) = jobs.get(&job).copied() else {
            return (400, "{}".to_owned());
        };
        drop(jobs);
        self.record
            .note(format!("adviser: {step}, {} workers", workers.len()));
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        *calls.entry(job).or_default() += 1;
        drop(calls);
        let each = times.each_ms * workers.len() as u64;
        thread::sleep(Duration::from_millis(times.decision_ms + each));
        // A worker accepts a ticket until the time that it names.
        let ticket = unix_ms() + times.validity_ms;
        let rows = workers.iter().filter_map(|worker| match worker {
            Json::Text(worker) => Some(format!("[\"{worker}\",\"{ticket}\"]")),
            _ => None,
        });
        let rows: Vec<String> = rows.collect();
        (200, format!("{{\"eligible\":[{}]}}", rows.join(",")))
    }
}
