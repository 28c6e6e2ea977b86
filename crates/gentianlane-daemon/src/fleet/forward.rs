//! Forwards calls to the leader, on entries and on cores that don't lead.
//!
//! A task keeps one connection to the leader, or to an entry that reaches it. A
//! call that may not have arrived is sent again, to the next leader if need be,
//! until its deadline. Over the same connection the leader sends its advice
//! requests, which this process passes to the adviser.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use flume::{Receiver, Sender};
use gentianlane::fleet::call::{Call, Refusal, Reply};
use gentianlane::fleet::discovery::{Directory, leader_wait};
use gentianlane::fleet::link::Packet;
use gentianlane::unit::{Span, Time};
use indexmap::IndexMap;
use slog::{Logger, info, warn};
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::clock::Clock;
use crate::fleet::Settings;
use crate::fleet::delivery::{Client, request_advice};
use crate::fleet::downstream::notify_downstream;
use crate::fleet::link;
use crate::fleet::metrics::Metrics;

/// The delay before the directory is searched again while it has no candidate.
const IDLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The retry delay for callers while [`OPEN_CALL_LIMIT`] is reached.
const BUSY_RETRY: Span = Span::from_millis(1_000);

/// The most calls that wait for a reply at a time; bounds the memory in use.
const OPEN_CALL_LIMIT: usize = 4_096;

/// The delay before the next process is tried after a connection has ended.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// How often a connection is checked for whether it still reaches the leader.
const LEADERLESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The number of checks without a leader after which another core is tried.
/// They take about half an election, so that all cores are tried while a leader
/// is being elected.
const LEADERLESS_CHECK_LIMIT: u32 = 3;

/// How often calls that need a resend are sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);

/// How often an entry that reaches the leader only through another entry tries
/// to connect to the leader itself.
const LEADER_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Forwards calls to the leader. Clones share their state.
#[derive(Clone)]
pub(crate) struct Forwarder {
    pub(crate) clock: Clock,
    calls: Arc<Mutex<OpenCalls>>,
    /// The address of the process's own VM.
    pub(crate) own_vm: Ipv4Addr,
    /// The adviser's address, from the settings.
    pub(crate) adviser: Arc<Mutex<Option<SocketAddr>>>,
    /// The connections from entries that reach the leader through this process,
    /// by number.
    pub(super) downstream: Arc<Mutex<IndexMap<u64, Sender<Packet>>>>,
    /// The known processes, and which of them leads.
    pub(crate) directory: Arc<Mutex<Directory>>,
    pub(crate) client: Client,
    pub(crate) metrics: Metrics,
    /// Whether this process itself leads; it then keeps no connection to a
    /// leader.
    is_leader: Arc<watch::Sender<bool>>,
    pub(crate) log: Logger,
}

/// The calls that wait for their replies, and the connection they go over.
#[derive(Default)]
struct OpenCalls {
    last_number: u64,
    open: IndexMap<u64, OpenCall>,
    /// The send queue of the connection, while it reaches the leader.
    leader_link: Option<Sender<Packet>>,
    /// Whether the connection is to the leader itself, not to another entry.
    direct: bool,
    /// When the leader was last reached, as of the last change of `leader_link`;
    /// zero if it never was.
    last_linked: Time,
}

/// A call that waits for its reply.
struct OpenCall {
    call: Call,
    reply: oneshot::Sender<Reply>,
    /// Whether it was sent to a leader that may act on it.
    sent: bool,
    /// Whether an earlier attempt may have taken effect: it was sent, and no
    /// reply said that nothing was done.
    maybe_applied: bool,
    /// When the caller stops waiting; the call isn't sent after that.
    expires: Instant,
}

impl OpenCall {
    /// Whether the call is still to be sent. A job isn't submitted any more once its
    /// caller has left, who wouldn't learn of it; a cancellation still counts.
    fn is_wanted(&self, now: Instant) -> bool {
        let has_left = self.reply.is_closed();
        now < self.expires && !(has_left && self.call.is_submission())
    }
}

