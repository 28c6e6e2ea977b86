//! A bounded queue that serves its requesters in turn and rejects early.

use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

use crate::unit::{Span, Time};
use crate::verdict::Reason;

/// The weight of the smoothed interval between two starts against one newly
/// measured interval.
const SMOOTHING: u64 = 16;

/// The number of waiting requesters at which the queue counts as being at its
/// limit, however few items wait.
const REQUESTER_LIMIT: usize = 4_096;

/// A caller or a team, by a number that the owner of the queue chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Requester(pub u64);

/// The limits of a queue.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// How many items may wait in all.
    pub max_waiting: usize,
    /// How long the newest item may have to wait, as estimated from the
    /// interval between starts.
    pub max_wait: Span,
    /// The shortest retry delay that a rejection names.
    pub min_retry_after: Span,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_waiting: 8_192,
            max_wait: Span::from_secs(4),
            min_retry_after: Span::from_millis(500),
        }
    }
}

/// Why an item wasn't queued, and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// [`Reason::Overloaded`], [`Reason::Quota`] or [`Reason::Deadline`].
    pub reason: Reason,
    /// How long to wait before a retry; randomised so that rejected requesters
    /// don't all return at once.
    pub retry_after: Span,
}

/// An item that has left the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Item<T> {
    /// Who queued it.
    pub requester: Requester,
    /// What is to be started.
    pub work: T,
    /// Whether its deadline passed while it waited; it must not start then.
    pub expired: bool,
}

/// An item that waits.
#[derive(Debug, Clone)]
struct Entry<T> {
    work: T,
    deadline: Option<Time>,
}

/// A fair queue: one FIFO queue for each requester, served round robin.
///
/// Once the queue has reached its limit, which is a fifth below
/// [`Bounds::max_waiting`] and falls as starts get slower, it accepts items
/// only from requesters that have less than their fair share in it.
///
/// ```
/// use gentianlane::admit::{Bounds, Queue, Requester};
/// use gentianlane::unit::Time;
/// let now = Time::from_millis(0);
/// let mut queue = Queue::new(Bounds::default(), 1);
/// queue.enqueue(Requester(1), "a", None, now).unwrap();
/// queue.enqueue(Requester(1), "b", None, now).unwrap();
/// queue.enqueue(Requester(2), "c", None, now).unwrap();
/// let order: Vec<_> = std::iter::from_fn(|| queue.dequeue(now)).collect();
/// assert_eq!(order.iter().map(|item| item.work).collect::<String>(), "acb");
/// ```
#[derive(Debug, Clone)]
pub struct Queue<T> {
    bounds: Bounds,
    queues: IndexMap<Requester, VecDeque<Entry<T>>>,
    /// The requesters with items that wait, in the order of their turns.
    turns: VecDeque<Requester>,
    waiting: usize,
    /// The smoothed interval between two starts while items wait, in
    /// microseconds; zero until it has been measured.
    interval_micros: u64,
    /// The last start, unless it left the queue empty.
    last_start: Option<Time>,
    random: ChaCha8Rng,
}

impl<T> Queue<T> {
    /// An empty queue; `seed` determines the spread of the retry delays.
    #[must_use]
    pub fn new(bounds: Bounds, seed: u64) -> Self {
        Self {
            bounds,
            queues: IndexMap::new(),
            turns: VecDeque::new(),
            waiting: 0,
            interval_micros: 0,
            last_start: None,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// How many items wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Queues an item that has to start before `deadline`, if one is given.
    ///
    /// # Errors
    ///
    /// [`Rejection`] if too many items wait, if the requester has its fair
    /// share in the queue, or if the item isn't expected to start before its
    /// deadline.
    pub fn enqueue(
        &mut self,
        requester: Requester,
        work: T,
        deadline: Option<Time>,
        now: Time,
    ) -> Result<(), Rejection> {
        let own = self.queues.get(&requester).map_or(0, VecDeque::len);
        if let Some(reason) = self.rejection_reason(own, deadline, now) {
            return Err(self.reject(reason));
        }
        if own == 0 {
            self.turns.push_back(requester);
        }
        let entry = Entry { work, deadline };
        self.queues.entry(requester).or_default().push_back(entry);
        self.waiting += 1;
        Ok(())
    }

    /// Why an item can't be queued for a requester that has `own` items in the
    /// queue; `None` if it can.
    fn rejection_reason(
        &self,
        own: usize,
        deadline: Option<Time>,
        now: Time,
    ) -> Option<Reason> {
        if self.waiting >= self.limit() || self.queues.len() >= REQUESTER_LIMIT {
            return match own >= self.fair_share() {
                true => Some(Reason::Quota),
                false if self.waiting >= self.bounds.max_waiting => {
                    Some(Reason::Overloaded)
                }
                false => None,
            };
        }
        let requesters = self.turns.len() + usize::from(own == 0);
        let turns = (own * requesters).min(self.waiting) as u64 + 1;
        let wait = Span::from_millis(turns * self.interval_micros / 1_000);
        match deadline {
            Some(deadline) if now.after(wait) >= deadline => Some(Reason::Deadline),
            _ => None,
        }
    }

    /// How many items may wait, by length and by the time that it takes to
    /// start them all. Beyond it, only requesters with less than their fair
    /// share are accepted; the last fifth of the length is reserved for them.
    fn limit(&self) -> usize {
        let by_length = (self.bounds.max_waiting - self.bounds.max_waiting / 5).max(1);
        let by_wait =
            (self.bounds.max_wait.as_millis() * 1_000).checked_div(self.interval_micros);
        let by_wait = by_wait.and_then(|limit| usize::try_from(limit).ok());
        by_wait.unwrap_or(usize::MAX).clamp(1, by_length)
    }

    /// Each requester's equal part of the limit, with room for one requester
    /// more than have items waiting.
    fn fair_share(&self) -> usize {
        (self.limit() / (self.turns.len() + 1)).max(1)
    }

    /// A rejection with a random retry delay: once to twice the time in which
    /// the queue empties, or once to twice the minimum if that is longer.
    fn reject(&mut self, reason: Reason) -> Rejection {
        let drain_millis = self.waiting as u64 * self.interval_micros / 1_000;
        let shortest = self.bounds.min_retry_after.as_millis().max(drain_millis);
        let millis = self.random.random_range(shortest..=2 * shortest);
        Rejection {
            reason,
            retry_after: Span::from_millis(millis),
        }
    }

    /// The next item in round-robin order, or `None` if none waits.
    ///
    /// Call this when there is capacity to start an item.
    pub fn dequeue(&mut self, now: Time) -> Option<Item<T>> {
        let requester = self.turns.pop_front()?;
        let queue = self.queues.get_mut(&requester)?;
        let Entry { work, deadline } = queue.pop_front()?;
        if queue.is_empty() {
            self.queues.swap_remove(&requester);
        } else {
            self.turns.push_back(requester);
        }
        self.waiting -= 1;
        let expired = deadline.is_some_and(|deadline| now >= deadline);
        if !expired {
            self.measure_interval(now);
        }
        Some(Item {
            requester,
            work,
            expired,
        })
    }

    /// Updates the interval between starts, which counts only while items wait.
    fn measure_interval(&mut self, now: Time) {
        let last_start = self.last_start.replace(now);
        if self.waiting == 0 {
            self.last_start = None;
        }
        let Some(last_start) = last_start else {
            return;
        };
        let gap = now.since(last_start).as_millis() * 1_000;
        self.interval_micros = (self.interval_micros * (SMOOTHING - 1) + gap) / SMOOTHING;
    }
}
