//! A budget of connections: which connection carries a request to a peer, and
//! which requests wait for one.
//!
//! A process has a fixed number of file descriptors, and a fleet may have more
//! workers than that. A request takes the peer's idle connection that was used
//! last; without one it gets a new one. So does a request whose answer is delayed if
//! that connection is the only one, for a few peers at a time. Once the budget
//! is used up, a new connection takes the place of the one that has been idle for the
//! longest time, whatever its peer, and without an idle one the request waits. It also
//! waits if the peer has a connection with a prompt answer under way, as that is free
//! again soon.

use std::collections::{BTreeMap, VecDeque};
use std::hash::Hash;

use crate::collections::IndexMap;

/// The sizes of a budget, in connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The most connections at a time.
    pub total: usize,
    /// The most connections to one peer.
    pub per_peer: usize,
    /// The most connections that wait for delayed answers. The others remain for
    /// requests that are answered at once.
    pub delayed: usize,
    /// The most requests that wait for a connection.
    pub waiting: usize,
}

/// Whether a peer answers a request at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// The answer comes at once.
    Prompt,
    /// The peer holds the answer back until it has something to report, so that
    /// the connection is taken for long.
    Delayed,
}

/// A request that waits for a connection.
pub type Waiter = u64;

/// What a request may use.
#[derive(Debug, PartialEq, Eq)]
pub enum Grant<C> {
    /// An idle connection.
    Reuse(C),
    /// A new connection, which the request has to open.
    Open,
}

/// The answer to a request for a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Claim<C> {
    /// The request may go on.
    Granted(Grant<C>),
    /// The request waits; [`Pool::next_grant`] gives its connection.
    Waits(Waiter),
    /// Too many requests wait already.
    Refused,
}

/// The connections of a process to its peers; `C` is a connection.
///
/// ```
/// use gentianlane::fleet::delivery::connection::{Claim, Class, Grant, Limits, Pool};
/// let limits = Limits { total: 1, per_peer: 1, delayed: 1, waiting: 1 };
/// let mut pool: Pool<&str, u32> = Pool::new(limits);
/// assert_eq!(pool.claim(&"a", Class::Prompt), Claim::Granted(Grant::Open));
/// pool.give_back(&"a", Class::Prompt, Some(7));
/// assert_eq!(pool.claim(&"a", Class::Prompt), Claim::Granted(Grant::Reuse(7)));
/// ```
#[derive(Debug)]
pub struct Pool<K, C> {
    limits: Limits,
    peers: IndexMap<K, Peer<C>>,
    /// The connections that are open or being opened.
    open: usize,
    /// How many of them wait for a delayed answer.
    delayed: usize,
    /// How many of these were opened to keep an idle one.
    keeping: usize,
    /// The peers of the idle connections, by when each was used last.
    idle: BTreeMap<u64, K>,
    last_use: u64,
    last_waiter: Waiter,
    /// The waiting requests; one that isn't in it any more was cancelled.
    requests: IndexMap<Waiter, (K, Class)>,
    /// Those that wait for room in the budget, the oldest first.
    for_room: VecDeque<Waiter>,
    /// Those that wait for room for delayed answers, the oldest first.
    for_delayed: VecDeque<Waiter>,
    /// The peers to which a waiting request may get a connection now.
    ready: VecDeque<K>,
}

/// The connections to one peer.
#[derive(Debug)]
struct Peer<C> {
    /// How many are open or being opened.
    open: usize,
    /// How many of them wait for a delayed answer.
    delayed: usize,
    /// Whether one of these was opened to keep an idle one.
    keeps: bool,
    /// The idle ones with their last use, the oldest first.
    idle: Vec<(u64, C)>,
    /// The requests that wait for one of them, the oldest first.
    waiting: VecDeque<Waiter>,
}

/// What a request has to wait for.
enum Shortage {
    Room,
    Delayed,
    Peer,
}

/// How many connections may be opened at a time to keep idle ones, so that a process that
/// turns to all its peers at once isn't slowed by a second connection to each.
const KEEPING_LIMIT: usize = 16;

