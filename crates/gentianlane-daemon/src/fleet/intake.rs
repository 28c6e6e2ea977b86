//! The memory of a process's connections: one bound for what requests in arrival and
//! answers in departure hold, whatever the number of connections and the port.
//!
//! Pure accounting: a [`Connection`] asks for memory before it takes any. Beyond the
//! bound the connection that has made no progress for longest is told to end.

mod event;

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

pub(crate) use event::Event;

/// What a connection holds without a request: its task, and the first read buffer.
pub(crate) const CONNECTION_SIZE: usize = 16 << 10;

/// The lowest bound, in bytes: one request of the longest kind, with its connection.
const LOWEST_LIMIT: usize = 5 << 20;

/// The bound's share of the process's memory, as a divisor. The rest is for the state,
/// for what bodies become when they are decoded, and for the allocator.
const MEMORY_PARTS: u64 = 8;

/// The time after which a request in arrival or an answer in departure counts as stalled.
const STALL_TIME: Duration = Duration::from_secs(1);

/// The account of all connections of a process; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct Intake {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    /// The bound, in bytes.
    limit: usize,
    /// What all connections hold, in bytes.
    held: AtomicUsize,
    /// The part of it that evicted connections hold.
    leaving: AtomicUsize,
    /// The number of connections that wait for memory.
    waiting: AtomicUsize,
    tallies: [AtomicU64; Event::COUNT],
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    last: u64,
    connections: IndexMap<u64, Arc<Entry>>,
    waiting: IndexMap<u64, Waker>,
}

#[derive(Debug)]
struct Entry {
    group: Group,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// The start of the phase; for a body that of its head.
    since: Instant,
    /// In bytes.
    held: usize,
    /// The requests whose head has arrived.
    heads: u64,
    /// The answers that haven't been written whole.
    answers: usize,
    eviction: Option<Eviction>,
    /// The task that serves the connection.
    waker: Option<Waker>,
}

/// The connections that share a limit of their number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Group(pub(crate) u8);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Nothing has arrived yet.
    Open,
    /// Part of a request's head has arrived.
    Head,
    /// A request's head has arrived, and not the whole body.
    Body,
    /// A request is with its handler.
    Handling,
    /// An answer is being written.
    Departing,
    /// An answer has been written, and nothing has arrived since.
    Idle,
}

/// How a connection is to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Eviction {
    /// Its request is refused, and hasn't been carried out.
    Refuse,
    Close,
}

/// Why a connection is evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    Memory,
    Number,
}

/// A connection is told to end, and gets no more memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Evicted;

impl Intake {
    /// An account whose bound is a share of a process's memory, in bytes.
    pub(crate) fn of_memory(memory: u64) -> Self {
        let share = usize::try_from(memory / MEMORY_PARTS).unwrap_or(usize::MAX);
        Self::new(share.max(LOWEST_LIMIT))
    }

    /// An account with a bound in bytes.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            shared: Arc::new(Shared {
                limit,
                held: AtomicUsize::new(0),
                leaving: AtomicUsize::new(0),
                waiting: AtomicUsize::new(0),
                tallies: Default::default(),
                table: Mutex::default(),
            }),
        }
    }

    /// The bound, in bytes.
    pub(crate) fn limit(&self) -> usize {
        self.shared.limit
    }

    /// What all connections hold, in bytes.
    pub(crate) fn held(&self) -> usize {
        self.shared.held.load(Ordering::Relaxed)
    }

    /// Counts an event.
    pub(crate) fn tally(&self, event: Event) {
        self.shared.tally(event);
    }

    /// How often an event was counted since the last call.
    pub(crate) fn take_tally(&self, event: Event) -> u64 {
        self.shared.tallies[event as usize].swap(0, Ordering::Relaxed)
    }

    /// Adds a connection, which holds [`CONNECTION_SIZE`] from now on; beyond the bound
    /// others are evicted for it.
    pub(crate) fn open(&self, group: Group) -> Connection {
        let entry = Arc::new(Entry {
            group,
            state: Mutex::new(State {
                phase: Phase::Open,
                since: Instant::now(),
                held: CONNECTION_SIZE,
                heads: 0,
                answers: 0,
                eviction: None,
                waker: None,
            }),
        });
        let mut table = lock(&self.shared.table);
        if !self.shared.take(CONNECTION_SIZE) {
            self.shared.make_room(&table, CONNECTION_SIZE);
            self.shared
                .held
                .fetch_add(CONNECTION_SIZE, Ordering::Relaxed);
        }
        table.last += 1;
        let number = table.last;
        table.connections.insert(number, Arc::clone(&entry));
        Connection {
            shared: Arc::clone(&self.shared),
            number,
            entry,
        }
    }

    /// Has a connection of a group end, unless one is about to. False if all have a
    /// request with its handler.
    pub(crate) fn evict_from(&self, group: Group) -> bool {
        let table = lock(&self.shared.table);
        let mut members = table.connections.values().filter(|it| it.group == group);
        members.any(|entry| lock(&entry.state).eviction.is_some())
            || self.shared.evict(&table, Some(group), Cause::Number)
    }
}

