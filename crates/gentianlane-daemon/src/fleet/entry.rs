//! An entry: takes callers' requests to the core that leads, and puts its
//! questions for advice.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use flume::{Receiver, Sender};
use gentianlane::fleet::call::{Call, Refusal, Reply};
use gentianlane::fleet::guide::Known;
use gentianlane::fleet::link::{Guide, Packet};
use gentianlane::unit::{Span, Time};
use gentianlane_platform::{self as platform, Response};
use indexmap::IndexMap;
use miette::{IntoDiagnostic, Result};
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, timeout};

use crate::clock::Clock;
use crate::fleet::Settings;
use crate::fleet::client::Client;
use crate::fleet::core::ask;
use crate::fleet::link;
use crate::fleet::log::Lines;
use crate::fleet::metrics::Metrics;
use crate::fleet::server::{Asked, Server};
use crate::fleet::settings::Fault;
use crate::fleet::stop::{Request, Signals};

/// How long a caller is taken to wait if it doesn't say.
const PATIENCE: Duration = Duration::from_millis(3_000);

/// What is left of a caller's patience when it is answered at the latest, and
/// at most a quarter of it.
const ANSWER_RESERVE: Duration = Duration::from_millis(250);

/// How long a call waits for a leader before it is turned away: about as long
/// as the change of a leader takes.
const LEADER_WAIT: Duration = Duration::from_millis(2_000);

/// When to come back while no leader is known.
const NO_LEADER_RETRY: Span = Span::from_millis(1_000);

/// When to come back to an entry that is full.
const BUSY_RETRY: Span = Span::from_millis(1_000);

/// How many calls may wait for their replies; bounds the entry's memory.
const CALL_LIMIT: usize = 4_096;

/// The pause before another core is tried.
const RECONNECT: Duration = Duration::from_millis(50);

/// How often calls that were taken back are sent again.
const RESEND_STEP: Duration = Duration::from_millis(150);

/// How often an entry looks whether its core leads.
const PARKED_STEP: Duration = Duration::from_millis(100);

/// After how many looks it asks another core: about half an election, so that
/// all are asked while a leader is being elected.
const PARKED_STEPS: u32 = 3;

/// How often an entry that goes by another one tries to reach the leader.
const PROBE_STEP: Duration = Duration::from_millis(500);

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

/// What an entry's tasks share.
#[derive(Clone)]
struct Shared {
    clock: Clock,
    calls: Arc<Mutex<Calls>>,
    /// The entry's own VM.
    own: Ipv4Addr,
    adviser: Arc<Mutex<Option<SocketAddr>>>,
    /// The entries that go by this one, by number.
    relayed: Arc<Mutex<IndexMap<u64, Sender<Packet>>>>,
    known: Arc<Mutex<Known>>,
    client: Client,
    metrics: Metrics,
    log: Logger,
}

/// The calls that wait for their replies.
#[derive(Default)]
struct Calls {
    last: u64,
    open: IndexMap<u64, Open>,
    /// The way to the leader, while there is one.
    link: Option<Sender<Packet>>,
    /// Whether that way leads to the leader itself, not to another entry.
    direct: bool,
    /// When there last was one.
    linked: Time,
}

/// One call.
struct Open {
    call: Call,
    reply: oneshot::Sender<Reply>,
    /// Whether it is at a leader that may act on it.
    sent: bool,
    /// Whether it ever was, without a word that nothing came of it.
    doubtful: bool,
}

