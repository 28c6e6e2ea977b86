//! HTTP towards callers, workers and operators.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use gentianlane::api::{Call, NoteText, Refusal, Reply, TEXT_LIMIT};
use gentianlane::id;
use gentianlane::unit::Span;
use gentianlane::verdict::Reason;
use miette::{Result, miette};
use rouille::{Request, Response};
use serde::de::DeserializeOwned;

use crate::request::entry::Entry;

/// The longest body, in bytes: a text and what surrounds it.
const BODY_LIMIT: usize = 4 * TEXT_LIMIT;

/// How many requests one node works on at a time.
const OPEN_LIMIT: usize = 1_024;

/// When to come back while too many requests are open.
const OVERLOAD_RETRY: Span = Span::from_millis(500);

/// How often the listener looks whether it shall stop.
const STEP: Duration = Duration::from_millis(20);

/// The listener and the requests that it has open.
pub(crate) struct Server {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Server {
    /// Binds the address and starts to serve.
    pub(crate) fn start(address: SocketAddr, entry: Entry) -> Result<Self> {
        let open = Arc::new(AtomicUsize::new(0));
        let busy = Arc::clone(&open);
        let server = rouille::Server::new(address, move |request| {
            let before = open.fetch_add(1, Ordering::Relaxed);
            let response = if before < OPEN_LIMIT {
                serve(&entry, request)
            } else {
                respond(&overloaded())
            };
            open.fetch_sub(1, Ordering::Relaxed);
            response
        })
        .map_err(|error| miette!("{address}: {error}"))?;
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            let idle = || busy.load(Ordering::Relaxed) == 0;
            while !(stopped.load(Ordering::Relaxed) && idle()) {
                server.poll_timeout(STEP);
            }
        });
        Ok(Self { stop, thread })
    }

    /// Finishes what is open, then ends.
    pub(crate) fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
    }
}

fn serve(entry: &Entry, request: &Request) -> Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/health") => health(entry),
        ("GET", "/ready") => ready(entry),
        (method, path) => match read(method, path, request) {
            Ok(call) => respond(&entry.ask(&call)),
            Err(refusal) => respond(&Reply::Refused(refusal)),
        },
    }
}

fn health(entry: &Entry) -> Response {
    match entry.is_stopping() {
        true => Response::text("stopping\n").with_status_code(503),
        false => Response::text("ok\n"),
    }
}

fn ready(entry: &Entry) -> Response {
    match entry.is_ready() {
        true => Response::text("ready\n"),
        false => Response::text("not ready\n").with_status_code(503),
    }
}

/// The call that a request makes.
fn read(method: &str, path: &str, request: &Request) -> Result<Call, Refusal> {
    Ok(match (method, path) {
        ("POST", "/v1/requests") => Call::Submit(body(request)?),
        ("POST", "/v1/requests/wait") => Call::Wait(body(request)?),
        ("POST", "/v1/requests/cancel") => Call::Cancel(body(request)?),
        ("POST", "/v1/workers/announce") => Call::Announce(body(request)?),
        ("POST", "/v1/workers/renew") => Call::Renew(body(request)?),
        ("POST", "/v1/workers/finish") => Call::Finish(body(request)?),
        ("POST", "/v1/workers/leave") => Call::Leave(body(request)?),
        ("POST", "/v1/workers/drain") => Call::Drain(body(request)?),
        ("POST", "/v1/notes") => Call::Note(body::<NoteText>(request)?),
        ("GET", "/v1/notes") => Call::NoteStatus,
        ("GET", "/v1/workers") => Call::Workers,
        ("GET", "/v1/jobs") => Call::Jobs,
        ("GET", "/v1/members") => Call::Members,
        ("GET", path) => Call::Explain(job(path)?),
        _ => return Err(unknown(method, path)),
    })
}

fn job(path: &str) -> Result<id::Job, Refusal> {
    let number = path.strip_prefix("/v1/jobs/").map(str::parse);
    match number {
        Some(Ok(number)) => Ok(id::Job(number)),
        _ => Err(unknown("GET", path)),
    }
}

fn unknown(method: &str, path: &str) -> Refusal {
    Refusal::not_run(Reason::Malformed, format!("there is no {method} {path}"))
}

fn body<T: DeserializeOwned>(request: &Request) -> Result<T, Refusal> {
    let Some(data) = request.data() else {
        return Err(Refusal::not_run(Reason::Malformed, "the body is missing"));
    };
    let mut bytes = Vec::new();
    let limit = BODY_LIMIT as u64 + 1;
    if let Err(error) = data.take(limit).read_to_end(&mut bytes) {
        return Err(Refusal::not_run(Reason::Malformed, error.to_string()));
    }
    if bytes.len() > BODY_LIMIT {
        let detail = format!("the body is longer than {BODY_LIMIT} bytes");
        return Err(Refusal::not_run(Reason::Malformed, detail));
    }
    serde_json::from_slice(&bytes)
        .map_err(|error| Refusal::not_run(Reason::Malformed, error.to_string()))
}

fn overloaded() -> Reply {
    let refusal = Refusal::not_run(Reason::Overloaded, "too many open requests");
    Reply::Refused(refusal.retry_after(OVERLOAD_RETRY))
}

fn respond(reply: &Reply) -> Response {
    let Reply::Refused(refusal) = reply else {
        return Response::json(reply);
    };
    let response = Response::json(reply).with_status_code(status(refusal.outcome.reason));
    match refusal.outcome.retry_after {
        Some(span) => {
            let secs = span.as_millis().div_ceil(1_000).to_string();
            response.with_unique_header("Retry-After", secs)
        }
        None => response,
    }
}

/// The status code that goes with a refusal.
fn status(reason: Reason) -> u16 {
    match reason {
        Reason::Pending => 202,
        Reason::Malformed => 400,
        Reason::UnknownWorkload => 404,
        Reason::KeyReused | Reason::WorkerLost => 409,
        Reason::KeyExpired | Reason::KeyAhead => 410,
        Reason::Quota | Reason::Overloaded => 429,
        Reason::NoQuorum | Reason::Stopping | Reason::DiskFull => 503,
        _ => 422,
    }
}