impl Shared {
    fn tally(&self, event: Event) {
        self.tallies[event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Takes memory if the bound allows it.
    fn take(&self, bytes: usize) -> bool {
        let add = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= self.limit);
        let order = Ordering::Relaxed;
        self.held.fetch_update(order, order, add).is_ok()
    }

    /// Gives memory back, and has those that wait for some try again.
    fn give(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::SeqCst);
        if self.waiting.load(Ordering::SeqCst) > 0 {
            self.wake(&mut lock(&self.table));
        }
    }

    fn wake(&self, table: &mut Table) {
        self.waiting.store(0, Ordering::SeqCst);
        for (_, waker) in table.waiting.drain(..) {
            waker.wake();
        }
    }

    /// Evicts connections until what they hold makes room for as many bytes.
    fn make_room(&self, table: &Table, bytes: usize) {
        let held = self.held.load(Ordering::Relaxed).saturating_add(bytes);
        let excess = held.saturating_sub(self.limit);
        while self.leaving.load(Ordering::Relaxed) < excess
            && self.evict(table, None, Cause::Memory)
        {}
    }

    /// Has the connection end that has made no progress for longest. False if all have
    /// a request with its handler, or are about to end.
    fn evict(&self, table: &Table, group: Option<Group>, cause: Cause) -> bool {
        let now = Instant::now();
        let members = table.connections.values();
        let members = members.filter(|entry| group.is_none_or(|it| it == entry.group));
        let ranked = members.filter_map(|entry| {
            let state = lock(&entry.state);
            Some((state.rank(now)?, state.since, entry))
        });
        let first = ranked.min_by_key(|(rank, since, _)| (*rank, *since));
        let Some((_, _, entry)) = first else {
            return false;
        };
        let mut state = lock(&entry.state);
        // An answer that isn't read would keep a refusal from being written.
        let eviction = match (state.phase, state.answers) {
            (Phase::Body, 0) => Eviction::Refuse,
            _ => Eviction::Close,
        };
        state.eviction = Some(eviction);
        self.leaving.fetch_add(state.held, Ordering::Relaxed);
        self.tally(match (eviction, cause) {
            (Eviction::Refuse, _) => Event::Refused,
            (Eviction::Close, Cause::Memory) => Event::ClosedForMemory,
            (Eviction::Close, Cause::Number) => Event::ClosedForNumber,
        });
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
        true
    }
}

/// Which connections are evicted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Stalled,
    Idle,
    /// In arrival or departure for less than [`STALL_TIME`].
    Fresh,
}

impl State {
    /// None for a connection that can't be evicted.
    fn rank(&self, now: Instant) -> Option<Rank> {
        let stalled = now.saturating_duration_since(self.since) >= STALL_TIME;
        match (self.eviction, self.phase) {
            (Some(_), _) | (None, Phase::Handling) => None,
            (None, Phase::Idle) => Some(Rank::Idle),
            (None, Phase::Open | Phase::Head | Phase::Body | Phase::Departing) => {
                Some(if stalled { Rank::Stalled } else { Rank::Fresh })
            }
        }
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.since = Instant::now();
    }
}

/// One connection's part of the account. What it holds is given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    shared: Arc<Shared>,
    number: u64,
    entry: Arc<Entry>,
}

impl Connection {
    /// Counts an event.
    pub(crate) fn tally(&self, event: Event) {
        self.shared.tally(event);
    }

    /// The bound for all connections, in bytes.
    pub(crate) fn limit(&self) -> usize {
        self.shared.limit
    }

