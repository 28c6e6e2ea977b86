//! A core: holds the log, takes workers' and operators' calls and, while it
//! leads, calls the workers.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
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
    Asker, Control, EFFECT_LIMIT, Effect, INPUT_LIMIT, Input, control_address,
};
use crate::fleet::forward::{self, Forward, Passed, lock};
use crate::fleet::link;
use crate::fleet::log::Lines;
use crate::fleet::metrics::Metrics;
use crate::fleet::server::{self, Asked, Server};
use crate::fleet::settings::Fault;
use crate::fleet::stop::{Request, Signals};
use crate::fleet::traffic::Traffic;

/// The name that frames between nodes carry: processes of another kind of
/// cell are refused.
pub(super) const CELL: &str = "fleet";

/// How long a call of a worker or an operator is waited for: they turn to
/// another node after a second.
const CALL_LIMIT: Duration = Duration::from_millis(900);

/// When to come back to a node that has no room for another call.
const BUSY_RETRY: Span = Span::from_millis(1_000);

/// The pause before a lost connection to another core is made again.
pub(super) const RECONNECT: Duration = Duration::from_millis(100);

/// How long answers that are on their way have when the process ends.
const LAST_ANSWERS: Duration = Duration::from_millis(300);

/// How often the settings file is looked at.
const SETTINGS_STEP: Duration = Duration::from_secs(1);

/// This process as a helper of its own leader.
pub(super) const OWN: Relay = 0;

/// What agreement takes: 350 ms of silence are five heartbeats, more than a
/// stall of the processor's quota and than the slowest sync of a sound disk.
const TIMING: consensus::Timing = consensus::Timing {
    heartbeat_interval: Span::from_millis(70),
    election_timeout: Span::from_millis(350),
    clock_drift_margin: Span::from_millis(40),
    replacement_delay: Span::from_millis(3_000),
};

/// What the traffic thread's tasks share.
#[derive(Clone)]
pub(super) struct Shared {
    pub(super) own: SocketAddr,
    pub(super) clock: Clock,
    pub(super) inputs: Sender<Input>,
    /// The way to the leader while this node doesn't lead.
    pub(super) forward: Forward,
    pub(super) guide: Arc<Mutex<LeaderHint>>,
    /// The connections that entries have made, by number.
    pub(super) links: Arc<Mutex<IndexMap<Relay, Link>>>,
    /// Wakes whoever dials another core, by its VM.
    pub(super) wakes: Arc<Mutex<IndexMap<Ipv4Addr, Arc<Notify>>>>,
    /// Whether entries have come or gone since all were told of them.
    pub(super) entries_changed: Arc<AtomicBool>,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
}

/// An entry's connection.
#[derive(Clone)]
pub(super) struct Link {
    vm: Option<Ipv4Addr>,
    pub(super) sender: Sender<Packet>,
}

impl Shared {
    /// The way to the leader, and the entries that reach this node.
    fn guide(&self) -> LeaderHint {
        let mut guide = lock(&self.guide).clone();
        if guide.reaches_leader {
            let links = lock(&self.links);
            guide.entries = links.values().filter_map(|link| link.vm).collect();
        }
        guide
    }

    /// Tells every entry the way to the leader.
    pub(super) fn tell_guide(&self) {
        let guide = self.guide();
        for link in lock(&self.links).values() {
            // An entry whose connection is full is told the next time.
            let _ = link.sender.try_send(Packet::LeaderHint(guide.clone()));
        }
    }
}