/// Runs an entry until it is told to stop.
pub(crate) fn run(path: &Path) -> Result<()> {
    let settings = Settings::read(path)?;
    let lines = Lines::start();
    let log = lines.logger(&settings.node);
    info!(log, "starts"; "seeds" => ?settings.seeds);
    let mut known = Known::default();
    known.seed(settings.seed_ips());
    let shared = Shared {
        clock: Clock::start(),
        calls: Arc::default(),
        own: settings.ip,
        adviser: Arc::new(Mutex::new(settings.adviser())),
        relayed: Arc::default(),
        known: Arc::new(Mutex::new(known)),
        client: Client::default(),
        metrics: Metrics::default(),
        log,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(serve(path, settings, shared))
}

async fn serve(path: &Path, settings: Settings, shared: Shared) -> Result<()> {
    let front = settings.front.ok_or(Fault::Missing { field: "front" })?;
    let ready = settings.ready.ok_or(Fault::Missing { field: "ready" })?;
    let mut signals = Signals::listen().into_diagnostic()?;
    let server = Server::new();
    tokio::spawn(keep_link(shared.clone(), settings.link_port));
    let relay = TcpListener::bind(settings.link()).await.into_diagnostic()?;
    tokio::spawn(accept(relay, shared.clone()));
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
    if let Some(port) = settings.metrics_port {
        let metrics = shared.metrics.clone();
        let address = (settings.ip, port).into();
        let served = balancer
            .listen(address, move |_| text(metrics.clone()))
            .await;
        if let Err(error) = served {
            warn!(shared.log, "no_metrics"; "error" => %error);
        }
    }
    info!(shared.log, "runs"; "front" => %front);
    let grace = settings.grace();
    let mut known = settings;
    loop {
        tokio::select! {
            request = signals.next() => match request {
                Request::Stop => break,
                Request::Reload => reload(path, &mut known, &shared),
            },
            () = sleep(SETTINGS_STEP) => reload(path, &mut known, &shared),
        }
    }
    stop(&server, &shared, grace).await;
    Ok(())
}

/// Takes what the balancer still sends, then ends once all is answered.
async fn stop(server: &Server, shared: &Shared, grace: Duration) {
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

/// Takes up what has changed in the settings file.
fn reload(path: &Path, known: &mut Settings, shared: &Shared) {
    match Settings::read(path) {
        Ok(settings) if settings == *known => {}
        Ok(settings) => {
            info!(shared.log, "reload"; "seeds" => ?settings.seeds);
            *lock(&shared.adviser) = settings.adviser();
            lock(&shared.known).seed(settings.seed_ips());
            *known = settings;
        }
        // The old settings stay in force; the file may be half written.
        Err(fault) => warn!(shared.log, "reload_failed"; "fault" => %fault),
    }
}

async fn text(metrics: Metrics) -> Response {
    Response {
        status: 200,
        retry_after: None,
        location: None,
        body: metrics.text().into_bytes(),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the balancer should send callers here.
async fn readiness(shared: Shared, server: Server) -> Response {
    let calls = lock(&shared.calls);
    let lag = shared.clock.now().since(calls.linked);
    let reaches =
        calls.link.is_some() || (calls.linked > Time::default() && lag < READY_LAG);
    match reaches && !server.is_stopping() {
        true => Response {
            status: 200,
            retry_after: None,
            location: None,
            body: b"{}".to_vec(),
        },
        false => Response::unavailable("not ready", NO_LEADER_RETRY),
    }
}

/// Serves a caller's request.
async fn serve_caller(shared: Shared, asked: Asked) -> Response {
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

/// Takes a call to the leader, again to the next one while the caller waits.
async fn pass_on(shared: &Shared, call: Call, patience: Duration) -> Response {
    let changes = !call.only_reads();
    let Some((number, reply)) = open(shared, call) else {
        shared.metrics.count("busy", 1);
        return Response::unavailable("the entry is full", BUSY_RETRY);
    };
    let limit = patience.saturating_sub(ANSWER_RESERVE.min(patience / 4));
    tokio::pin!(reply);
    let first = timeout(limit.min(LEADER_WAIT), reply.as_mut()).await;
    let replied = match first {
        Ok(replied) => Some(replied),
        // Nothing is at a leader: the call is turned away, and never made.
        Err(_) if withdraw(shared, number) => {
            return Response::unavailable("no leader is known", NO_LEADER_RETRY);
        }
        Err(_) => timeout(limit.saturating_sub(LEADER_WAIT), reply).await.ok(),
    };
    let answer = replied.and_then(Result::ok);
    let response = answer.as_ref().and_then(platform::front::encode);
    if let Some(response) = response {
        return response;
    }
    let doubtful = lock(&shared.calls)
        .open
        .swap_remove(&number)
        .is_none_or(|open| open.sent || open.doubtful);
    match doubtful && changes {
        true => Response::unsure("the leader hasn't answered"),
        false => Response::unavailable("no leader is known", NO_LEADER_RETRY),
    }
}

/// Takes a call back if no leader can act on it; false if one may.
fn withdraw(shared: &Shared, number: u64) -> bool {
    let mut calls = lock(&shared.calls);
    let unsent = calls
        .open
        .get(&number)
        .is_some_and(|open| !open.sent && !open.doubtful);
    if unsent {
        calls.open.swap_remove(&number);
    }
    unsent
}

/// Takes a call in, and sends it if there is a leader.
fn open(shared: &Shared, call: Call) -> Option<(u64, oneshot::Receiver<Reply>)> {
    let mut calls = lock(&shared.calls);
    if calls.open.len() >= CALL_LIMIT {
        return None;
    }
    calls.last += 1;
    let number = calls.last;
    let (reply, receiver) = oneshot::channel();
    let packet = Packet::Call(number, Box::new(call.clone()));
    let sent = calls
        .link
        .as_ref()
        .is_some_and(|link| link.try_send(packet).is_ok());
    let open = Open {
        call,
        reply,
        sent,
        doubtful: false,
    };
    calls.open.insert(number, open);
    Some((number, receiver))
}

/// Keeps a connection to the core that leads, or to an entry that reaches it.
async fn keep_link(shared: Shared, port: u16) {
    loop {
        let now = shared.clock.now();
        let Some(vm) = lock(&shared.known).choose(shared.own, now) else {
            sleep(SETTINGS_STEP).await;
            continue;
        };
        let ended = match link::dial((vm, port).into(), true).await {
            Ok(stream) => use_link(&shared, vm, port, stream).await,
            Err(error) => Err(error),
        };
        let lost = unlink(&shared);
        if let Err(error) = &ended
            && lost
        {
            warn!(shared.log, "leader_lost"; "by" => %vm, "error" => %error);
        }
        if ended.is_err() || !lost {
            let now = shared.clock.now();
            lock(&shared.known).fail(vm, now);
        }
        sleep(RECONNECT).await;
    }
}

/// Uses a connection for as long as it leads to the leader.
async fn use_link(
    shared: &Shared,
    vm: Ipv4Addr,
    port: u16,
    stream: TcpStream,
) -> std::io::Result<()> {
    let (sender, outgoing): (Sender<Packet>, Receiver<Packet>) =
        flume::bounded(link::WAITING_LIMIT);
    let moved = Notify::new();
    let is_core = lock(&shared.known).is_core(vm);
    let take = |packet| match packet {
        Packet::Guide(guide) => {
            lock(&shared.known).learn(vm, &guide);
            // A core that knows of no leader tells as soon as there is one.
            match (guide.leads, guide.leader) {
                (true, _) => relink(shared, vm, &sender),
                (false, None) if is_core => park(shared),
                (false, _) => moved.notify_one(),
            }
        }
        Packet::Reply(number, Reply::NotLeader(_)) => {
            take_back(shared, number, false);
        }
        Packet::Reply(number, Reply::Unsure) => take_back(shared, number, true),
        Packet::Reply(number, reply) => answer(shared, number, reply),
        Packet::Ask(question) => {
            let (shared, sender) = (shared.clone(), sender.clone());
            tokio::spawn(async move {
                let adviser = *lock(&shared.adviser);
                let opinion = ask(&shared.client, adviser, &question).await;
                // Without an answer the leader asks elsewhere.
                let _ = sender.try_send(Packet::Opinion(opinion));
            });
        }
        _ => {}
    };
    tokio::select! {
        ended = link::carry(stream, &outgoing, true, take) => ended,
        () = moved.notified() => Ok(()),
        () = send_again(shared) => Ok(()),
        () = tire(shared) => Err(std::io::Error::other("the core knows no leader")),
        () = find_leader(shared, port), if !is_core => Ok(()),
    }
}

/// Waits until the leader itself can be reached again.
async fn find_leader(shared: &Shared, port: u16) {
    loop {
        sleep(PROBE_STEP).await;
        let leader = lock(&shared.known).leader();
        if let Some(leader) = leader
            && link::dial((leader, port).into(), false).await.is_ok()
        {
            return;
        }
    }
}

/// Takes the connections of entries that don't reach the leader.
async fn accept(listener: TcpListener, shared: Shared) {
    let mut last = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                last += 1;
                tokio::spawn(relay(stream, last, shared.clone()));
            }
            Err(error) => {
                warn!(shared.log, "accept"; "error" => %error);
                sleep(SETTINGS_STEP).await;
            }
        }
    }
}

/// Passes another entry's calls on, as long as this one reaches the leader.
async fn relay(stream: TcpStream, number: u64, shared: Shared) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (sender, outgoing) = flume::bounded(link::WAITING_LIMIT);
    let take = |packet| match packet {
        Packet::Hello { .. } => {
            // The connection's first packet finds room.
            let _ = sender.try_send(Packet::Guide(own_guide(&shared)));
            lock(&shared.relayed).insert(number, sender.clone());
        }
        Packet::Call(number, call) => {
            let (shared, sender) = (shared.clone(), sender.clone());
            tokio::spawn(async move {
                if let Some(reply) = pass_relayed(&shared, *call).await {
                    // The other entry asks again if its connection is full.
                    let _ = sender.try_send(Packet::Reply(number, reply));
                }
            });
        }
        _ => {}
    };
    // The other side reconnects by itself.
    let _ = link::carry(stream, &outgoing, false, take).await;
    lock(&shared.relayed).swap_remove(&number);
}

/// The way to the leader, for the entries that go by this one.
fn own_guide(shared: &Shared) -> Guide {
    let direct = lock(&shared.calls).direct;
    lock(&shared.known).guide(direct)
}

/// Tells the entries that go by this one that its way has changed.
fn tell_relayed(shared: &Shared) {
    let guide = own_guide(shared);
    for sender in lock(&shared.relayed).values() {
        // An entry whose connection is full finds out by its own pings.
        let _ = sender.try_send(Packet::Guide(guide.clone()));
    }
}

/// Takes another entry's call to the leader; no reply if none came.
async fn pass_relayed(shared: &Shared, call: Call) -> Option<Reply> {
    shared.metrics.count("relayed", 1);
    let Some((number, reply)) = open(shared, call) else {
        return Some(busy());
    };
    match timeout(PATIENCE, reply).await {
        Ok(reply) => reply.ok(),
        Err(_) => {
            lock(&shared.calls).open.swap_remove(&number);
            None
        }
    }
}

fn busy() -> Reply {
    Reply::Refused {
        retry: BUSY_RETRY,
        reason: Refusal::Busy,
    }
}

/// The other side leads, or reaches the leader: it gets every call that waits.
fn relink(shared: &Shared, vm: Ipv4Addr, link: &Sender<Packet>) {
    let direct = lock(&shared.known).is_core(vm);
    let mut calls = lock(&shared.calls);
    if calls.link.is_none() {
        info!(shared.log, "leader_found"; "by" => %vm, "direct" => direct,
            "waiting" => calls.open.len());
    }
    calls.link = Some(link.clone());
    calls.direct = direct;
    calls.linked = shared.clock.now();
    send_waiting(&mut calls);
    drop(calls);
    tell_relayed(shared);
}

/// The connection is gone: what was sent over it may or may not have arrived.
fn unlink(shared: &Shared) -> bool {
    let mut calls = lock(&shared.calls);
    for open in calls.open.values_mut().filter(|open| open.sent) {
        open.sent = false;
        open.doubtful = true;
    }
    let lost = calls.link.take().is_some();
    calls.direct = false;
    if lost {
        calls.linked = shared.clock.now();
    }
    drop(calls);
    tell_relayed(shared);
    lost
}

/// The core doesn't lead any more; replies to what it was sent may still come.
fn park(shared: &Shared) {
    let mut calls = lock(&shared.calls);
    if calls.link.take().is_some() {
        calls.linked = shared.clock.now();
    }
    calls.direct = false;
    drop(calls);
    tell_relayed(shared);
}

/// Sends a call again some time, since the core did nothing about it or, in
/// doubt, may not know what became of it: the leader takes a job once.
fn take_back(shared: &Shared, number: u64, doubtful: bool) {
    if let Some(open) = lock(&shared.calls).open.get_mut(&number) {
        open.sent = false;
        open.doubtful |= doubtful;
    }
}

/// Waits until the core hasn't led for so long that another may know more.
async fn tire(shared: &Shared) {
    let mut idle = 0;
    while idle < PARKED_STEPS {
        sleep(PARKED_STEP).await;
        idle = match lock(&shared.calls).link {
            Some(_) => 0,
            None => idle + 1,
        };
    }
}

/// Sends the calls again that were taken back.
async fn send_again(shared: &Shared) {
    loop {
        sleep(RESEND_STEP).await;
        send_waiting(&mut lock(&shared.calls));
    }
}

/// Sends every call that waits, if there is a way to the leader.
fn send_waiting(calls: &mut Calls) {
    let Some(link) = calls.link.clone() else {
        return;
    };
    let waiting = calls.open.iter_mut().filter(|(_, open)| !open.sent);
    for (&number, open) in waiting {
        let packet = Packet::Call(number, Box::new(open.call.clone()));
        open.sent = link.try_send(packet).is_ok();
    }
}

fn answer(shared: &Shared, number: u64, reply: Reply) {
    if let Some(open) = lock(&shared.calls).open.swap_remove(&number) {
        // The caller may have gone.
        let _ = open.reply.send(reply);
    }
}