    /// Takes memory, or waits until there is room and has others evicted for it.
    ///
    /// # Errors
    ///
    /// The connection is itself to end.
    pub(crate) fn poll_take(
        &self,
        context: &mut Context<'_>,
        bytes: usize,
    ) -> Poll<Result<(), Evicted>> {
        if lock(&self.entry.state).eviction.is_some() {
            return Poll::Ready(Err(Evicted));
        }
        if !self.shared.take(bytes) {
            let mut table = lock(&self.shared.table);
            let waker = context.waker().clone();
            table.waiting.insert(self.number, waker);
            let waiting = table.waiting.len();
            self.shared.waiting.store(waiting, Ordering::SeqCst);
            // Memory that was given back before the line above woke nobody.
            if !self.shared.take(bytes) {
                self.shared.make_room(&table, bytes);
                drop(table);
                return match lock(&self.entry.state).eviction {
                    Some(_) => Poll::Ready(Err(Evicted)),
                    None => Poll::Pending,
                };
            }
        }
        let mut state = lock(&self.entry.state);
        state.held += bytes;
        if state.eviction.is_some() {
            self.shared.leaving.fetch_add(bytes, Ordering::Relaxed);
        }
        Poll::Ready(Ok(()))
    }

    /// Gives memory back.
    pub(crate) fn give(&self, bytes: usize) {
        self.release(&mut lock(&self.entry.state), bytes);
        self.shared.give(bytes);
    }

    fn release(&self, state: &mut State, bytes: usize) {
        state.held -= bytes;
        if state.eviction.is_some() {
            self.shared.leaving.fetch_sub(bytes, Ordering::Relaxed);
        }
    }

    /// Ready once the connection is to end; wakes the task that polled last.
    pub(crate) fn poll_evicted(&self, context: &mut Context<'_>) -> Poll<Eviction> {
        let mut state = lock(&self.entry.state);
        match state.eviction {
            Some(eviction) => Poll::Ready(eviction),
            None => {
                state.waker = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }

    /// Bytes have arrived.
    pub(crate) fn receive(&self) {
        let mut state = lock(&self.entry.state);
        match state.phase {
            Phase::Open | Phase::Idle => state.enter(Phase::Head),
            Phase::Head | Phase::Body | Phase::Handling | Phase::Departing => {}
        }
    }

    /// How many heads have arrived, and whether a body is in arrival.
    pub(crate) fn arrival(&self) -> (u64, bool) {
        let state = lock(&self.entry.state);
        (state.heads, state.phase == Phase::Body)
    }

    /// A request's head has arrived.
    pub(crate) fn receive_head(&self) {
        let mut state = lock(&self.entry.state);
        state.heads += 1;
        match state.phase {
            Phase::Head => state.phase = Phase::Body,
            // It arrived together with an earlier request.
            Phase::Open
            | Phase::Body
            | Phase::Handling
            | Phase::Departing
            | Phase::Idle => state.enter(Phase::Body),
        }
    }

    /// A whole request is about to be handled, and isn't evicted until it is answered.
    ///
    /// # Errors
    ///
    /// The connection is to end, so that the request mustn't be handled.
    pub(crate) fn begin(&self) -> Result<(), Evicted> {
        let mut state = lock(&self.entry.state);
        match state.eviction {
            Some(_) => Err(Evicted),
            None => {
                state.enter(Phase::Handling);
                Ok(())
            }
        }
    }

    /// An answer is about to be written, which holds as many bytes.
    pub(crate) fn answer(&self, bytes: usize) {
        let mut state = lock(&self.entry.state);
        state.enter(Phase::Departing);
        state.answers += 1;
        state.held += bytes;
        if state.eviction.is_some() {
            self.shared.leaving.fetch_add(bytes, Ordering::Relaxed);
        }
        drop(state);
        self.shared.held.fetch_add(bytes, Ordering::Relaxed);
    }

    /// An answer has been written.
    pub(crate) fn depart(&self, bytes: usize) {
        let mut state = lock(&self.entry.state);
        state.answers -= 1;
        self.release(&mut state, bytes);
        if state.phase == Phase::Departing && state.answers == 0 {
            state.enter(Phase::Idle);
        }
        drop(state);
        self.shared.give(bytes);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut table = lock(&self.shared.table);
        table.connections.swap_remove(&self.number);
        table.waiting.shift_remove(&self.number);
        let waiting = table.waiting.len();
        self.shared.waiting.store(waiting, Ordering::SeqCst);
        drop(table);
        let mut state = lock(&self.entry.state);
        let held = state.held;
        self.release(&mut state, held);
        drop(state);
        self.shared.give(held);
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