impl<K: Clone + Eq + Hash, C> Pool<K, C> {
    /// A pool without connections.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            peers: IndexMap::default(),
            open: 0,
            delayed: 0,
            keeping: 0,
            idle: BTreeMap::new(),
            last_use: 0,
            last_waiter: 0,
            requests: IndexMap::default(),
            for_room: VecDeque::new(),
            for_delayed: VecDeque::new(),
            ready: VecDeque::new(),
        }
    }

    /// The connections that are open or being opened.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open
    }

    /// The requests that wait for a connection.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.requests.len()
    }

    /// Claims a connection to a peer for a request.
    pub fn claim(&mut self, peer: &K, class: Class) -> Claim<C> {
        let shortage = match self.grant(peer, class) {
            Ok(grant) => return Claim::Granted(grant),
            Err(shortage) => shortage,
        };
        if self.requests.len() >= self.limits.waiting {
            return Claim::Refused;
        }
        self.last_waiter += 1;
        let waiter = self.last_waiter;
        self.requests.insert(waiter, (peer.clone(), class));
        self.queue(waiter, peer, &shortage);
        Claim::Waits(waiter)
    }

    /// Gives up a waiting request.
    pub fn cancel(&mut self, waiter: Waiter) {
        self.requests.swap_remove(&waiter);
    }

    /// Gives back what a request was granted: its connection, or none if that has
    /// failed.
    pub fn give_back(&mut self, peer: &K, class: Class, connection: Option<C>) {
        let Some(own) = self.peers.get_mut(peer) else {
            return;
        };
        if class == Class::Delayed {
            self.delayed -= 1;
            own.delayed -= 1;
            if std::mem::take(&mut own.keeps) {
                self.keeping -= 1;
            }
        }
        match connection {
            Some(connection) => {
                self.last_use += 1;
                own.idle.push((self.last_use, connection));
                self.idle.insert(self.last_use, peer.clone());
            }
            None => {
                own.open -= 1;
                self.open -= 1;
            }
        }
        self.ready.push_back(peer.clone());
    }

    /// The next waiting request that may go on, with its peer and class.
    ///
    /// To be called after each [`Pool::give_back`] and [`Pool::close_idle`] until
    /// it gives none.
    pub fn next_grant(&mut self) -> Option<(Waiter, K, Class, Grant<C>)> {
        while let Some(waiter) = self.next_waiter() {
            let Some((peer, class)) = self.requests.get(&waiter).cloned() else {
                continue;
            };
            match self.grant(&peer, class) {
                Ok(grant) => {
                    self.requests.swap_remove(&waiter);
                    return Some((waiter, peer, class, grant));
                }
                Err(shortage) => {
                    self.ready.retain(|ready| *ready != peer);
                    self.queue(waiter, &peer, &shortage);
                }
            }
        }
        None
    }

    /// Closes a peer's idle connections.
    pub fn close_idle(&mut self, peer: &K) {
        let Some(own) = self.peers.get_mut(peer) else {
            return;
        };
        let closed = std::mem::take(&mut own.idle);
        own.open -= closed.len();
        self.open -= closed.len();
        for (used, _) in closed {
            self.idle.remove(&used);
        }
        self.ready.push_back(peer.clone());
    }

    /// Removes a waiting request that may find what it waits for from its queue.
    fn next_waiter(&mut self) -> Option<Waiter> {
        while let Some(peer) = self.ready.front().cloned() {
            let own = self.peers.get_mut(&peer);
            let may_grant = |own: &&mut Peer<C>| {
                !own.idle.is_empty() || own.open < self.limits.per_peer
            };
            let waiter = own
                .filter(may_grant)
                .and_then(|own| own.waiting.pop_front());
            if waiter.is_some() {
                return waiter;
            }
            self.ready.pop_front();
            self.forget_if_unused(&peer);
        }
        if self.delayed < self.limits.delayed
            && let Some(waiter) = self.for_delayed.pop_front()
        {
            return Some(waiter);
        }
        let has_room = self.open < self.limits.total || !self.idle.is_empty();
        has_room.then(|| self.for_room.pop_front()).flatten()
    }

    /// What a request may use now, or what it has to wait for.
    fn grant(&mut self, peer: &K, class: Class) -> Result<Grant<C>, Shortage> {
        if class == Class::Delayed && self.delayed >= self.limits.delayed {
            return Err(Shortage::Delayed);
        }
        let keeps = self.keeps_idle(peer, class);
        let grant = match keeps {
            true => self.open_new(peer)?,
            false => self
                .take_idle(peer)
                .map_or_else(|| self.open_new(peer), Ok)?,
        };
        if class == Class::Delayed {
            self.delayed += 1;
            if let Some(own) = self.peers.get_mut(peer) {
                own.delayed += 1;
                own.keeps |= keeps;
            }
            self.keeping += usize::from(keeps);
        }
        Ok(grant)
    }

    /// Whether a request leaves the peer's only idle connection to those that are answered
    /// at once: a new one takes longer, and may lead to another process.
    fn keeps_idle(&self, peer: &K, class: Class) -> bool {
        let own = self.peers.get(peer);
        class == Class::Delayed
            && self.keeping < KEEPING_LIMIT
            && self.open < self.limits.total / 2
            && own.is_some_and(|own| {
                own.idle.len() == 1 && own.delayed == 0 && own.open < self.limits.per_peer
            })
    }

    fn take_idle(&mut self, peer: &K) -> Option<Grant<C>> {
        let (used, connection) = self.peers.get_mut(peer)?.idle.pop()?;
        self.idle.remove(&used);
        Some(Grant::Reuse(connection))
    }

    /// Makes room for a new connection to a peer.
    fn open_new(&mut self, peer: &K) -> Result<Grant<C>, Shortage> {
        let is_full = self.open >= self.limits.total;
        if let Some(own) = self.peers.get(peer)
            && (own.open >= self.limits.per_peer || is_full && own.open > own.delayed)
        {
            return Err(Shortage::Peer);
        }
        if is_full && !self.close_oldest() {
            return Err(Shortage::Room);
        }
        let own = self.peers.entry(peer.clone()).or_insert_with(|| Peer {
            open: 0,
            delayed: 0,
            keeps: false,
            idle: Vec::new(),
            waiting: VecDeque::new(),
        });
        own.open += 1;
        self.open += 1;
        Ok(Grant::Open)
    }

    /// Closes the connection that has been idle for the longest time; false if
    /// there is none.
    fn close_oldest(&mut self) -> bool {
        let Some((used, peer)) = self.idle.pop_first() else {
            return false;
        };
        if let Some(own) = self.peers.get_mut(&peer) {
            own.idle.retain(|(other, _)| *other != used);
            own.open -= 1;
            self.open -= 1;
        }
        self.forget_if_unused(&peer);
        true
    }

    fn queue(&mut self, waiter: Waiter, peer: &K, shortage: &Shortage) {
        match shortage {
            Shortage::Room => self.for_room.push_back(waiter),
            Shortage::Delayed => self.for_delayed.push_back(waiter),
            Shortage::Peer => {
                if let Some(own) = self.peers.get_mut(peer) {
                    own.waiting.push_back(waiter);
                }
            }
        }
    }

    fn forget_if_unused(&mut self, peer: &K) {
        let unused = |own: &Peer<C>| own.open == 0 && own.waiting.is_empty();
        if self.peers.get(peer).is_some_and(unused) {
            self.peers.swap_remove(peer);
        }
    }
}
