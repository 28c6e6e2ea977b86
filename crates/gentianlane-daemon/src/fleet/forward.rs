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
use crate::fleet::client::{Client, ask};
use crate::fleet::link;
use crate::fleet::metrics::Metrics;

/// How long a call of another entry is kept.
const RELAYED_LIMIT: Duration = Duration::from_millis(3_000);

/// The pause before someone is looked for again while nobody is known.
const NOBODY_PAUSE: Duration = Duration::from_secs(1);

/// When to come back to an entry that is full.
const BUSY_RETRY: Span = Span::from_millis(1_000);

/// How many calls may wait for their replies; bounds the entry's memory.
const CALL_LIMIT: usize = 4_096;

/// The pause before another core is tried.
const RECONNECT: Duration = Duration::from_millis(50);

/// How often an entry looks whether its core leads.
const PARKED_STEP: Duration = Duration::from_millis(100);

/// After how many looks it asks another core: about half an election, so that
/// all are asked while a leader is being elected.
const PARKED_STEPS: u32 = 3;

/// How often calls that were taken back are sent again.
const RESEND_STEP: Duration = Duration::from_millis(150);

/// How often an entry that goes by another one tries to reach the leader.
const PROBE_STEP: Duration = Duration::from_millis(500);

/// The way of calls to the leader, and what its tasks share.
#[derive(Clone)]
pub(crate) struct Forward {
    pub(crate) clock: Clock,
    calls: Arc<Mutex<Calls>>,
    /// The process's own VM.
    pub(crate) own: Ipv4Addr,
    pub(crate) adviser: Arc<Mutex<Option<SocketAddr>>>,
    /// The entries that go by this one, by number.
    relayed: Arc<Mutex<IndexMap<u64, Sender<Packet>>>>,
    pub(crate) known: Arc<Mutex<Directory>>,
    pub(crate) client: Client,
    pub(crate) metrics: Metrics,
    /// While this process itself leads, it needs no way to a leader.
    leads: Arc<watch::Sender<bool>>,
    pub(crate) log: Logger,
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

/// What became of a call.
pub(crate) enum Passed {
    /// The leader has answered.
    Answered(Reply),
    /// No leader can have acted on it, and none will; the caller may come back
    /// after a time.
    Unmade(Span),
    /// A leader may have acted on it.
    Unsure,
}

impl Forward {
    /// A way that isn't kept yet.
    pub(crate) fn new(
        settings: &Settings,
        clock: Clock,
        metrics: Metrics,
        log: Logger,
    ) -> Self {
        let mut known = Directory::default();
        known.add_cores(settings.seed_ips());
        Self {
            clock,
            calls: Arc::default(),
            own: settings.ip,
            adviser: Arc::new(Mutex::new(settings.adviser())),
            relayed: Arc::default(),
            known: Arc::new(Mutex::new(known)),
            client: Client::default(),
            metrics,
            leads: Arc::new(watch::Sender::new(false)),
            log,
        }
    }

    /// Says whether this process itself leads.
    pub(crate) fn set_leads(&self, leads: bool) {
        self.leads.send_replace(leads);
    }

    /// Takes up what has changed in the settings file.
    pub(crate) fn reload(&self, path: &Path, known: &mut Settings) {
        match Settings::read(path) {
            Ok(settings) if settings == *known => {}
            Ok(settings) => {
                info!(self.log, "reload"; "seeds" => ?settings.seeds);
                *lock(&self.adviser) = settings.adviser();
                lock(&self.known).add_cores(settings.seed_ips());
                *known = settings;
            }
            // The old settings stay in force; the file may be half written.
            Err(fault) => warn!(self.log, "reload_failed"; "fault" => %fault),
        }
    }

    /// How long ago there was a way to the leader; none if there never was.
    pub(crate) fn unlinked(&self) -> Option<Span> {
        let calls = lock(&self.calls);
        if calls.link.is_some() {
            return Some(Span::ZERO);
        }
        let ever = calls.linked > Time::default();
        ever.then(|| self.clock.now().since(calls.linked))
    }

