//! The routes of the HTTP API.

use std::io::Read;
use std::time::Instant;

use gentianlane::api::{Call, NoteText, Order, Refusal, Reply, Submit};
use gentianlane::id;
use gentianlane::verdict::Reason;
use rouille::{Request, Response};
use serde::de::DeserializeOwned;

use crate::connection::http::head::Fault;
use crate::process::telemetry::trace::{self, Tracer};
use crate::process::telemetry::{self, Telemetry};
use crate::request::gateway::Gateway;
use crate::request::local;

/// What the handlers of all requests share.
#[derive(Clone)]
pub(crate) struct Service {
    pub(crate) gateway: Gateway,
    pub(crate) telemetry: Telemetry,
}

/// Handles one request.
pub(super) fn serve(service: &Service, request: &Request) -> Response {
    let gateway = &service.gateway;
    match (request.method(), request.url().as_str()) {
        ("GET", "/health") => health(gateway),
        ("GET", "/ready") => ready(gateway),
        (method, path) => match parse_call(method, path, request) {
            Ok(call) => respond(&call_leader(service, &call, request)),
            Err(refusal) => respond(&Reply::Refused(refusal)),
        },
    }
}

/// Sends a call to the leader, with a span and metrics.
fn call_leader(service: &Service, call: &Call, request: &Request) -> Reply {
    let Telemetry { metrics, tracer } = &service.telemetry;
    let name = telemetry::call_name(call);
    let parent = request.header("traceparent");
    let parent = parent.and_then(|parent| parent.parse().ok());
    let span = tracer.start_span("entry", name, parent);
    let started = Instant::now();
    let traced = span.as_ref().and_then(|span| with_trace(call, span));
    let call = traced.as_ref().unwrap_or(call);
    let reply = trace::Span::in_scope(span.as_ref(), || service.gateway.call(call));
    trace_orders(tracer, &reply);
    metrics.call_answered(name, &reply, started.elapsed());
    reply
}

/// A copy of a submitted request with the span to which its orders belong; `None`
/// for other calls.
fn with_trace(call: &Call, span: &trace::Span) -> Option<Call> {
    let Call::Submit(submit) = call else {
        return None;
    };
    let trace = Some(span.context().to_string());
    Some(Call::Submit(Submit {
        trace,
        ..submit.clone()
    }))
}

/// Records a span in the request's trace for each start order sent to a worker.
fn trace_orders(tracer: &Tracer, reply: &Reply) {
    let Reply::Lease(lease) = reply else {
        return;
    };
    for order in &lease.orders {
        if let Order::Start {
            trace: Some(trace), ..
        } = order
        {
            drop(tracer.start_span("order", "start", trace.parse().ok()));
        }
    }
}

/// The response to a request that couldn't be read.
pub(super) fn malformed(fault: Fault) -> Response {
    let refusal = Refusal::not_run(Reason::Malformed, fault.to_string());
    respond(&Reply::Refused(refusal)).with_status_code(fault.status())
}

/// The response while too many requests are open.
pub(super) fn overloaded() -> Response {
    respond(&Reply::Refused(local::overloaded("too many open requests")))
}

fn health(gateway: &Gateway) -> Response {
    match gateway.is_stopping() {
        true => Response::text("stopping\n").with_status_code(503),
        false => Response::text("ok\n"),
    }
}

fn ready(gateway: &Gateway) -> Response {
    match gateway.is_ready() {
        true => Response::text("ready\n"),
        false => Response::text("not ready\n").with_status_code(503),
    }
}

/// Parses a request into a call.
fn parse_call(method: &str, path: &str, request: &Request) -> Result<Call, Refusal> {
    Ok(match (method, path) {
        ("POST", "/v1/requests") => Call::Submit(parse_body(request)?),
        ("POST", "/v1/requests/wait") => Call::Wait(parse_body(request)?),
        ("POST", "/v1/requests/cancel") => Call::Cancel(parse_body(request)?),
        ("POST", "/v1/workers/announce") => Call::Announce(parse_body(request)?),
        ("POST", "/v1/workers/renew") => Call::Renew(parse_body(request)?),
        ("POST", "/v1/workers/finish") => Call::Finish(parse_body(request)?),
        ("POST", "/v1/workers/leave") => Call::Leave(parse_body(request)?),
        ("POST", "/v1/workers/drain") => Call::Drain(parse_body(request)?),
        ("POST", "/v1/notes") => Call::Note(parse_body::<NoteText>(request)?),
        ("GET", "/v1/notes") => Call::NoteStatus,
        ("GET", "/v1/workers") => Call::Workers,
        ("GET", "/v1/jobs") => Call::Jobs,
        ("GET", "/v1/members") => Call::Members,
        ("GET", path) => Call::Explain(parse_job(path)?),
        _ => return Err(unknown_route(method, path)),
    })
}

fn parse_job(path: &str) -> Result<id::Job, Refusal> {
    let number = path.strip_prefix("/v1/jobs/").map(str::parse);
    match number {
        Some(Ok(number)) => Ok(id::Job(number)),
        _ => Err(unknown_route("GET", path)),
    }
}

fn unknown_route(method: &str, path: &str) -> Refusal {
    Refusal::not_run(Reason::Malformed, format!("there is no {method} {path}"))
}

fn parse_body<T: DeserializeOwned>(request: &Request) -> Result<T, Refusal> {
    let Some(mut data) = request.data() else {
        return Err(Refusal::not_run(Reason::Malformed, "the body is missing"));
    };
    let mut bytes = Vec::new();
    data.read_to_end(&mut bytes)
        .map_err(|error| Refusal::not_run(Reason::Malformed, error.to_string()))?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Refusal::not_run(Reason::Malformed, error.to_string()))
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

/// The HTTP status code for a refusal.
fn status(reason: Reason) -> u16 {
    match reason {
        Reason::Pending => 202,
        Reason::Malformed => 400,
        Reason::UnknownWorkload | Reason::UnknownKey => 404,
        Reason::KeyReused | Reason::WorkerLost => 409,
        Reason::KeyExpired | Reason::KeyAhead => 410,
        Reason::Quota | Reason::Overloaded => 429,
        Reason::NoQuorum | Reason::Stopping | Reason::DiskFull => 503,
        _ => 422,
    }
}