/// The outcome of forwarding a call.
pub(crate) enum ForwardOutcome {
    /// The leader has answered.
    Answered(Reply),
    /// No leader has acted on the call, and none will. The caller may retry
    /// after the delay.
    NotApplied(Span),
    /// A leader may have acted on the call.
    Indeterminate,
}

impl Forwarder {
    /// Creates a forwarder without a connection; [`maintain_link`] opens one.
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
            client: Client::new(settings.descriptor_budget().worker_limits()),
            metrics,
            is_leader: Arc::new(watch::Sender::new(false)),
            log,
        }
    }

    /// Sets whether this process itself leads.
    pub(crate) fn set_leader(&self, is_leader: bool) {
        self.is_leader.send_replace(is_leader);
    }

    /// Reads the settings file, and applies its seeds and its adviser if it has
    /// changed. Other changes need a restart.
    pub(crate) fn reload(&self, path: &Path, current: &mut Settings) {
        match Settings::read(path) {
            Ok(settings) if settings == *current => {}
            Ok(settings) => {
                info!(self.log, "reload"; "seeds" => ?settings.seeds);
                *lock(&self.adviser) = settings.adviser_address();
                lock(&self.directory).add_cores(settings.seed_ips());
                *current = settings;
            }
            // The file may be half written: keep the old settings until the next
            // reload.
            Err(fault) => warn!(self.log, "reload_failed"; "fault" => %fault),
        }
    }

    /// The time since the leader was last reached: zero while it is, `None` if
    /// it never was.
    pub(crate) fn time_without_leader(&self) -> Option<Span> {
        let calls = lock(&self.calls);
        if calls.leader_link.is_some() {
            return Some(Span::ZERO);
        }
        let ever = calls.last_linked > Time::default();
        ever.then(|| self.clock.now().since(calls.last_linked))
    }

    /// Whether the connection is to the leader itself.
    pub(super) fn is_direct(&self) -> bool {
        lock(&self.calls).direct
    }

    /// Gives up a call whose reply isn't needed any more.
    pub(super) fn drop_call(&self, number: u64) {
        lock(&self.calls).open.swap_remove(&number);
    }

    /// Forwards a call to the leader, and to its successor if the leader is lost,
    /// until a reply comes or the time limit is over.
    ///
    /// Without a leader the call fails early, after [`leader_wait`].
    pub(crate) async fn forward(&self, call: Call, limit: Duration) -> ForwardOutcome {
        let is_write = !call.is_read_only();
        let outage = self.time_without_leader().unwrap_or_default();
        let Some((number, reply)) = open_call(self, call, limit) else {
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

/// Locks a mutex, also one that a panicking thread has poisoned.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Removes a call if no leader can have acted on it; false if one may have.
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

/// Registers a call, and sends it if the leader is reached. It isn't sent again once
/// `limit` is over. `None` if [`OPEN_CALL_LIMIT`] is reached.
pub(super) fn open_call(
    forwarder: &Forwarder,
    call: Call,
    limit: Duration,
) -> Option<(u64, oneshot::Receiver<Reply>)> {
    let mut calls = lock(&forwarder.calls);
    if calls.open.len() >= OPEN_CALL_LIMIT {
        calls.open.retain(|_, call| !call.reply.is_closed());
    }
    if calls.open.len() >= OPEN_CALL_LIMIT {
        return None;
    }
    if calls.open.len() >= OPEN_CALL_LIMIT {
        return None;
    }
    calls.last_number += 1;
    let number = calls.last_number;
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
        expires: Instant::now() + limit,
    };
    calls.open.insert(number, call);
    Some((number, receiver))
}

/// Keeps a connection to the leader, or to an entry that reaches it, while this
/// process itself doesn't lead. `port` is the link port, the same on all VMs.
pub(crate) async fn maintain_link(forwarder: Forwarder, port: u16) {
    let mut is_leader = forwarder.is_leader.subscribe();
    loop {
        // Fails only when the forwarder is gone, at the end of the process.
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

/// Uses a connection until it fails, or hasn't reached the leader for a while, or
/// the leader can be reached elsewhere.
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
            // A core that knows no leader, or only the lost one, sends another
            // hint as soon as there is a new leader: stay connected.
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
                // If the response is lost, the leader asks through another relay.
                let _ = sender.try_send(Packet::AdviceResponse(response));
            });
        }
        _ => {}
    };
    tokio::select! {
        ended = link::exchange_packets(stream, &outgoing, true, handle_packet) => ended,
        () = leader_moved.notified() => Ok(()),
        () = resend_periodically(forwarder) => Ok(()),
        () = wait_leaderless(forwarder) => {
            Err(std::io::Error::other("the core knows no leader"))
        }
        () = find_leader(forwarder, port), if !is_core => Ok(()),
    }
}