    /// Takes a call to the leader, again to the next one until the time is up.
    pub(crate) async fn pass(&self, call: Call, limit: Duration) -> Passed {
        let changes = !call.is_read_only();
        let missing = self.unlinked().unwrap_or_default();
        let Some((number, reply)) = open(self, call) else {
            self.metrics.count("busy", 1);
            return Passed::Answered(busy());
        };
        tokio::pin!(reply);
        let (wait, retry) = leader_wait(missing);
        let wait = limit.min(wait.into());
        let first = timeout(wait, reply.as_mut()).await;
        let replied = match first {
            Ok(replied) => Some(replied),
            Err(_) if withdraw(self, number) => return Passed::Unmade(retry),
            Err(_) => timeout(limit.saturating_sub(wait), reply).await.ok(),
        };
        if let Some(Ok(reply)) = replied {
            return Passed::Answered(reply);
        }
        let doubtful = lock(&self.calls)
            .open
            .swap_remove(&number)
            .is_none_or(|open| open.sent || open.doubtful);
        match doubtful && changes {
            true => Passed::Unsure,
            false => Passed::Unmade(retry),
        }
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Takes a call back if no leader can act on it; false if one may.
fn withdraw(shared: &Forward, number: u64) -> bool {
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
fn open(shared: &Forward, call: Call) -> Option<(u64, oneshot::Receiver<Reply>)> {
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
pub(crate) async fn keep_link(shared: Forward, port: u16) {
    let mut leads = shared.leads.subscribe();
    loop {
        // The sender lives as long as this process's parts.
        if leads.wait_for(|leads| !leads).await.is_err() {
            return;
        }
        let now = shared.clock.now();
        let Some(vm) = lock(&shared.known).next_candidate(shared.own, now) else {
            sleep(NOBODY_PAUSE).await;
            continue;
        };
        let ended = match link::dial((vm, port).into(), true).await {
            Ok(stream) => tokio::select! {
                ended = use_link(&shared, vm, port, stream) => ended,
                _ = leads.wait_for(|leads| *leads) => Ok(()),
            },
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
            lock(&shared.known).mark_failed(vm, now);
        }
        sleep(RECONNECT).await;
    }
}

/// Uses a connection for as long as it leads to the leader.
async fn use_link(
    shared: &Forward,
    vm: Ipv4Addr,
    port: u16,
    stream: TcpStream,
) -> std::io::Result<()> {
    let (sender, outgoing): (Sender<Packet>, Receiver<Packet>) =
        flume::bounded(link::WAITING_LIMIT);
    let moved = Notify::new();
    let is_core = lock(&shared.known).is_core(vm);
    let take = |packet| match packet {
        Packet::LeaderHint(guide) => {
            let mut known = lock(&shared.known);
            known.update(vm, &guide);
            let now = shared.clock.now();
            let other = guide
                .leader
                .filter(|&leader| !known.failed_recently(leader, now));
            drop(known);
            // A core that knows of no leader, or only of the one that was
            // lost, tells as soon as there is another.
            match (guide.reaches_leader, other) {
                (true, _) => relink(shared, vm, &sender),
                (false, None) if is_core => park(shared),
                (false, _) => moved.notify_one(),
            }
        }
        Packet::Reply(number, Reply::NotLeader(_)) => {
            take_back(shared, number, false);
        }
        Packet::Reply(number, Reply::Indeterminate) => take_back(shared, number, true),
        Packet::Reply(number, reply) => answer(shared, number, reply),
        Packet::AdviceRequest(question) => {
            let (shared, sender) = (shared.clone(), sender.clone());
            tokio::spawn(async move {
                let adviser = *lock(&shared.adviser);
                let opinion = ask(&shared.client, adviser, &question).await;
                // Without an answer the leader asks elsewhere.
                let _ = sender.try_send(Packet::AdviceResponse(opinion));
            });
        }
        _ => {}
    };
    tokio::select! {
        ended = link::carry(stream, &outgoing, true, take) => ended,
        () = moved.notified() => Ok(()),
        () = send_again(shared) => Ok(()),
        () = wait_parked(shared) => Err(std::io::Error::other("the core knows no leader")),
        () = find_leader(shared, port), if !is_core => Ok(()),
    }
}

/// Waits until the leader itself can be reached again.
async fn find_leader(shared: &Forward, port: u16) {
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
pub(crate) async fn accept(listener: TcpListener, shared: Forward) {
    let mut last = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                last += 1;
                tokio::spawn(relay(stream, last, shared.clone()));
            }
            Err(error) => {
                warn!(shared.log, "accept"; "error" => %error);
                sleep(NOBODY_PAUSE).await;
            }
        }
    }
}

/// Passes another entry's calls on, as long as this one reaches the leader.
async fn relay(stream: TcpStream, number: u64, shared: Forward) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (sender, outgoing) = flume::bounded(link::WAITING_LIMIT);
    let take = |packet| match packet {
        Packet::Hello { .. } => {
            // The connection's first packet finds room.
            let _ = sender.try_send(Packet::LeaderHint(own_guide(&shared)));
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
fn own_guide(shared: &Forward) -> LeaderHint {
    let direct = lock(&shared.calls).direct;
    lock(&shared.known).hint(direct)
}

/// Tells the entries that go by this one that its way has changed.
fn tell_relayed(shared: &Forward) {
    let guide = own_guide(shared);
    for sender in lock(&shared.relayed).values() {
        // An entry whose connection is full finds out by its own pings.
        let _ = sender.try_send(Packet::LeaderHint(guide.clone()));
    }
}

/// Takes another entry's call to the leader; no reply if none came.
async fn pass_relayed(shared: &Forward, call: Call) -> Option<Reply> {
    shared.metrics.count("relayed", 1);
    let Some((number, reply)) = open(shared, call) else {
        return Some(busy());
    };
    match timeout(RELAYED_LIMIT, reply).await {
        Ok(reply) => reply.ok(),
        Err(_) => {
            lock(&shared.calls).open.swap_remove(&number);
            None
        }
    }
}

fn busy() -> Reply {
    Reply::Refused {
        retry_after: BUSY_RETRY,
        reason: Refusal::Busy,
    }
}

/// The other side leads, or reaches the leader: it gets every call that waits.
fn relink(shared: &Forward, vm: Ipv4Addr, link: &Sender<Packet>) {
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
fn unlink(shared: &Forward) -> bool {
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
fn park(shared: &Forward) {
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
fn take_back(shared: &Forward, number: u64, doubtful: bool) {
    if let Some(open) = lock(&shared.calls).open.get_mut(&number) {
        open.sent = false;
        open.doubtful |= doubtful;
    }
}

/// Waits until the core hasn't led for so long that another may know more.
async fn wait_parked(shared: &Forward) {
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
async fn send_again(shared: &Forward) {
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

fn answer(shared: &Forward, number: u64, reply: Reply) {
    if let Some(open) = lock(&shared.calls).open.swap_remove(&number) {
        // The caller may have gone.
        let _ = open.reply.send(reply);
    }
}