/// Runs a core until it is told to stop.
pub(crate) fn run(path: &Path) -> Result<()> {
    let settings = Settings::read(path)?;
    let lines = Lines::start();
    let log = lines.logger(&settings.node);
    let clock = Clock::start();
    let node = identity(&settings)?;
    info!(log, "starts"; "id" => %node, "bootstrap" => settings.bootstrap,
        "seeds" => ?settings.seeds);
    let (journal, saved) = open(&settings, node)?;
    let part = core(&settings, node, saved, clock.now());
    let (inputs, receiver) = flume::bounded(INPUT_LIMIT);
    let (effects, effect_receiver) = flume::bounded(EFFECT_LIMIT);
    let metrics = Metrics::default();
    let control = Control {
        node: part,
        journal,
        clock,
        effects,
        metrics: metrics.clone(),
        log: log.clone(),
        lines,
        askers: IndexMap::new(),
        last_ticket: 0,
        held: Vec::new(),
        done: 0,
        guide: LeaderHint::default(),
    };
    let logger = log.clone();
    let thread = thread::Builder::new().name("control".to_owned());
    let spawned = thread.spawn(move || {
        if let Err(fault) = control.run(&receiver) {
            crit!(logger, "ends"; "fault" => %fault);
            // The line is written by another thread.
            thread::sleep(LAST_LINES);
            std::process::exit(i32::from(crate::command::EXIT_FAULT));
        }
    });
    spawned.into_diagnostic()?;
    let own = settings
        .control
        .ok_or(Fault::Missing { field: "control" })?;
    let shared = Shared {
        own,
        clock,
        inputs,
        forward: Forward::new(&settings, clock, metrics.clone(), log.clone()),
        guide: Arc::default(),
        links: Arc::default(),
        wakes: Arc::default(),
        entries_changed: Arc::default(),
        metrics,
        log,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(serve(path, settings, node, shared, &effect_receiver))
}

/// How long the last lines have to be written.
const LAST_LINES: Duration = Duration::from_millis(50);

/// Which node this is: the one whose folder it finds, a founder, or a new one.
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

fn open(
    settings: &Settings,
    node: id::Node,
) -> Result<(Journal, consensus::DurableState)> {
    let folder = settings
        .data
        .as_ref()
        .ok_or(Fault::Missing { field: "data" })?;
    let owner = Owner {
        cell: id::Cell::from(CELL),
        node,
    };
    Journal::open(folder, &owner).into_diagnostic()
}

fn core(
    settings: &Settings,
    node: id::Node,
    saved: consensus::DurableState,
    now: Time,
) -> Node {
    let founders = settings
        .seed_ips()
        .into_iter()
        .map(|ip| id::Node::at_address(ip, 0));
    let agree = consensus::Setup {
        node,
        voters: founders.collect(),
        learners: Vec::new(),
        timing: TIMING,
        seed: Clock::wall().as_millis() ^ node.0,
    };
    let setup = fleet::Setup {
        consensus: agree,
        dispatch: settings.dispatch(),
    };
    let site = consensus::Attributes {
        disk: true,
        domain: id::Domain::from(settings.domain.as_str()),
    };
    let part = Node::new(setup, saved, now)
        .with_attributes(site)
        .with_target_voters(2 * settings.losses + 1);
    // A founder's folder that was never written to has promised nothing.
    match node == id::Node::at_address(settings.ip, 0) {
        true => part,
        false => part.in_existing_cell(),
    }
}

async fn serve(
    path: &Path,
    settings: Settings,
    node: id::Node,
    shared: Shared,
    effects: &Receiver<Vec<Effect>>,
) -> Result<()> {
    let mut signals = Signals::listen().into_diagnostic()?;
    let server = Server::new();
    let listener = TcpListener::bind(settings.link()).await.into_diagnostic()?;
    tokio::spawn(accept(listener, node, shared.clone()));
    tokio::spawn(forward::keep_link(
        shared.forward.clone(),
        settings.link_port,
    ));
    let front = shared.clone();
    let handler = move |asked| serve_control(front.clone(), asked);
    server.listen(shared.own, handler).await.into_diagnostic()?;
    server::serve_metrics(&server, &settings, &shared.metrics, &shared.log).await;
    let _ = shared.inputs.send_async(Input::Helper(OWN, true)).await;
    info!(shared.log, "runs"; "control" => %shared.own);
    let mut known = settings.clone();
    let mut traffic = Traffic::new(node, settings.link_port, shared.clone());
    let mut stopping = false;
    loop {
        tokio::select! {
            batch = effects.recv_async() => {
                let Ok(batch) = batch else {
                    return Ok(());
                };
                for effect in batch {
                    if matches!(effect, Effect::Stopped) {
                        tokio::time::sleep(LAST_ANSWERS).await;
                        info!(shared.log, "stopped");
                        tokio::time::sleep(LAST_LINES).await;
                        return Ok(());
                    }
                    traffic.carry_out(effect);
                }
            }
            request = signals.next(), if !stopping => match request {
                Request::Stop => {
                    stopping = true;
                    info!(shared.log, "stops");
                    server.stop();
                    let _ = shared.inputs.send_async(Input::Stop).await;
                }
                Request::Reload => shared.forward.reload(path, &mut known),
            },
            () = tokio::time::sleep(SETTINGS_STEP) => shared.forward.reload(path, &mut known),
        }
        if shared.entries_changed.swap(false, Ordering::Relaxed) {
            tell_later(&shared);
        }
    }
}

/// Tells the entries of one another, once for all that come at the same time.
fn tell_later(shared: &Shared) {
    let shared = shared.clone();
    tokio::spawn(async move {
        tokio::time::sleep(TELL_PAUSE).await;
        shared.tell_guide();
    });
}

/// How long changes among the entries are gathered.
const TELL_PAUSE: Duration = Duration::from_millis(400);

/// Serves a worker's or an operator's call.
async fn serve_control(shared: Shared, asked: Asked) -> Response {
    let call = match platform::control::decode(&asked.method, &asked.path, &asked.body) {
        Ok(call) => call,
        Err(fault) => {
            warn!(shared.log, "malformed"; "path" => asked.path, "fault" => %fault);
            return Response::malformed(&fault);
        }
    };
    let is_report = matches!(call, Call::Report(_));
    let reply = match ask_own(&shared, call.clone()).await {
        None => {
            shared.metrics.count("busy", 1);
            return Response::unavailable("the node is busy", BUSY_RETRY);
        }
        Some(Reply::NotLeader(_)) => match shared.forward.pass(call, CALL_LIMIT).await {
            Passed::Answered(reply) => reply,
            // Whoever asks may reach a leader that this node doesn't.
            Passed::Unmade(_) => Reply::NotLeader(None),
            Passed::Unsure => Reply::Indeterminate,
        },
        Some(reply) => reply,
    };
    let guide = lock(&shared.guide).clone();
    let leader = guide.leader.map(|vm| control_address(shared.own, vm));
    platform::control::encode(is_report, &asked.path, &reply, shared.own, leader)
}

/// Makes a call at this process's own node; none if it has no room.
async fn ask_own(shared: &Shared, call: Call) -> Option<Reply> {
    let (sender, receiver) = oneshot::channel();
    let input = Input::Call(call, Asker::Local(sender));
    shared.inputs.try_send(input).ok()?;
    match tokio::time::timeout(CALL_LIMIT, receiver).await {
        Ok(Ok(reply)) => Some(reply),
        Ok(Err(_)) | Err(_) => Some(Reply::Indeterminate),
    }
}

/// Takes the connections of other processes of the fleet.
async fn accept(listener: TcpListener, node: id::Node, shared: Shared) {
    let mut last: Relay = OWN;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                last += 1;
                tokio::spawn(serve_link(stream, last, node, shared.clone()));
            }
            Err(error) => {
                warn!(shared.log, "accept"; "error" => %error);
                tokio::time::sleep(RECONNECT).await;
            }
        }
    }
}

