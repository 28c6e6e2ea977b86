//! The process of a core: keeps a replica of the log, serves workers' and
//! operators' calls and, while it leads, sends orders to the workers.
//!
//! The control thread owns the node and its journal. The main thread, called the
//! traffic thread, does the network I/O on a single-threaded runtime.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use flume::Receiver;
use gentianlane::fleet::call::{Call, Reply};
use gentianlane::fleet::link::LeaderHint;
use gentianlane::id;
use gentianlane_platform::{self as platform, Response};
use indexmap::IndexMap;
use miette::{IntoDiagnostic, Result};
use slog::{crit, info, warn};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::fleet::Settings;
use crate::fleet::control::{
    Control, EFFECT_QUEUE_LIMIT, Effect, Input, Inputs, Queued, ReplyTarget,
    control_address,
};
use crate::fleet::forward::{self, ForwardOutcome, Forwarder, lock};
use crate::fleet::intake::{Group, Intake};
use crate::fleet::lateness::{self, Lateness};
use crate::fleet::link_server;
use crate::fleet::log::LogWriter;
use crate::fleet::metrics::Metrics;
use crate::fleet::replica::{build_node, identity, open_journal};
use crate::fleet::server::{self, HttpRequest, Port, Server};
use crate::fleet::settings::Fault;
use crate::fleet::shared::{BUSY_RETRY, OWN_RELAY, Shared, broadcast_hint_later};
use crate::fleet::stop::{SignalRequest, Signals};
use crate::fleet::traffic::Traffic;

/// The time limit for a call of a worker or an operator. They turn to another
/// node after a second, so the answer has to be sent before that.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// How long a process that ends waits for its last replies to be written.
const REPLY_DRAIN_TIME: Duration = Duration::from_millis(300);

/// The longest body of a call, in bytes. Workers' reports and operators' plans are the
/// longest.
const BODY_LIMIT: usize = 4 << 20;

/// The connections of workers, operators and health checks.
const CALLERS: Group = Group(0);