/// Waits until a direct connection to the leader is possible again.
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

pub(super) fn busy_reply() -> Reply {
    Reply::Refused {
        retry_after: BUSY_RETRY,
        reason: Refusal::Busy,
    }
}

/// Sets the connection to one that reaches the leader, and sends it every call
/// that waits.
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

/// Clears a connection that has ended: calls sent over it may have arrived.
/// Returns whether it reached the leader until then.
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

/// Clears the connection to a core that doesn't lead any more. It stays open,
/// since replies to calls sent over it may still come.
fn suspend_leader(forwarder: &Forwarder) {
    let mut calls = lock(&forwarder.calls);
    if calls.leader_link.take().is_some() {
        calls.last_linked = forwarder.clock.now();
    }
    calls.direct = false;
    drop(calls);
    notify_downstream(forwarder);
}

/// Marks a call for a resend. `maybe_applied` is false if the core has done
/// nothing about it, true if the core doesn't know its outcome. The resend is
/// safe because the leader applies a repeated submission only once.
fn schedule_resend(forwarder: &Forwarder, number: u64, maybe_applied: bool) {
    if let Some(call) = lock(&forwarder.calls).open.get_mut(&number) {
        call.sent = false;
        call.maybe_applied |= maybe_applied;
    }
}

/// Waits until the connection hasn't reached the leader for
/// [`LEADERLESS_CHECK_LIMIT`] checks in a row.
async fn wait_leaderless(forwarder: &Forwarder) {
    let mut leaderless_checks = 0;
    while leaderless_checks < LEADERLESS_CHECK_LIMIT {
        sleep(LEADERLESS_CHECK_INTERVAL).await;
        leaderless_checks = match lock(&forwarder.calls).leader_link {
            Some(_) => 0,
            None => leaderless_checks + 1,
        };
    }
}

/// Sends the calls that need a resend, at [`RESEND_INTERVAL`]; never returns.
async fn resend_periodically(forwarder: &Forwarder) {
    loop {
        sleep(RESEND_INTERVAL).await;
        send_unsent(&mut lock(&forwarder.calls));
    }
}

/// Sends every call that isn't sent and that is still wanted, if the leader is reached.
fn send_unsent(calls: &mut OpenCalls) {
    let Some(link) = calls.leader_link.clone() else {
        return;
    };
    let now = Instant::now();
    let is_over =
        |call: &OpenCall| !call.sent && call.reply.is_closed() && !call.is_wanted(now);
    calls.open.retain(|_, call| !is_over(call));
    let unsent = calls.open.iter_mut().filter(|(_, call)| !call.sent);
    let wanted = unsent.filter(|(_, call)| call.is_wanted(now));
    for (&number, call) in wanted {
        let packet = Packet::Call(number, Box::new(call.call.clone()));
        call.sent = link.try_send(packet).is_ok();
    }
}

/// Passes a reply to its call, if that still waits.
fn complete_call(forwarder: &Forwarder, number: u64, reply: Reply) {
    if let Some(call) = lock(&forwarder.calls).open.swap_remove(&number) {
        // Fails if the caller has gone.
        let _ = call.reply.send(reply);
    }
}
