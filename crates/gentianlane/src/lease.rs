//! Leases of workers, as the grantor counts them.
//!
//! The holder counts a lease from when it *sent* the renewal; the grantor from
//! when it *answered*, and adds what two clocks may drift apart. So the
//! holder's lease has ended by the time the grantor says that it has.

use indexmap::IndexMap;

use crate::id;
use crate::unit::{Span, Time};

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
}

impl Grantor {
    /// A grantor that has granted nothing.
    #[must_use]
    pub fn new(term: Term) -> Self {
        Self {
            term,
            ends: IndexMap::new(),
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
    pub fn ended(&self, now: Time) -> impl Iterator<Item = &id::Worker> {
        let ended = move |(_, end): &(&id::Worker, &Time)| now >= **end;
        self.ends.iter().filter(ended).map(|(worker, _)| worker)
    }
}
