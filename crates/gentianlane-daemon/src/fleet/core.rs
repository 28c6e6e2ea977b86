//! The process of a core: keeps a replica of the log, serves workers' and
//! operators' calls and, while it leads, sends orders to the workers.
//!
//! The control thread owns the node and its journal. The main thread, called the
//! traffic thread, does the network I/O on a single-threaded runtime.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use flume::{Receiver, Sender};
use gentianlane::consensus::{self, Body};
use gentianlane::fleet::call::{Call, Reply};
use gentianlane::fleet::dispatch::Relay;
use gentianlane::fleet::link::{LeaderHint, Packet};
use gentianlane::fleet::{self, Node};
use gentianlane::id;
use gentianlane::unit::{Span, Time};
use gentianlane::wire::Frame;
use gentianlane_platform::{self as platform, Response};
use gentianlane_store::{Journal, Owner};
use indexmap::IndexMap;
use miette::{IntoDiagnostic, Result};
use slog::{Logger, crit, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};

use crate::clock::Clock;
use crate::fleet::Settings;
use crate::fleet::control::{
    Control, EFFECT_QUEUE_LIMIT, Effect, Input, Inputs, Queued, ReplyTarget,
    control_address,
};
use crate::fleet::delivery::{Budget, OrderLosses};
use crate::fleet::forward::{self, ForwardOutcome, Forwarder, lock};
use crate::fleet::lateness::{self, Lateness};
use crate::fleet::link;
use crate::fleet::log::LogWriter;
use crate::fleet::metrics::Metrics;
use crate::fleet::server::{self, HttpRequest, Server};
use crate::fleet::settings::Fault;
use crate::fleet::stop::{SignalRequest, Signals};
use crate::fleet::traffic::Traffic;

/// The cell's name in frames between cores. A frame with another name comes
/// from a node that isn't a fleet's core, and is dropped.
pub(super) const CELL_NAME: &str = "fleet";

/// The time limit for a call of a worker or an operator. They turn to another
/// node after a second, so the answer has to be sent before that.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// The retry delay for callers while the control thread's queue is full.
const BUSY_RETRY: Span = Span::from_millis(1_000);

/// The delay before a lost connection to another core is dialled again, and
/// after a failed accept.
pub(super) const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// How long a process that ends waits for its last replies to be written.
const REPLY_DRAIN_TIME: Duration = Duration::from_millis(300);

/// How often the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The relay number of this process itself, which sends its own leader's advice
/// requests to the adviser.
pub(super) const OWN_RELAY: Relay = 0;

/// The consensus timing. The election timeout of 350 ms is five heartbeats:
/// longer than a pause by CPU throttling (the quota) and than the slowest sync
/// of a healthy disk.
const CONSENSUS_TIMING: consensus::Timing = consensus::Timing {
    heartbeat_interval: Span::from_millis(70),
    election_timeout: Span::from_millis(350),
    clock_drift_margin: Span::from_millis(40),
    replacement_delay: Span::from_millis(3_000),
};

/// The state that the tasks of the traffic thread share.
#[derive(Clone)]
pub(super) struct Shared {
    /// The control address: where workers and operators reach this core.
    pub(super) own_address: SocketAddr,
    pub(super) clock: Clock,
    /// The control thread's input queue.
    pub(super) inputs: Inputs,
    /// Forwards calls to the leader while this node doesn't lead.
    pub(super) forwarder: Forwarder,
    /// The process's descriptors.
    pub(super) budget: Budget,
    /// The control thread's last hint, without the entries.
    pub(super) leader_hint: Arc<Mutex<LeaderHint>>,
    /// The connections from forwarders, by relay number.
    pub(super) links: Arc<Mutex<IndexMap<Relay, ForwarderLink>>>,
    /// Wakes the task that dials another core, by that core's VM.
    pub(super) dial_wakers: Arc<Mutex<IndexMap<Ipv4Addr, Arc<Notify>>>>,
    /// Whether forwarders have connected or disconnected since the last hint.
    pub(super) entries_changed: Arc<AtomicBool>,
    /// The orders that the control thread has made and this one hasn't begun to
    /// send.
    pub(super) order_backlog: Arc<AtomicUsize>,
    pub(super) order_losses: Arc<Mutex<OrderLosses>>,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
}