async fn serve_link(stream: TcpStream, number: Relay, node: id::Node, shared: Shared) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let vm = match stream.peer_addr().map(|address| address.ip()) {
        Ok(IpAddr::V4(vm)) => Some(vm),
        _ => None,
    };
    if let Some(wake) = vm.and_then(|vm| lock(&shared.wakes).get(&vm).cloned()) {
        wake.notify_one();
    }
    let (sender, outgoing) = flume::bounded(link::WAITING_LIMIT);
    let mut helps = false;
    let take = |packet| match packet {
        Packet::Hello {
            relays_advice: true,
            ..
        } => {
            helps = true;
            let sender = sender.clone();
            // The connection's first packet finds room.
            let _ = sender.try_send(Packet::LeaderHint(shared.guide()));
            lock(&shared.links).insert(number, Link { vm, sender });
            shared.entries_changed.store(true, Ordering::Relaxed);
            hand_in(&shared, Input::Helper(number, true));
        }
        Packet::Peer(frame) if is_for(&frame, node) => {
            hand_in(&shared, Input::Message(frame.from, frame.message));
        }
        Packet::Call(call_number, call) => {
            let input = Input::Call(*call, Asker::Link(number, call_number));
            if shared.inputs.try_send(input).is_err() {
                shared.metrics.count("busy", 1);
                let reply = Reply::Refused {
                    retry_after: BUSY_RETRY,
                    reason: gentianlane::fleet::call::Refusal::Busy,
                };
                let _ = sender.try_send(Packet::Reply(call_number, reply));
            }
        }
        Packet::AdviceResponse(opinion) => {
            hand_in(&shared, Input::Opinion(number, opinion));
        }
        _ => {}
    };
    let ended = link::carry(stream, &outgoing, false, take).await;
    if helps {
        let error = ended
            .err()
            .map(|error| error.to_string())
            .unwrap_or_default();
        info!(shared.log, "link_closed"; "link" => number, "error" => error);
        lock(&shared.links).swap_remove(&number);
        shared.entries_changed.store(true, Ordering::Relaxed);
        let _ = shared.inputs.send_async(Input::Helper(number, false)).await;
    }
}

/// Hands something in that the sender repeats if it is dropped.
pub(super) fn hand_in(shared: &Shared, input: Input) {
    if shared.inputs.try_send(input).is_err() {
        shared.metrics.count("dropped_inputs", 1);
    }
}

/// Whether a frame is meant for this node, or for one that stood on its VM
/// before and asks who is there.
fn is_for(frame: &Frame, node: id::Node) -> bool {
    let asks = matches!(
        frame.message.body,
        Body::Announce(_)
            | Body::PreVoteRequest { .. }
            | Body::Redirect { .. }
            | Body::VerifyIdentity { .. }
    );
    let same_vm = frame.to.address() == node.address();
    frame.cell.as_str() == CELL && (frame.to == node || (asks && same_vm))
}