/// How often the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a core until it is told to stop.
pub(crate) fn run(path: &Path) -> Result<()> {
    let settings = Settings::read(path)?;
    let log_writer = LogWriter::start();
    let log = log_writer.logger(&settings.node);
    let clock = Clock::start();
    let node = identity(&settings)?;
    let budget = settings.descriptor_budget();
    info!(log, "starts"; "id" => %node, "bootstrap" => settings.bootstrap,
        "seeds" => ?settings.seeds, "budget" => %budget);
    let (journal, durable_state) = open_journal(&settings, node)?;
    let built = build_node(&settings, node, durable_state, clock.now());
    let (inputs, receiver) = Inputs::queue(clock);
    let (effects, effect_receiver) = flume::bounded(EFFECT_QUEUE_LIMIT);
    let order_backlog: Arc<AtomicUsize> = Arc::default();
    let metrics = Metrics::default();
    let lateness =
        |thread, what| Lateness::new(thread, what, metrics.clone(), log.clone());
    let effect_wait = lateness("traffic", "effect_wait");
    let timers = lateness("traffic", "timer_late");
    let control = Control {
        node: built,
        journal,
        clock,
        effects,
        order_backlog: order_backlog.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
        log_writer,
        pending_replies: IndexMap::new(),
        last_ticket: 0,
        unflushed: Vec::new(),
        written: 0,
        last_hint: LeaderHint::default(),
        input_wait: lateness("control", "input_wait"),
        pass: lateness("control", "pass"),
    };
    let logger = log.clone();
    let thread = thread::Builder::new().name("control".to_owned());
    let spawned = thread.spawn(move || {
        if let Err(fault) = control.run(&receiver) {
            crit!(logger, "ends"; "fault" => %fault);
            // The log thread still has to write the line.
            thread::sleep(LOG_DRAIN_TIME);
            std::process::exit(i32::from(crate::command::EXIT_FAULT));
        }
    });
    spawned.into_diagnostic()?;
    let own_address = settings
        .control
        .ok_or(Fault::Missing { field: "control" })?;
    let shared = Shared {
        own_address,
        clock,
        inputs,
        forwarder: Forwarder::new(&settings, clock, metrics.clone(), log.clone()),
        budget,
        leader_hint: Arc::default(),
        links: Arc::default(),
        dial_wakers: Arc::default(),
        entries_changed: Arc::default(),
        order_backlog,
        order_losses: Arc::default(),
        metrics,
        log,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(async {
        tokio::spawn(lateness::measure_timers(timers, clock));
        serve(path, settings, node, shared, &effect_receiver, effect_wait).await
    })
}

/// How long a process that ends waits for the log thread to write the last
/// lines.
const LOG_DRAIN_TIME: Duration = Duration::from_millis(50);

/// Runs the traffic thread: binds the sockets, executes the control thread's
/// effects and handles signals, until the control thread has ended.
async fn serve(
    path: &Path,
    settings: Settings,
    node: id::Node,
    shared: Shared,
    effects: &Receiver<Queued<Vec<Effect>>>,
    mut effect_wait: Lateness,
) -> Result<()> {
    let mut signals = Signals::listen().into_diagnostic()?;
    let intake = Intake::of_memory(settings.memory_limit());
    tokio::spawn(server::report_intake(
        intake.clone(),
        shared.metrics.clone(),
        shared.log.clone(),
    ));
    let server = Server::new(shared.budget.callers, intake, CALLERS);
    let listener = TcpListener::bind(settings.link_address())
        .await
        .into_diagnostic()?;
    tokio::spawn(link_server::accept(listener, node, shared.clone()));
    tokio::spawn(forward::maintain_link(
        shared.forwarder.clone(),
        settings.link_port,
    ));
    let control_shared = shared.clone();
    let handler = move |request| serve_control_call(control_shared.clone(), request);
    server
        .listen(
            shared.own_address,
            Port::new(BODY_LIMIT).repeating_bodies(),
            handler,
        )
        .await
        .into_diagnostic()?;
    server::serve_metrics(&server, &settings, &shared.metrics, &shared.log).await;
    shared
        .inputs
        .send_async(Input::Relay(OWN_RELAY, true))
        .await;
    info!(shared.log, "runs"; "control" => %shared.own_address);
    let mut current = settings.clone();
    let mut traffic = Traffic::new(node, settings.link_port, shared.clone());
    let mut stopping = false;
    loop {
        tokio::select! {
            batch = effects.recv_async() => {
                let Ok(batch) = batch else {
                    return Ok(());
                };
                let now = shared.clock.now();
                effect_wait.record(now.since(batch.since), now);
                for effect in batch.item {
                    if matches!(effect, Effect::Stopped) {
                        tokio::time::sleep(REPLY_DRAIN_TIME).await;
                        info!(shared.log, "stopped");
                        tokio::time::sleep(LOG_DRAIN_TIME).await;
                        return Ok(());
                    }
                    traffic.execute(effect);
                }
            }
            request = signals.next(), if !stopping => match request {
                SignalRequest::Stop => {
                    stopping = true;
                    info!(shared.log, "stops");
                    server.stop();
                    shared.inputs.send_async(Input::Stop).await;
                }
                SignalRequest::Reload => shared.forwarder.reload(path, &mut current),
            },
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {
                shared.forwarder.reload(path, &mut current);
            }
        }
        if shared.entries_changed.swap(false, Ordering::Relaxed) {
            broadcast_hint_later(&shared);
        }
    }
}

/// Serves a worker's or an operator's call, through the leader if this node
/// isn't it.
async fn serve_control_call(shared: Shared, request: HttpRequest) -> Response {
    let call =
        match platform::control::decode(&request.method, &request.path, &request.body) {
            Ok(call) => call,
            Err(fault) => {
                warn!(shared.log, "malformed"; "path" => request.path, "fault" => %fault);
                return Response::malformed(&fault);
            }
        };
    let is_report = matches!(call, Call::Report(_));
    let reply = match call_own_node(&shared, call.clone()).await {
        None => {
            shared.metrics.count("busy", 1);
            return Response::unavailable("the node is busy", BUSY_RETRY);
        }
        Some(Reply::NotLeader(_)) => {
            match shared.forwarder.forward(call, CALL_TIMEOUT).await {
                ForwardOutcome::Answered(reply) => reply,
                // The caller may reach a leader that this node can't.
                ForwardOutcome::NotApplied(_) => Reply::NotLeader(None),
                ForwardOutcome::Indeterminate => Reply::Indeterminate,
            }
        }
        Some(reply) => reply,
    };
    let hint = lock(&shared.leader_hint).clone();
    let leader = hint
        .leader
        .map(|vm| control_address(shared.own_address, vm));
    platform::control::encode(
        is_report,
        &request.path,
        &reply,
        shared.own_address,
        leader,
    )
}

/// Calls this process's own node. `None` if the input queue is full; a call
/// that isn't answered in time is indeterminate.
async fn call_own_node(shared: &Shared, call: Call) -> Option<Reply> {
    let (sender, receiver) = oneshot::channel();
    let input = Input::Call(call, ReplyTarget::Local(sender));
    shared.inputs.try_send(input).ok()?;
    match tokio::time::timeout(CALL_TIMEOUT, receiver).await {
        Ok(Ok(reply)) => Some(reply),
        Ok(Err(_)) | Err(_) => Some(Reply::Indeterminate),
    }
}