/// A connection from a forwarder: an entry, or a core that doesn't lead.
#[derive(Clone)]
pub(super) struct ForwarderLink {
    /// The other end's VM; `None` if its IPv4 address couldn't be read.
    vm: Option<Ipv4Addr>,
    pub(super) sender: Sender<Packet>,
}

impl Shared {
    /// The last hint; if this node leads, with the VMs of the forwarders that are
    /// connected to it.
    fn hint_with_entries(&self) -> LeaderHint {
        let mut hint = lock(&self.leader_hint).clone();
        if hint.reaches_leader {
            let links = lock(&self.links);
            hint.entries = links.values().filter_map(|link| link.vm).collect();
        }
        hint
    }

    /// Sends the current hint to every connected forwarder.
    pub(super) fn broadcast_hint(&self) {
        let hint = self.hint_with_entries();
        for link in lock(&self.links).values() {
            // A forwarder whose send queue is full gets the next hint.
            let _ = link.sender.try_send(Packet::LeaderHint(hint.clone()));
        }
    }
}

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

/// The node's id: that of the data folder's owner if there is one, a founder's
/// on a seed's first start, otherwise a new one with the time as generation.
fn identity(settings: &Settings) -> Result<id::Node> {
    let folder = settings
        .data
        .as_ref()
        .ok_or(Fault::Missing { field: "data" })?;
    if let Some(owner) = Journal::owner_of(folder).into_diagnostic()? {
        return Ok(owner.node);
    }
    if settings.bootstrap && settings.seed_ips().contains(&settings.ip) {
        return Ok(id::Node::at_address(settings.ip, 0));
    }
    let seconds = Clock::wall().as_millis() / 1_000;
    let generation = u32::try_from(seconds).unwrap_or(u32::MAX).max(1);
    Ok(id::Node::at_address(settings.ip, generation))
}

fn open_journal(
    settings: &Settings,
    node: id::Node,
) -> Result<(Journal, consensus::DurableState)> {
    let folder = settings
        .data
        .as_ref()
        .ok_or(Fault::Missing { field: "data" })?;
    let owner = Owner {
        cell: id::Cell::from(CELL_NAME),
        node,
    };
    Journal::open(folder, &owner).into_diagnostic()
}

fn build_node(
    settings: &Settings,
    node: id::Node,
    durable_state: consensus::DurableState,
    now: Time,
) -> Node {
    let founders = settings
        .seed_ips()
        .into_iter()
        .map(|ip| id::Node::at_address(ip, 0));
    let consensus_setup = consensus::Setup {
        node,
        voters: founders.collect(),
        learners: Vec::new(),
        timing: CONSENSUS_TIMING,
        seed: Clock::wall().as_millis() ^ node.0,
    };
    let setup = fleet::Setup {
        consensus: consensus_setup,
        dispatch: settings.dispatch_setup(),
    };
    let attributes = consensus::Attributes {
        disk: true,
        domain: id::Domain::from(settings.domain.as_str()),
    };
    let built = Node::new(setup, durable_state, now)
        .with_attributes(attributes)
        .with_target_voters(2 * settings.losses + 1);
    // A founder (generation 0) with an empty folder hasn't voted or acknowledged
    // anything yet, so a leader doesn't have to verify its identity.
    match node == id::Node::at_address(settings.ip, 0) {
        true => built,
        false => built.in_existing_cell(),
    }
}

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
    let server = Server::new(shared.budget.callers);
    let listener = TcpListener::bind(settings.link_address())
        .await
        .into_diagnostic()?;
    tokio::spawn(accept(listener, node, shared.clone()));
    tokio::spawn(forward::maintain_link(
        shared.forwarder.clone(),
        settings.link_port,
    ));
    let control_shared = shared.clone();
    let handler = move |request| serve_control_call(control_shared.clone(), request);
    server
        .listen(shared.own_address, handler)
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

/// Sends a hint with the new list of entries after a delay, so that forwarders
/// that connect at the same time cause one hint.
fn broadcast_hint_later(shared: &Shared) {
    let shared = shared.clone();
    tokio::spawn(async move {
        tokio::time::sleep(HINT_DELAY).await;
        shared.broadcast_hint();
    });
}

