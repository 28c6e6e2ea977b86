//! The way to the core that leads: calls are passed on to it, again to the next
//! one while whoever waits has patience, and its questions are put to the
//! adviser.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use flume::{Receiver, Sender};
use gentianlane::fleet::call::{Call, Refusal, Reply};
use gentianlane::fleet::discovery::{Directory, leader_wait};
use gentianlane::fleet::link::{LeaderHint, Packet};
use gentianlane::unit::{Span, Time};
use indexmap::IndexMap;
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::fleet::Settings;
use crate::fleet::client::{Client, request_advice};
use crate::fleet::link;
use crate::fleet::metrics::Metrics;

/// How long a call of another entry is kept.
const DOWNSTREAM_CALL_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The pause before someone is looked for again while nobody is known.
const IDLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// When to come back to an entry that is full.
const BUSY_RETRY: Span = Span::from_millis(1_000);

/// How many calls may wait for their replies; bounds the entry's memory.
const OPEN_CALL_LIMIT: usize = 4_096;

/// The pause before another core is tried.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// How often an entry looks whether its core leads.
const LEADERLESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// After how many looks it asks another core: about half an election, so that
/// all are asked while a leader is being elected.
const LEADERLESS_CHECK_LIMIT: u32 = 3;

/// How often calls that were taken back are sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);

/// How often an entry that goes by another one tries to reach the leader.
const LEADER_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The way of calls to the leader, and what its tasks share.
#[derive(Clone)]
pub(crate) struct Forwarder {
    pub(crate) clock: Clock,
    calls: Arc<Mutex<OpenCalls>>,
    /// The process's own VM.
    pub(crate) own_vm: Ipv4Addr,
    pub(crate) adviser: Arc<Mutex<Option<SocketAddr>>>,
    /// The entries that go by this one, by number.
    downstream: Arc<Mutex<IndexMap<u64, Sender<Packet>>>>,
    pub(crate) directory: Arc<Mutex<Directory>>,
    pub(crate) client: Client,
    pub(crate) metrics: Metrics,
    /// While this process itself leads, it needs no way to a leader.
    is_leader: Arc<watch::Sender<bool>>,
    pub(crate) log: Logger,
}

/// The calls that wait for their replies.
#[derive(Default)]
struct OpenCalls {
    last_id: u64,
    open: IndexMap<u64, OpenCall>,
    /// The way to the leader, while there is one.
    leader_link: Option<Sender<Packet>>,
    /// Whether that way leads to the leader itself, not to another entry.
    direct: bool,
    /// When there last was one.
    last_linked: Time,
}

/// One call.
struct OpenCall {
    call: Call,
    reply: oneshot::Sender<Reply>,
    /// Whether it is at a leader that may act on it.
    sent: bool,
    /// Whether it ever was, without a word that nothing came of it.
    maybe_applied: bool,
}

/// What became of a call.
pub(crate) enum ForwardOutcome {
    /// The leader has answered.
    Answered(Reply),
    /// No leader can have acted on it, and none will; the caller may come back
    /// after a time.
    NotApplied(Span),
    /// A leader may have acted on it.
    Indeterminate,
}

