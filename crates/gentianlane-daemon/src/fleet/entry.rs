//! The process of an entry: serves callers' requests by forwarding them to the
//! leader, and relays the leader's advice requests to the adviser.

use std::path::Path;
use std::time::Duration;

use gentianlane::fleet::call::Call;
use gentianlane::unit::Span;
use gentianlane_platform::{self as platform, Response};
use miette::{IntoDiagnostic, Result};
use slog::{info, warn};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use crate::clock::Clock;
use crate::fleet::Settings;
use crate::fleet::downstream;
use crate::fleet::forward::{self, ForwardOutcome, Forwarder};
use crate::fleet::intake::{Group, Intake};
use crate::fleet::log::LogWriter;
use crate::fleet::metrics::Metrics;
use crate::fleet::server::{self, HttpRequest, Port, READ_BODY_LIMIT, Server};
use crate::fleet::settings::Fault;
use crate::fleet::stop::{SignalRequest, Signals};

/// The deadline of a request without a `Deadline-Ms` header.
const DEFAULT_DEADLINE: Duration = Duration::from_millis(3_000);

/// How long before its deadline a request is answered at the latest; a quarter
/// of the deadline if that is shorter.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// The retry delay in replies to the load balancer while the entry isn't ready.
/// The balancer checks every second anyway.
const NOT_READY_RETRY: Span = Span::from_millis(1_000);

/// The most connections for readiness checks and metrics.
const BALANCER_CONNECTIONS: usize = 32;

/// The longest body of a caller's request, in bytes.
const BODY_LIMIT: usize = 262_144;

/// The connections of callers, and those for readiness checks and metrics.
const CALLERS: Group = Group(0);
const BALANCER: Group = Group(1);

/// How often the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How long an entry that stops still accepts connections: the load balancer
/// checks every second, and takes an entry out after two failed checks.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// How long before the end of the stop grace the process ends at the latest.
const STOP_MARGIN: Duration = Duration::from_millis(700);

/// How often an entry that stops checks whether connections are still open.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long an entry stays ready after it has lost the leader.
const READY_GRACE: Span = Span::from_millis(2_500);

/// Runs an entry until it is told to stop.
pub(crate) fn run(path: &Path) -> Result<()> {
    let settings = Settings::read(path)?;
    let log_writer = LogWriter::start();
    let log = log_writer.logger(&settings.node);
    let budget = settings.descriptor_budget();
    info!(log, "starts"; "seeds" => ?settings.seeds, "budget" => %budget);
    let forwarder = Forwarder::new(&settings, Clock::start(), Metrics::default(), log);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(serve(path, settings, forwarder))
}

async fn serve(path: &Path, settings: Settings, forwarder: Forwarder) -> Result<()> {
    let front = settings.front.ok_or(Fault::Missing { field: "front" })?;
    let ready = settings.ready.ok_or(Fault::Missing { field: "ready" })?;
    let mut signals = Signals::listen().into_diagnostic()?;
    let budget = settings.descriptor_budget();
    let intake = Intake::of_memory(settings.memory_limit());
    tokio::spawn(server::report_intake(
        intake.clone(),
        forwarder.metrics.clone(),
        forwarder.log.clone(),
    ));
    let server = Server::new(budget.callers, intake.clone(), CALLERS);
    tokio::spawn(forward::maintain_link(
        forwarder.clone(),
        settings.link_port,
    ));
    let link_listener = TcpListener::bind(settings.link_address())
        .await
        .into_diagnostic()?;
    let accepting = downstream::accept(link_listener, forwarder.clone(), budget.links);
    tokio::spawn(accepting);
    let caller_forwarder = forwarder.clone();
    server
        .listen(front, Port::new(BODY_LIMIT), move |request| {
            serve_caller(caller_forwarder.clone(), request)
        })
        .await
        .into_diagnostic()?;
    let (ready_forwarder, own_server) = (forwarder.clone(), server.clone());
    let balancer = Server::new(BALANCER_CONNECTIONS, intake, BALANCER);
    balancer
        .listen(ready, Port::new(READ_BODY_LIMIT), move |_| {
            readiness(ready_forwarder.clone(), own_server.clone())
        })
        .await
        .into_diagnostic()?;
    server::serve_metrics(&balancer, &settings, &forwarder.metrics, &forwarder.log).await;
    info!(forwarder.log, "runs"; "front" => %front);
    let grace = settings.stop_grace();
    let mut current = settings;
    loop {
        tokio::select! {
            request = signals.next() => match request {
                SignalRequest::Stop => break,
                SignalRequest::Reload => forwarder.reload(path, &mut current),
            },
            () = sleep(SETTINGS_POLL_INTERVAL) => forwarder.reload(path, &mut current),
        }
    }
    stop(&server, &forwarder, grace).await;
    Ok(())
}