/// The delay between a change of the connected forwarders and its hint.
const HINT_DELAY: Duration = Duration::from_millis(400);

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

/// Accepts connections from other processes of the fleet.
async fn accept(listener: TcpListener, node: id::Node, shared: Shared) {
    let mut last: Relay = OWN_RELAY;
    // Each open link holds a clone.
    let open = Arc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let others = Arc::strong_count(&open) - 1;
                if others >= shared.budget.links {
                    warn!(shared.log, "link_refused"; "from" => %address,
                        "open" => others);
                    continue;
                }
                last += 1;
                let served = serve_link(stream, last, node, shared.clone());
                let open = open.clone();
                tokio::spawn(async move {
                    served.await;
                    drop(open);
                });
            }
            Err(error) => {
                warn!(shared.log, "accept"; "error" => %error);
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

/// Serves a connection from another process of the fleet until it ends:
/// consensus messages of cores, and calls and advice responses of forwarders.
async fn serve_link(stream: TcpStream, number: Relay, node: id::Node, shared: Shared) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let vm = match stream.peer_addr().map(|address| address.ip()) {
        Ok(IpAddr::V4(vm)) => Some(vm),
        _ => None,
    };
    if let Some(waker) = vm.and_then(|vm| lock(&shared.dial_wakers).get(&vm).cloned()) {
        waker.notify_one();
    }
    let (sender, outgoing) = flume::bounded(link::SEND_QUEUE_LIMIT);
    let mut relays_advice = false;
    let handle_packet = |packet| match packet {
        Packet::Hello {
            relays_advice: true,
            ..
        } => {
            relays_advice = true;
            let sender = sender.clone();
            // Can't fail: the queue of a new connection is empty.
            let _ = sender.try_send(Packet::LeaderHint(shared.hint_with_entries()));
            lock(&shared.links).insert(number, ForwarderLink { vm, sender });
            shared.entries_changed.store(true, Ordering::Relaxed);
            submit_input(&shared, Input::Relay(number, true));
        }
        Packet::Peer(frame) if is_addressed_to(&frame, node) => {
            submit_input(&shared, Input::Message(frame.from, frame.message));
        }
        Packet::Call(call_number, call) => {
            let input = Input::Call(*call, ReplyTarget::Link(number, call_number));
            if shared.inputs.try_send(input).is_err() {
                shared.metrics.count("busy", 1);
                let reply = Reply::Refused {
                    retry_after: BUSY_RETRY,
                    reason: gentianlane::fleet::call::Refusal::Busy,
                };
                let _ = sender.try_send(Packet::Reply(call_number, reply));
            }
        }
        Packet::AdviceResponse(response) => {
            submit_input(&shared, Input::Advice(number, response));
        }
        _ => {}
    };
    let ended = link::exchange_packets(stream, &outgoing, false, handle_packet).await;
    if relays_advice {
        let error = ended
            .err()
            .map(|error| error.to_string())
            .unwrap_or_default();
        info!(shared.log, "link_closed"; "link" => number, "error" => error);
        lock(&shared.links).swap_remove(&number);
        shared.entries_changed.store(true, Ordering::Relaxed);
        shared.inputs.send_async(Input::Relay(number, false)).await;
    }
}

/// Queues an input for the control thread. It is dropped if the queue is full,
/// so this is only for inputs that their sender repeats.
pub(super) fn submit_input(shared: &Shared, input: Input) {
    if shared.inputs.try_send(input).is_err() {
        shared.metrics.count("dropped_inputs", 1);
    }
}

/// Whether a frame is meant for this node. The messages by which nodes find out
/// who is there may also name an earlier node on the same VM.
fn is_addressed_to(frame: &Frame, node: id::Node) -> bool {
    let is_discovery = matches!(
        frame.message.body,
        Body::Announce(_)
            | Body::PreVoteRequest { .. }
            | Body::Redirect { .. }
            | Body::VerifyIdentity { .. }
    );
    let same_vm = frame.to.address() == node.address();
    frame.cell.as_str() == CELL_NAME && (frame.to == node || (is_discovery && same_vm))
}
