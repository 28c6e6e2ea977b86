//! Leases of workers, as the grantor and the holder count them.
//!
//! The holder counts a lease from when it *sent* the renewal; the grantor from
//! when it *answered*, and adds what two clocks may drift apart. So the
//! holder's lease has ended by the time the grantor says that it has.

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::id;
use crate::unit::{Span, Time};

/// A number that stands for a set of tokens, for renewals that leave it out.
///
/// It is the head of a digest, below 2^53 so that every reader of JSON keeps
/// it whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Mark(u64);

impl Mark {
    /// The mark of some sorted tokens.
    ///
    /// ```
    /// use gentianlane::{id, lease::Mark};
    /// let token = id::Token::default();
    /// assert_eq!(Mark::of(&[token]), Mark::of(&[token]));
    /// assert_ne!(Mark::of(&[token]), Mark::of(&[]));
    /// ```
    #[must_use]
    pub fn of(tokens: &[id::Token]) -> Self {
        const SHIFT: u32 = 64 - 53;
        let mut bytes = Vec::with_capacity(tokens.len() * 20);
        for token in tokens {
            bytes.extend_from_slice(&token.task.job.0.to_be_bytes());
            bytes.extend_from_slice(&token.task.rank.to_be_bytes());
            bytes.extend_from_slice(&token.attempt.0.to_be_bytes());
        }
        let digest = Digest::of(&bytes);
        let head = digest.as_bytes().iter().take(8);
        let number = head.fold(0, |number, &byte| number << 8 | u64::from(byte));
        Self(number >> SHIFT)
    }
}

/// How long leases last and how far clocks may drift.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Term {
    /// How long the holder may act after it sent the renewal.
    pub span: Span,
    /// What the grantor waits beyond that.
    pub drift: Span,
}

impl Default for Term {
    fn default() -> Self {
        Self {
            span: Span::from_secs(10),
            drift: Span::from_millis(500),
        }
    }
}

/// The leases that one leader has granted or has to wait out.
#[derive(Debug, Clone)]
pub struct Grantor {
    term: Term,
    ends: IndexMap<id::Worker, Time>,
    /// No lease ends before this.
    next: Time,
}

impl Grantor {
    /// A grantor that has granted nothing.
    #[must_use]
    pub fn new(term: Term) -> Self {
        Self {
            term,
            ends: IndexMap::new(),
            next: Time::from_millis(u64::MAX),
        }
    }

    /// How long a holder may act after it sent the renewal.
    #[must_use]
    pub fn span(&self) -> Span {
        self.term.span
    }

    /// Counts a lease from `now`, when the answer leaves.
    ///
    /// A new leader calls this for every worker, as it can't know what the
    /// leader before it has granted.
    pub fn grant(&mut self, worker: &id::Worker, now: Time) {
        let end = now.after(self.term.span + self.term.drift);
        self.next = self.next.min(end);
        match self.ends.get_mut(worker) {
            Some(old) => *old = end.max(*old),
            None => {
                self.ends.insert(worker.clone(), end);
            }
        }
    }

    /// Forgets a worker whose tasks are known to be gone.
    pub fn forget(&mut self, worker: &id::Worker) {
        self.ends.swap_remove(worker);
    }

    /// Whether the worker's lease may still be in force at its holder.
    #[must_use]
    pub fn holds(&self, worker: &id::Worker, now: Time) -> bool {
        self.ends.get(worker).is_some_and(|end| now < *end)
    }

    /// The workers whose leases have ended.
    ///
    /// The leases are looked at one by one only when one of them may have
    /// ended since the last look.
    pub fn ended(&mut self, now: Time) -> Vec<id::Worker> {
        if now < self.next {
            return Vec::new();
        }
        let running = self.ends.values().filter(|end| now < **end);
        self.next = running
            .min()
            .copied()
            .unwrap_or(Time::from_millis(u64::MAX));
        let ended = self.ends.iter().filter(|(_, end)| now >= **end);
        let ended: Vec<id::Worker> = ended.map(|(worker, _)| worker.clone()).collect();
        if !ended.is_empty() {
            self.next = now;
        }
        ended
    }
}

/// A lease as its holder counts it.
///
/// ```
/// use gentianlane::{lease::Holder, unit::{Span, Time}};
/// let mut holder = Holder::default();
/// holder.granted(Time::from_millis(100), Span::from_millis(50));
/// assert!(holder.holds(Time::from_millis(149)));
/// assert!(!holder.holds(Time::from_millis(150)));
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    end: Time,
}

impl Holder {
    /// Takes in the answer to a renewal that was *sent* at this time.
    ///
    /// An answer to an older renewal never shortens the lease.
    pub fn granted(&mut self, sent: Time, span: Span) {
        self.end = self.end.max(sent.after(span));
    }

    /// Whether the holder may act.
    #[must_use]
    pub fn holds(&self, now: Time) -> bool {
        now < self.end
    }
}
