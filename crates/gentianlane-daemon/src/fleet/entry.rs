//! An entry: takes callers' requests to the core that leads, and puts its
//! questions for advice.

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
use crate::fleet::forward::{self, Forward, Passed};
use crate::fleet::log::Lines;
use crate::fleet::metrics::Metrics;
use crate::fleet::server::{self, Asked, Server};
use crate::fleet::settings::Fault;
use crate::fleet::stop::{Request, Signals};

/// How long a caller is taken to wait if it doesn't say.
const PATIENCE: Duration = Duration::from_millis(3_000);

/// What is left of a caller's patience when it is answered at the latest, and
/// at most a quarter of it.
const ANSWER_RESERVE: Duration = Duration::from_millis(250);

/// When the balancer may ask again whether the entry is ready; it asks each
/// second anyway.
const NOT_READY_RETRY: Span = Span::from_millis(1_000);

/// How often the settings file is looked at.
const SETTINGS_STEP: Duration = Duration::from_secs(1);

/// How long an entry that stops takes connections that the balancer still
/// sends: it looks every second and needs two misses.
const BALANCER_LAG: Duration = Duration::from_millis(2_500);

/// What is left of the grace when the process ends at the latest.
const STOP_RESERVE: Duration = Duration::from_millis(700);

/// How often a stopping entry looks whether all is answered.
const STOP_STEP: Duration = Duration::from_millis(50);

/// How long the entry counts as ready after it lost the leader.
const READY_LAG: Span = Span::from_millis(2_500);

/// Runs an entry until it is told to stop.
pub(crate) fn run(path: &Path) -> Result<()> {
    let settings = Settings::read(path)?;
    let lines = Lines::start();
    let log = lines.logger(&settings.node);
    info!(log, "starts"; "seeds" => ?settings.seeds);
    let shared = Forward::new(&settings, Clock::start(), Metrics::default(), log);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(serve(path, settings, shared))
}

async fn serve(path: &Path, settings: Settings, shared: Forward) -> Result<()> {
    let front = settings.front.ok_or(Fault::Missing { field: "front" })?;
    let ready = settings.ready.ok_or(Fault::Missing { field: "ready" })?;
    let mut signals = Signals::listen().into_diagnostic()?;
    let server = Server::new();
    tokio::spawn(forward::keep_link(shared.clone(), settings.link_port));
    let relay = TcpListener::bind(settings.link()).await.into_diagnostic()?;
    tokio::spawn(forward::accept(relay, shared.clone()));
    let caller = shared.clone();
    server
        .listen(front, move |asked| serve_caller(caller.clone(), asked))
        .await
        .into_diagnostic()?;
    let (asked, own) = (shared.clone(), server.clone());
    let balancer = Server::new();
    balancer
        .listen(ready, move |_| readiness(asked.clone(), own.clone()))
        .await
        .into_diagnostic()?;
    server::serve_metrics(&balancer, &settings, &shared.metrics, &shared.log).await;
    info!(shared.log, "runs"; "front" => %front);
    let grace = settings.grace();
    let mut known = settings;
    loop {
        tokio::select! {
            request = signals.next() => match request {
                Request::Stop => break,
                Request::Reload => shared.reload(path, &mut known),
            },
            () = sleep(SETTINGS_STEP) => shared.reload(path, &mut known),
        }
    }
    stop(&server, &shared, grace).await;
    Ok(())
}

/// Takes what the balancer still sends, then ends once all is answered.
async fn stop(server: &Server, shared: &Forward, grace: Duration) {
    info!(shared.log, "stops");
    server.stop();
    let end = Instant::now() + grace.saturating_sub(STOP_RESERVE);
    sleep(BALANCER_LAG.min(grace / 2)).await;
    server.end();
    while server.open() > 0 && Instant::now() < end {
        sleep(STOP_STEP).await;
    }
    info!(shared.log, "stopped"; "open" => server.open());
    sleep(STOP_STEP).await;
}

/// Whether the balancer should send callers here.
async fn readiness(shared: Forward, server: Server) -> Response {
    let reaches = shared.unlinked().is_some_and(|lag| lag < READY_LAG);
    match reaches && !server.is_stopping() {
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
async fn serve_caller(shared: Forward, asked: Asked) -> Response {
    let Asked {
        method,
        host,
        path,
        patience,
        body,
    } = asked;
    let call = match platform::front::decode(&method, &host, &path, &body) {
        Ok(call) => call,
        Err(fault) => {
            warn!(shared.log, "malformed"; "path" => path, "fault" => %fault);
            return Response::malformed(&fault);
        }
    };
    let began = Instant::now();
    let patience = patience.unwrap_or(PATIENCE);
    let response = pass_on(&shared, call, patience).await;
    shared.metrics.time("request", began.elapsed());
    if response.status >= 429 {
        shared.metrics.count("turned_away", 1);
        info!(shared.log, "answer"; "method" => method, "path" => path,
            "status" => response.status, "took_ms" => began.elapsed().as_millis());
    }
    response
}

/// Takes a call to the leader while the caller waits.
async fn pass_on(shared: &Forward, call: Call, patience: Duration) -> Response {
    let limit = patience.saturating_sub(ANSWER_RESERVE.min(patience / 4));
    match shared.pass(call, limit).await {
        Passed::Answered(reply) => platform::front::encode(&reply).unwrap_or_else(|| {
            Response::unsure("the leader's answer is of another kind")
        }),
        Passed::Unmade(retry) => Response::unavailable("no leader is known", retry),
        Passed::Unsure => Response::unsure("the leader hasn't answered"),
    }
}
