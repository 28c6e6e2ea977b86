//! Leases of workers, as seen by the grantor and by the holder.
//!
//! The holder counts a lease from when it *sent* the renewal. The grantor
//! counts from when it *answered*, and adds a margin for clock drift. So the
//! lease has ended at the holder before the grantor treats it as expired.

use derive_more::Display;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::digest::Digest;
use crate::id;
use crate::unit::{Span, Time};

/// A fingerprint of a list of tokens, sent by renewals in place of the list.
///
/// It is the first 53 bits of a digest, as some JSON parsers read numbers as
/// doubles and would round larger ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// The fingerprint of sorted tokens.
    ///
    /// ```
    /// use gentianlane::{id, lease::Fingerprint};
    /// let token = id::Token::default();
    /// assert_eq!(Fingerprint::of(&[token]), Fingerprint::of(&[token]));
    /// assert_ne!(Fingerprint::of(&[token]), Fingerprint::of(&[]));
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

/// How long leases last and how far the clocks of two machines may drift apart
/// meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long the holder may act after it sent a renewal.
    pub duration: Span,
    /// How much longer the grantor waits, to cover clock drift.
    pub clock_drift_margin: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            duration: Span::from_secs(10),
            clock_drift_margin: Span::from_millis(500),
        }
    }
}

/// The leases that a leader has granted, or that an earlier leader may have
/// granted and that it has to wait out.
#[derive(Debug, Clone)]
pub struct Grantor {
    timing: Timing,
    expiries: IndexMap<id::Worker, Time>,
    /// A time before which no lease expires.
    next_expiry: Time,
}

impl Grantor {
    /// A grantor that has granted nothing.
    #[must_use]
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            expiries: IndexMap::new(),
            next_expiry: Time::from_millis(u64::MAX),
        }
    }

    /// How long a holder may act after it sent a renewal.
    #[must_use]
    pub fn duration(&self) -> Span {
        self.timing.duration
    }

    /// Records a lease that is granted at `now`, when the answer is sent.
    ///
    /// A new leader calls this for every worker, as it doesn't know which
    /// leases the leader before it has granted.
    pub fn grant(&mut self, worker: &id::Worker, now: Time) {
        let end = now.after(self.timing.duration + self.timing.clock_drift_margin);
        self.next_expiry = self.next_expiry.min(end);
        match self.expiries.get_mut(worker) {
            Some(old) => *old = end.max(*old),
            None => {
                self.expiries.insert(worker.clone(), end);
            }
        }
    }

    /// Removes the lease of a worker whose tasks are known to have ended.
    pub fn remove(&mut self, worker: &id::Worker) {
        self.expiries.swap_remove(worker);
    }

    /// Whether the worker's lease may still be active at its holder.
    #[must_use]
    pub fn is_active(&self, worker: &id::Worker, now: Time) -> bool {
        self.expiries.get(worker).is_some_and(|end| now < *end)
    }

    /// The workers whose leases have expired and weren't removed yet.
    ///
    /// The leases are scanned only if one of them may have expired since the
    /// last call.
    pub fn expired(&mut self, now: Time) -> Vec<id::Worker> {
        if now < self.next_expiry {
            return Vec::new();
        }
        let active = self.expiries.values().filter(|end| now < **end);
        self.next_expiry = active.min().copied().unwrap_or(Time::from_millis(u64::MAX));
        let expired = self.expiries.iter().filter(|(_, end)| now >= **end);
        let expired: Vec<id::Worker> =
            expired.map(|(worker, _)| worker.clone()).collect();
        if !expired.is_empty() {
            self.next_expiry = now;
        }
        expired
    }
}

/// A lease as its holder counts it; it isn't active before the first renewal has
/// been answered.
///
/// ```
/// use gentianlane::{lease::Holder, unit::{Span, Time}};
/// let mut holder = Holder::default();
/// holder.extend(Time::from_millis(100), Span::from_millis(50));
/// assert!(holder.is_active(Time::from_millis(149)));
/// assert!(!holder.is_active(Time::from_millis(150)));
/// ```
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    end: Time,
}

impl Holder {
    /// Extends the lease to `duration` after `sent`, when the renewal that has
    /// been answered was *sent*.
    ///
    /// A late answer to an older renewal never shortens the lease.
    pub fn extend(&mut self, sent: Time, duration: Span) {
        self.end = self.end.max(sent.after(duration));
    }

    /// Whether the holder may act.
    #[must_use]
    pub fn is_active(&self, now: Time) -> bool {
        now < self.end
    }
}