/// Stops the server: accepts connections until the balancer has noticed, then
/// waits until all are closed or the stop grace is nearly over.
async fn stop(server: &Server, forwarder: &Forwarder, grace: Duration) {
    info!(forwarder.log, "stops");
    server.stop();
    let end = Instant::now() + grace.saturating_sub(STOP_MARGIN);
    sleep(BALANCER_DRAIN_TIME.min(grace / 2)).await;
    server.close();
    while server.open_connections() > 0 && Instant::now() < end {
        sleep(STOP_POLL_INTERVAL).await;
    }
    info!(forwarder.log, "stopped"; "open" => server.open_connections());
    sleep(STOP_POLL_INTERVAL).await;
}

/// Answers the load balancer's readiness check.
async fn readiness(forwarder: Forwarder, server: Server) -> Response {
    let reaches_leader = forwarder
        .time_without_leader()
        .is_some_and(|outage| outage < READY_GRACE);
    match reaches_leader && !server.is_stopping() {
        true => Response {
            status: 200,
            retry_after: None,
            location: None,
            body: b"{}".to_vec(),
        },
        false => Response::unavailable("not ready", NOT_READY_RETRY),
    }
}

/// Serves a caller's request.
async fn serve_caller(forwarder: Forwarder, request: HttpRequest) -> Response {
    let HttpRequest {
        method,
        host,
        path,
        deadline,
        credential,
        body,
    } = request;
    let call = match platform::front::decode(&method, &host, &path, &body) {
        Ok(call) => call,
        Err(fault) => {
            warn!(forwarder.log, "malformed"; "path" => path, "fault" => %fault);
            return Response::malformed(&fault);
        }
    };
    let call = match credential {
        Some(credential) => Call::Authorized(credential, Box::new(call)),
        None => call,
    };
    let started = Instant::now();
    let deadline = deadline.unwrap_or(DEFAULT_DEADLINE);
    let response = forward_call(&forwarder, call, deadline).await;
    forwarder.metrics.time("request", started.elapsed());
    if response.status >= 429 {
        forwarder.metrics.count("turned_away", 1);
        info!(forwarder.log, "answer"; "method" => method, "path" => path,
            "status" => response.status, "took_ms" => started.elapsed().as_millis());
    }
    response
}

/// Forwards a call to the leader, with some time left before the deadline to
/// answer the caller.
async fn forward_call(forwarder: &Forwarder, call: Call, deadline: Duration) -> Response {
    let limit = deadline.saturating_sub(ANSWER_MARGIN.min(deadline / 4));
    match forwarder.forward(call, limit).await {
        ForwardOutcome::Answered(reply) => platform::front::encode(&reply)
            .unwrap_or_else(|| {
                Response::indeterminate("the leader's answer doesn't fit the request")
            }),
        ForwardOutcome::NotApplied(retry) => {
            Response::unavailable("no leader is known", retry)
        }
        ForwardOutcome::Indeterminate => {
            Response::indeterminate("the leader hasn't answered before the deadline")
        }
    }
}