impl Forwarder {
    /// A way that isn't kept yet.
    pub(crate) fn new(
        settings: &Settings,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> Self {
        let mut directory = Directory::default();
        directory.add_cores(settings.seed_ips());
        Self {
            clock,
            calls: Arc::default(),
            own_vm: settings.ip,
            adviser: Arc::new(Mutex::new(settings.adviser_address())),
            downstream: Arc::default(),
            directory: Arc::new(Mutex::new(directory)),
            client: Client::default(),
            metrics,
            is_leader: Arc::new(watch::Sender::new(false)),
            log,
        }
    }

    /// Says whether this process itself leads.
    pub(crate) fn set_leader(&self, is_leader: bool) {
        self.is_leader.send_replace(is_leader);
    }

    /// Takes up what has changed in the settings file.
    pub(crate) fn reload(&self, path: &Path, current: &mut Settings) {
        match Settings::read(path) {
            Ok(settings) if settings == *current => {}
            Ok(settings) => {
                info!(self.log, "reload"; "seeds" => ?settings.seeds);
                *lock(&self.adviser) = settings.adviser_address();
                lock(&self.directory).add_cores(settings.seed_ips());
                *current = settings;
            }
            // The old settings stay in force; the file may be half written.
            Err(fault) => warn!(self.log, "reload_failed"; "fault" => %fault),
        }
    }

    /// How long ago there was a way to the leader; none if there never was.
    pub(crate) fn time_without_leader(&self) -> Option<Span> {
        let calls = lock(&self.calls);
        if calls.leader_link.is_some() {
            return Some(Span::ZERO);
        }
        let ever = calls.last_linked > Time::default();
        ever.then(|| self.clock.now().since(calls.last_linked))
    }

    /// Takes a call to the leader, again to the next one until the time is up.
    pub(crate) async fn forward(&self, call: Call, limit: Duration) -> ForwardOutcome {
        let is_write = !call.is_read_only();
        let outage = self.time_without_leader().unwrap_or_default();
        let Some((number, reply)) = open_call(self, call) else {
            self.metrics.count("busy", 1);
            return ForwardOutcome::Answered(busy_reply());
        };
        tokio::pin!(reply);
        let (wait, retry) = leader_wait(outage);
        let wait = limit.min(wait.into());
        let first = timeout(wait, reply.as_mut()).await;
        let replied = match first {
            Ok(replied) => Some(replied),
            Err(_) if cancel_unsent(self, number) => {
                return ForwardOutcome::NotApplied(retry);
            }
            Err(_) => timeout(limit.saturating_sub(wait), reply).await.ok(),
        };
        if let Some(Ok(reply)) = replied {
            return ForwardOutcome::Answered(reply);
        }
        let maybe_applied = lock(&self.calls)
            .open
            .swap_remove(&number)
            .is_none_or(|call| call.sent || call.maybe_applied);
        match maybe_applied && is_write {
            true => ForwardOutcome::Indeterminate,
            false => ForwardOutcome::NotApplied(retry),
        }
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Takes a call back if no leader can act on it; false if one may.
fn cancel_unsent(forwarder: &Forwarder, number: u64) -> bool {
    let mut calls = lock(&forwarder.calls);
    let unsent = calls
        .open
        .get(&number)
        .is_some_and(|call| !call.sent && !call.maybe_applied);
    if unsent {
        calls.open.swap_remove(&number);
    }
    unsent
}

/// Takes a call in, and sends it if there is a leader.
fn open_call(
    forwarder: &Forwarder,
    call: Call,
) -> Option<(u64, oneshot::Receiver<Reply>)> {
    let mut calls = lock(&forwarder.calls);
    if calls.open.len() >= OPEN_CALL_LIMIT {
        return None;
    }
    calls.last_id += 1;
    let number = calls.last_id;
    let (reply, receiver) = oneshot::channel();
    let packet = Packet::Call(number, Box::new(call.clone()));
    let sent = calls
        .leader_link
        .as_ref()
        .is_some_and(|link| link.try_send(packet).is_ok());
    let call = OpenCall {
        call,
        reply,
        sent,
        maybe_applied: false,
    };
    calls.open.insert(number, call);
    Some((number, receiver))
}

/// Keeps a connection to the core that leads, or to an entry that reaches it.
pub(crate) async fn maintain_link(forwarder: Forwarder, port: u16) {
    let mut is_leader = forwarder.is_leader.subscribe();
    loop {
        // The sender lives as long as this process's parts.
        if is_leader.wait_for(|is_leader| !is_leader).await.is_err() {
            return;
        }
        let now = forwarder.clock.now();
        let Some(vm) = lock(&forwarder.directory).next_candidate(forwarder.own_vm, now)
        else {
            sleep(IDLE_RETRY_DELAY).await;
            continue;
        };
        let ended = match link::dial((vm, port).into(), true).await {
            Ok(stream) => tokio::select! {
                ended = run_link(&forwarder, vm, port, stream) => ended,
                _ = is_leader.wait_for(|is_leader| *is_leader) => Ok(()),
            },
            Err(error) => Err(error),
        };
        let lost = detach_leader(&forwarder);
        if let Err(error) = &ended
            && lost
        {
            warn!(forwarder.log, "leader_lost"; "by" => %vm, "error" => %error);
        }
        if ended.is_err() || !lost {
            let now = forwarder.clock.now();
            lock(&forwarder.directory).mark_failed(vm, now);
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Uses a connection for as long as it leads to the leader.
async fn run_link(
    forwarder: &Forwarder,
    vm: Ipv4Addr,
    port: u16,
    stream: TcpStream,
) -> std::io::Result<()> {
    let (sender, outgoing): (Sender<Packet>, Receiver<Packet>) =
        flume::bounded(link::SEND_QUEUE_LIMIT);
    let leader_moved = Notify::new();
    let is_core = lock(&forwarder.directory).is_core(vm);
    let handle_packet = |packet| match packet {
        Packet::LeaderHint(hint) => {
            let mut directory = lock(&forwarder.directory);
            directory.update(vm, &hint);
            let now = forwarder.clock.now();
            let other = hint
                .leader
                .filter(|&leader| !directory.failed_recently(leader, now));
            drop(directory);
            // A core that knows of no leader, or only of the one that was
            // lost, tells as soon as there is another.
            match (hint.reaches_leader, other) {
                (true, _) => attach_leader(forwarder, vm, &sender),
                (false, None) if is_core => suspend_leader(forwarder),
                (false, _) => leader_moved.notify_one(),
            }
        }
        Packet::Reply(number, Reply::NotLeader(_)) => {
            schedule_resend(forwarder, number, false);
        }
        Packet::Reply(number, Reply::Indeterminate) => {
            schedule_resend(forwarder, number, true);
        }
        Packet::Reply(number, reply) => complete_call(forwarder, number, reply),
        Packet::AdviceRequest(request) => {
            let (forwarder, sender) = (forwarder.clone(), sender.clone());
            tokio::spawn(async move {
                let adviser = *lock(&forwarder.adviser);
                let response = request_advice(&forwarder.client, adviser, &request).await;
                // Without an answer the leader asks elsewhere.
                let _ = sender.try_send(Packet::AdviceResponse(response));
            });
        }
        _ => {}
    };
    tokio::select! {
        ended = link::exchange_packets(stream, &outgoing, true, handle_packet) => ended,
        () = leader_moved.notified() => Ok(()),
        () = resend_periodically(forwarder) => Ok(()),
        () = wait_leaderless(forwarder) => Err(std::io::Error::other("the core knows no leader")),
        () = find_leader(forwarder, port), if !is_core => Ok(()),
    }
}

/// Waits until the leader itself can be reached again.
async fn find_leader(forwarder: &Forwarder, port: u16) {
    loop {
        sleep(LEADER_PROBE_INTERVAL).await;
        let leader = lock(&forwarder.directory).leader();
        if let Some(leader) = leader
            && link::dial((leader, port).into(), false).await.is_ok()
        {
            return;
        }
    }
}

/// Takes the connections of entries that don't reach the leader.
pub(crate) async fn accept(listener: TcpListener, forwarder: Forwarder) {
    let mut last = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                last += 1;
                tokio::spawn(serve_downstream(stream, last, forwarder.clone()));
            }
            Err(error) => {
                warn!(forwarder.log, "accept"; "error" => %error);
                sleep(IDLE_RETRY_DELAY).await;
            }
        }
    }
}

/// Passes another entry's calls on, as long as this one reaches the leader.
async fn serve_downstream(stream: TcpStream, number: u64, forwarder: Forwarder) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (sender, outgoing) = flume::bounded(link::SEND_QUEUE_LIMIT);
    let handle_packet = |packet| match packet {
        Packet::Hello { .. } => {
            // The connection's first packet finds room.
            let _ = sender.try_send(Packet::LeaderHint(own_hint(&forwarder)));
            lock(&forwarder.downstream).insert(number, sender.clone());
        }
        Packet::Call(number, call) => {
            let (forwarder, sender) = (forwarder.clone(), sender.clone());
            tokio::spawn(async move {
                if let Some(reply) = forward_downstream_call(&forwarder, *call).await {
                    // The other entry asks again if its connection is full.
                    let _ = sender.try_send(Packet::Reply(number, reply));
                }
            });
        }
        _ => {}
    };
    // The other side reconnects by itself.
    let _ = link::exchange_packets(stream, &outgoing, false, handle_packet).await;
    lock(&forwarder.downstream).swap_remove(&number);
}

/// The way to the leader, for the entries that go by this one.
fn own_hint(forwarder: &Forwarder) -> LeaderHint {
    let direct = lock(&forwarder.calls).direct;
    lock(&forwarder.directory).hint(direct)
}

/// Tells the entries that go by this one that its way has changed.
fn notify_downstream(forwarder: &Forwarder) {
    let hint = own_hint(forwarder);
    for sender in lock(&forwarder.downstream).values() {
        // An entry whose connection is full finds out by its own pings.
        let _ = sender.try_send(Packet::LeaderHint(hint.clone()));
    }
}

/// Takes another entry's call to the leader; no reply if none came.
async fn forward_downstream_call(forwarder: &Forwarder, call: Call) -> Option<Reply> {
    forwarder.metrics.count("relayed", 1);
    let Some((number, reply)) = open_call(forwarder, call) else {
        return Some(busy_reply());
    };
    match timeout(DOWNSTREAM_CALL_TIMEOUT, reply).await {
        Ok(reply) => reply.ok(),
        Err(_) => {
            lock(&forwarder.calls).open.swap_remove(&number);
            None
        }
    }
}

fn busy_reply() -> Reply {
    Reply::Refused {
        retry_after: BUSY_RETRY,
        reason: Refusal::Busy,
    }
}

/// The other side leads, or reaches the leader: it gets every call that waits.
fn attach_leader(forwarder: &Forwarder, vm: Ipv4Addr, link: &Sender<Packet>) {
    let direct = lock(&forwarder.directory).is_core(vm);
    let mut calls = lock(&forwarder.calls);
    if calls.leader_link.is_none() {
        info!(forwarder.log, "leader_found"; "by" => %vm, "direct" => direct,
            "waiting" => calls.open.len());
    }
    calls.leader_link = Some(link.clone());
    calls.direct = direct;
    calls.last_linked = forwarder.clock.now();
    send_unsent(&mut calls);
    drop(calls);
    notify_downstream(forwarder);
}

/// The connection is gone: what was sent over it may or may not have arrived.
fn detach_leader(forwarder: &Forwarder) -> bool {
    let mut calls = lock(&forwarder.calls);
    for call in calls.open.values_mut().filter(|call| call.sent) {
        call.sent = false;
        call.maybe_applied = true;
    }
    let lost = calls.leader_link.take().is_some();
    calls.direct = false;
    if lost {
        calls.last_linked = forwarder.clock.now();
    }
    drop(calls);
    notify_downstream(forwarder);
    lost
}

/// The core doesn't lead any more; replies to what it was sent may still come.
fn suspend_leader(forwarder: &Forwarder) {
    let mut calls = lock(&forwarder.calls);
    if calls.leader_link.take().is_some() {
        calls.last_linked = forwarder.clock.now();
    }
    calls.direct = false;
    drop(calls);
    notify_downstream(forwarder);
}

/// Sends a call again some time, since the core did nothing about it or, in
/// doubt, may not know what became of it: the leader takes a job once.
fn schedule_resend(forwarder: &Forwarder, number: u64, maybe_applied: bool) {
    if let Some(call) = lock(&forwarder.calls).open.get_mut(&number) {
        call.sent = false;
        call.maybe_applied |= maybe_applied;
    }
}

/// Waits until the core hasn't led for so long that another may know more.
async fn wait_leaderless(forwarder: &Forwarder) {
    let mut idle = 0;
    while idle < LEADERLESS_CHECK_LIMIT {
        sleep(LEADERLESS_CHECK_INTERVAL).await;
        idle = match lock(&forwarder.calls).leader_link {
            Some(_) => 0,
            None => idle + 1,
        };
    }
}

/// Sends the calls again that were taken back.
async fn resend_periodically(forwarder: &Forwarder) {
    loop {
        sleep(RESEND_INTERVAL).await;
        send_unsent(&mut lock(&forwarder.calls));
    }
}

/// Sends every call that waits, if there is a way to the leader.
fn send_unsent(calls: &mut OpenCalls) {
    let Some(link) = calls.leader_link.clone() else {
        return;
    };
    let unsent = calls.open.iter_mut().filter(|(_, call)| !call.sent);
    for (&number, call) in unsent {
        let packet = Packet::Call(number, Box::new(call.call.clone()));
        call.sent = link.try_send(packet).is_ok();
    }
}

fn complete_call(forwarder: &Forwarder, number: u64, reply: Reply) {
    if let Some(call) = lock(&forwarder.calls).open.swap_remove(&number) {
        // The caller may have gone.
        let _ = call.reply.send(reply);
    }
}
