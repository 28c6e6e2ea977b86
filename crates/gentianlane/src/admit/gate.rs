//! The gate before the queue: refuse early, fairly and with a time to return.

use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

use crate::unit::{Span, Time};
use crate::verdict::Reason;

/// The smoothing of the measured time between two starts, as a divisor.
const SMOOTHING: u64 = 16;

/// How many parties are remembered at a time.
const PARTY_LIMIT: usize = 4_096;

/// Who asks: a caller or a team, by whatever number its user gives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Party(pub u64);

/// How much may wait.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// How many pieces of work may wait in all.
    pub waiting: usize,
    /// How long the newest piece of work may have to wait, by estimate.
    pub age: Span,
    /// The least time after which a refused party is asked to return.
    pub come_back: Span,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            waiting: 8_192,
            age: Span::from_secs(4),
            come_back: Span::from_millis(500),
        }
    }
}

/// A refusal: nothing was taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turned {
    /// [`Reason::Overloaded`], [`Reason::Quota`] or [`Reason::Deadline`].
    pub reason: Reason,
    /// When to come back; spread so that not all return at once.
    pub retry_after: Span,
}

/// A piece of work whose turn has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Taken<T> {
    /// Who asked.
    pub party: Party,
    /// What was asked for.
    pub work: T,
    /// Whether its deadline has passed while it waited; it must not start.
    pub late: bool,
}

/// One piece of work that waits.
#[derive(Debug, Clone)]
struct Waiting<T> {
    work: T,
    deadline: Option<Time>,
}

/// The work that waits, one queue for each party; the parties take turns.
///
/// ```
/// use gentianlane::admit::{Bounds, Gate, Party};
/// use gentianlane::unit::Time;
/// let now = Time::from_millis(0);
/// let mut gate = Gate::new(Bounds::default(), 1);
/// gate.offer(Party(1), "a", None, now).unwrap();
/// gate.offer(Party(1), "b", None, now).unwrap();
/// gate.offer(Party(2), "c", None, now).unwrap();
/// let order: Vec<_> = std::iter::from_fn(|| gate.take(now)).collect();
/// assert_eq!(order.iter().map(|taken| taken.work).collect::<String>(), "acb");
/// ```
#[derive(Debug, Clone)]
pub struct Gate<T> {
    bounds: Bounds,
    queues: IndexMap<Party, VecDeque<Waiting<T>>>,
    turns: VecDeque<Party>,
    waiting: usize,
    /// The smoothed time between two turns, in microseconds.
    pace: u64,
    last: Option<Time>,
    random: ChaCha8Rng,
}

impl<T> Gate<T> {
    /// A gate behind which nothing waits.
    #[must_use]
    pub fn new(bounds: Bounds, seed: u64) -> Self {
        Self {
            bounds,
            queues: IndexMap::new(),
            turns: VecDeque::new(),
            waiting: 0,
            pace: 0,
            last: None,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// How many pieces of work wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Takes in a piece of work, or turns it away.
    ///
    /// # Errors
    ///
    /// [`Turned`] if too much waits already, if the party has its share of it,
    /// or if the work can't be expected to start before its deadline.
    pub fn offer(
        &mut self,
        party: Party,
        work: T,
        deadline: Option<Time>,
        now: Time,
    ) -> Result<(), Turned> {
        let own = self.queues.get(&party).map_or(0, VecDeque::len);
        if let Some(reason) = self.refuse(own, deadline, now) {
            return Err(self.turn_away(reason));
        }
        if own == 0 {
            self.turns.push_back(party);
        }
        let waiting = Waiting { work, deadline };
        self.queues.entry(party).or_default().push_back(waiting);
        self.waiting += 1;
        Ok(())
    }

    fn refuse(&self, own: usize, deadline: Option<Time>, now: Time) -> Option<Reason> {
        if self.waiting >= self.limit() || self.queues.len() >= PARTY_LIMIT {
            return match own >= self.share() {
                true => Some(Reason::Quota),
                false if self.waiting >= self.bounds.waiting => Some(Reason::Overloaded),
                false => None,
            };
        }
        let parties = self.turns.len() + usize::from(own == 0);
        let turns = (own * parties).min(self.waiting) as u64 + 1;
        let wait = Span::from_millis(turns * self.pace / 1_000);
        match deadline {
            Some(deadline) if now.after(wait) >= deadline => Some(Reason::Deadline),
            _ => None,
        }
    }

    /// How much may wait, by length and by the time it takes to work it off;
    /// beyond it, only parties with less than their share get in.
    fn limit(&self) -> usize {
        let by_length = (self.bounds.waiting - self.bounds.waiting / 5).max(1);
        let by_age = (self.bounds.age.as_millis() * 1_000).checked_div(self.pace);
        let by_age = by_age.and_then(|limit| usize::try_from(limit).ok());
        by_age.unwrap_or(usize::MAX).clamp(1, by_length)
    }

    /// How much of the limit is each waiting party's.
    fn share(&self) -> usize {
        (self.limit() / (self.turns.len() + 1)).max(1)
    }

    /// When to come back: after about the time that the queue takes.
    fn turn_away(&mut self, reason: Reason) -> Turned {
        let queue = self.waiting as u64 * self.pace / 1_000;
        let least = self.bounds.come_back.as_millis().max(queue);
        let millis = self.random.random_range(least..=2 * least);
        Turned {
            reason,
            retry_after: Span::from_millis(millis),
        }
    }

    /// The next piece of work, as there is room for one; parties take turns.
    pub fn take(&mut self, now: Time) -> Option<Taken<T>> {
        let party = self.turns.pop_front()?;
        let queue = self.queues.get_mut(&party)?;
        let Waiting { work, deadline } = queue.pop_front()?;
        if queue.is_empty() {
            self.queues.swap_remove(&party);
        } else {
            self.turns.push_back(party);
        }
        self.waiting -= 1;
        let late = deadline.is_some_and(|deadline| now >= deadline);
        if !late {
            self.measure(now);
        }
        Some(Taken { party, work, late })
    }

    /// Learns how long one turn takes while work waits.
    fn measure(&mut self, now: Time) {
        let last = self.last.replace(now);
        if self.waiting == 0 {
            self.last = None;
        }
        let Some(last) = last else {
            return;
        };
        let gap = now.since(last).as_millis() * 1_000;
        self.pace = (self.pace * (SMOOTHING - 1) + gap) / SMOOTHING;
    }
}
